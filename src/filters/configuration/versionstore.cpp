// Accepted versions, their validation and the steps between them.
#include <camphorreach/versionstore.h>

#include <camphorreach/treedelta.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// Reaches back half an hour at 1,700 changes a day.
constexpr std::size_t maxHistory = 32;
// A longer chain of deltas costs more than full state of a tree of the usual size.
constexpr std::size_t maxChainBytes = 64 * 1024;
constexpr std::size_t fixedStepBytes = 2 * 8 + 2 * 8 + 2 * 4;
constexpr std::size_t fixedEntryBytes = 4 + 4 + 4 + 8;

} // namespace

std::size_t encodedSizeBound(const ConfigStep &step) noexcept
{
    std::size_t bytes = fixedStepBytes;
    for (const auto &[path, value] : step.changes.set) {
        const auto *text = std::get_if<std::string>(&value);
        bytes += fixedEntryBytes + path.size() + (text != nullptr ? text->size() : 0);
    }
    for (const std::string &path : step.changes.removed)
        bytes += 4 + path.size();
    return bytes;
}

VersionStore::Effect VersionStore::applyHead(ConfigVersion version, const std::string &text)
{
    if (version <= m_accepted)
        return Effect::Known;
    auto tree = parseTree(text, "config/head");
    if (!isOk(tree)) {
        // Without a parsed tree there is nothing to distribute; every reader reports the findings.
        m_refusal = ConfigRefusal { version, errorOf(tree).findings };
        if (m_refusal->findings.empty())
            m_refusal->findings.push_back({ {}, "", errorOf(tree).text });
        return Effect::Unusable;
    }
    std::optional<ConfigStep> step;
    if (m_accepted != ConfigVersion())
        step = ConfigStep { m_accepted, version, diff(m_tree, valueOf(tree)) };
    return advance(version, valueOf(std::move(tree)), std::move(step));
}

VersionStore::Effect VersionStore::applyUpdate(const ConfigUpdate &update)
{
    Effect effect = Effect::Known;
    for (const ConfigStep &step : update.steps) {
        if (step.version <= m_accepted)
            continue;
        const bool isFull = step.base == ConfigVersion();
        if (!isFull && step.base != m_accepted)
            return Effect::Unusable;
        auto tree = apply(isFull ? SettingsTree() : m_tree, step.changes);
        if (!isOk(tree))
            return Effect::Unusable;
        // Full state is also stored as a delta, for peers that hold the previous version.
        std::optional<ConfigStep> historyStep = step;
        if (isFull && m_accepted != ConfigVersion())
            historyStep = ConfigStep { m_accepted, step.version, diff(m_tree, valueOf(tree)) };
        else if (isFull)
            historyStep.reset();
        effect = advance(step.version, valueOf(std::move(tree)), std::move(historyStep));
    }
    return effect;
}

VersionStore::Effect VersionStore::advance(ConfigVersion version, SettingsTree tree,
                                           std::optional<ConfigStep> step)
{
    m_accepted = version;
    m_tree = std::move(tree);
    m_digest = digestOf(m_tree);
    if (!step)
        m_history.clear();
    else
        m_history.push_back(*std::move(step));
    if (m_history.size() > maxHistory)
        m_history.pop_front();
    validate();
    return Effect::Advanced;
}

void VersionStore::validate()
{
    auto snapshot = resolve(m_tree, m_accepted);
    if (isOk(snapshot)) {
        m_good = std::make_shared<const Snapshot>(valueOf(std::move(snapshot)));
        m_goodTree = m_tree;
        m_refusal.reset();
        return;
    }
    m_refusal = ConfigRefusal { m_accepted, errorOf(snapshot).findings };
    if (m_refusal->findings.empty())
        m_refusal->findings.push_back({ {}, "", errorOf(snapshot).text });
}

std::vector<ConfigStep> VersionStore::stepsFrom(ConfigVersion version, Digest digest) const
{
    const auto first = std::ranges::find(m_history, version, &ConfigStep::base);
    if (first == m_history.end() || first->changes.base != digest)
        return {};
    std::size_t bytes = 0;
    for (auto step = first; step != m_history.end(); ++step)
        bytes += encodedSizeBound(*step);
    if (bytes > maxChainBytes)
        return {};
    return { first, m_history.end() };
}

std::vector<ConfigStep> VersionStore::fullState() const
{
    std::vector<ConfigStep> steps;
    if (m_good)
        steps.push_back({ ConfigVersion(), m_good->version, diff(SettingsTree(), m_goodTree) });
    if (m_good && m_good->version != m_accepted)
        steps.push_back({ m_good->version, m_accepted, diff(m_goodTree, m_tree) });
    else if (!m_good && m_accepted != ConfigVersion())
        steps.push_back({ ConfigVersion(), m_accepted, diff(SettingsTree(), m_tree) });
    return steps;
}

const ConfigStep *VersionStore::newestStep() const
{
    return m_history.empty() ? nullptr : &m_history.back();
}

} // namespace camphorreach
