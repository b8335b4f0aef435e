// Selects the configuration of a list or watch that may take effect.
#include <camphorreach/configintake.h>

#include <utility>

namespace camphorreach {

ConfigIntake::Page ConfigIntake::read(std::vector<StoreEntry> &entries)
{
    Page page;
    ConfigVersion newestSeen;
    for (StoreEntry &entry : entries) {
        if (auto *config = std::get_if<std::shared_ptr<const MeshConfig>>(&entry.value)) {
            ++page.configurations;
            m_name = entry.name;
            if ((*config)->version <= newestSeen)
                continue;
            newestSeen = (*config)->version;
            page.isEveryAccepted = isAccepted(**config, page);
            if (page.isEveryAccepted)
                page.newest = std::move(*config);
        } else if (isUnreadable(entry)) {
            page.isEveryAccepted = false;
        }
    }
    return page;
}

// Whether the entry may be the configuration, so that the copy may lack it.
bool ConfigIntake::isUnreadable(const StoreEntry &entry) const
{
    const bool isOther = !entry.name.empty() && !m_name.empty() && entry.name != m_name;
    return !entry.isRemoved && !isOther && std::holds_alternative<std::monostate>(entry.value);
}

bool ConfigIntake::isAccepted(const MeshConfig &config, Page &page)
{
    Findings findings = findingsOf(config);
    if (findings.empty())
        return true;
    if (config.version > m_refusedVersion) {
        m_refusedVersion = config.version;
        page.refused.push_back({ config.version, std::move(findings) });
    }
    return false;
}

} // namespace camphorreach
