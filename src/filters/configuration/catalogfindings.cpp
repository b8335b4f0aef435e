// Findings about the configuration and the evacuation orders.
#include <camphorreach/catalogfindings.h>

namespace camphorreach {
namespace {

constexpr std::size_t maxDomains = 1024;
// A node that has just started hears of the others within a second or two.
constexpr Duration settleTime = std::chrono::seconds(5);

} // namespace

void CatalogFindings::onConfiguration(ConfigVersion version, const Findings &findings)
{
    if (version < m_version)
        return;
    m_version = version;
    m_ofConfiguration = findings;
}

// A failure domain stays known when all its nodes are gone: then the evacuation may be the reason.
void CatalogFindings::onEndpoints(const EndpointTable &table, TimePoint now)
{
    if (!m_settledAt)
        m_settledAt = now + settleTime;
    for (const auto &[name, endpoints] : table.services) {
        for (const Endpoint &endpoint : endpoints) {
            if (m_known.size() < maxDomains)
                m_known.insert(endpoint.domain);
        }
    }
}

Findings CatalogFindings::current(ConfigVersion active, TimePoint now) const
{
    Findings result;
    if (active == m_version)
        result = m_ofConfiguration;
    if (!m_settledAt || now < *m_settledAt || m_known.size() == maxDomains)
        return result;
    for (const FailureDomain &domain : m_evacuated) {
        if (!m_known.contains(domain))
            result.push_back({ {},
                               "evacuations." + domain.value(),
                               "no node of this failure domain is known; nothing is evacuated" });
    }
    return result;
}

std::optional<Findings> CatalogFindings::takeChange(ConfigVersion active, TimePoint now)
{
    m_isSettled = m_settledAt && now >= *m_settledAt;
    Findings findings = current(active, now);
    if (findings == m_published)
        return std::nullopt;
    m_published = findings;
    return findings;
}

std::optional<TimePoint> CatalogFindings::nextDeadline() const
{
    return m_isSettled || m_evacuated.empty() ? std::nullopt : m_settledAt;
}

} // namespace camphorreach
