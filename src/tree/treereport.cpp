// Findings of a settings tree beyond those for which nodes refuse it, and changes between trees.
#include <camphorreach/configcheck.h>
#include <camphorreach/impl/treeview.h>
#include <camphorreach/settingschema.h>
#include <camphorreach/treedelta.h>

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace camphorreach {
namespace {

using impl::FoundSetting;
using impl::Scope;
using impl::TreeView;

// Looks for settings without any effect and for settings that contradict each other. The tree is
// valid.
class TreeReporter
{
public:
    explicit TreeReporter(const SettingsTree &tree) : m_view(tree) { }

    ConfigReport run()
    {
        for (const std::string &service : m_view.childNames("service"))
            visitService(service);
        for (const auto &[path, setting] : m_view.tree().settings) {
            const Scope scope = impl::splitPath(path).first;
            const bool isOwn
                = scope.level == SettingLevel::Route || scope.level == SettingLevel::Version;
            if (!isOwn && !m_used.contains(&setting))
                add(m_report.warnings, setting.location, path, unusedText(scope));
        }
        for (Findings *findings : { &m_report.errors, &m_report.warnings }) {
            std::ranges::stable_sort(*findings, {}, [](const Finding &finding) {
                return std::tuple(finding.location.line, finding.location.column, finding.key);
            });
        }
        return std::move(m_report);
    }

private:
    static void add(Findings &findings, const SourceLocation &location, const std::string &key,
                    const std::string &text)
    {
        findings.push_back({ location, key, text });
    }

    [[nodiscard]] std::string unusedText(const Scope &scope) const
    {
        if (scope.level == SettingLevel::Kind && !m_usedKinds.contains(scope.name()))
            return "has no effect: no route has the kind \"" + scope.name() + "\"";
        return "has no effect: all levels below set their own value, or there are none";
    }

    // Notes the setting that applies, so that the others can be reported.
    FoundSetting use(std::string_view key, const std::vector<Scope> &chain)
    {
        FoundSetting found = m_view.find(key, chain);
        m_used.insert(found.setting);
        return found;
    }

    void useAll(const Scope &scope)
    {
        const std::vector<Scope> chain = m_view.inheritanceChain(scope);
        for (const SettingSpec &spec : settingSchema()) {
            // What routes inherit is of no use to a service itself.
            const bool isForRoutes
                = scope.level == SettingLevel::Service && spec.isAllowedAt(SettingLevel::Route);
            if (spec.isAllowedAt(scope.level) && !isForRoutes)
                (void)use(spec.key, chain);
        }
    }

    void visitService(const std::string &service)
    {
        const Scope scope = impl::serviceScope(service);
        useAll(scope);
        for (const std::string &version : m_view.childNames(scope.path + ".version"))
            useAll(impl::versionScope(service, version));
        const auto routes = m_view.childNames(scope.path + ".route");
        if (routes.empty())
            add(m_report.warnings, firstLocationBelow(scope.path), scope.path,
                "has no route, so no request reaches it");
        for (const std::string &route : routes)
            visitRoute(scope, impl::routeScope(service, route));
    }

    void visitRoute(const Scope &service, const Scope &route)
    {
        useAll(route);
        const std::string kind = m_view.kindOf(route);
        m_usedKinds.insert(kind);
        for (const char *key : { "weight", "semantics" })
            (void)use(key, { impl::kindScope(kind) });
        checkAttempts(service, route);
    }

    void checkAttempts(const Scope &service, const Scope &route)
    {
        const FoundSetting attempts = m_view.find("attempts", m_view.inheritanceChain(route));
        const FoundSetting deadline = m_view.find("deadline", m_view.inheritanceChain(route));
        const auto count = static_cast<Duration::rep>(numberOf("attempts", attempts));
        if (count <= 1)
            return;
        const auto *text = deadline.setting != nullptr
            ? std::get_if<std::string>(&deadline.setting->value)
            : nullptr;
        const Duration time
            = text != nullptr ? parseDuration(*text).value_or(Duration {}) : RoutePolicy().deadline;
        const SourceLocation location = locationOf(attempts, deadline);
        if (time / count < minAttemptTime)
            add(m_report.errors, location, route.pathOf("attempts"),
                std::to_string(count) + " attempts do not fit into the deadline of "
                    + (text != nullptr ? *text : "1s") + ": each takes at least 1ms");
        const FoundSetting budget = m_view.find("retry-budget", m_view.inheritanceChain(service));
        if (budget.setting != nullptr && numberOf("retry-budget", budget) <= 0
            && attempts.setting != nullptr)
            add(m_report.warnings, location, route.pathOf("attempts"),
                "the retry budget is 0, so there is only one attempt");
    }

    [[nodiscard]] static double numberOf(std::string_view key, const FoundSetting &found)
    {
        const auto &schema = settingSchema();
        const auto spec = std::ranges::find(schema, key, &SettingSpec::key);
        const SettingValue value
            = found.setting != nullptr ? found.setting->value : spec->defaultValue.value();
        if (const auto *integer = std::get_if<std::int64_t>(&value))
            return static_cast<double>(*integer);
        const auto *real = std::get_if<double>(&value);
        return real != nullptr ? *real : 0;
    }

    [[nodiscard]] static SourceLocation locationOf(const FoundSetting &first,
                                                   const FoundSetting &second)
    {
        if (first.setting != nullptr)
            return first.setting->location;
        return second.setting != nullptr ? second.setting->location : SourceLocation {};
    }

    [[nodiscard]] SourceLocation firstLocationBelow(const std::string &path) const
    {
        const auto at = m_view.tree().settings.lower_bound(path + ".");
        return at != m_view.tree().settings.end() ? at->second.location : SourceLocation {};
    }

    TreeView m_view;
    std::set<const Setting *> m_used;
    std::set<std::string> m_usedKinds;
    ConfigReport m_report;
};

} // namespace

ConfigReport checkConfig(const SettingsTree &tree)
{
    if (Findings findings = impl::checkTree(tree); !findings.empty())
        return { std::move(findings), {} };
    return TreeReporter(tree).run();
}

std::vector<ConfigChange> changesBetween(const SettingsTree &inForce, const SettingsTree &candidate)
{
    const TreeDelta delta = diff(inForce, candidate);
    std::vector<ConfigChange> changes;
    for (const std::string &path : changedPaths(delta)) {
        const auto old = inForce.settings.find(path);
        const auto changed = delta.set.find(path);
        ConfigChange change { ConfigChange::Kind::Changed, path, {}, {} };
        if (old == inForce.settings.end())
            change.kind = ConfigChange::Kind::Added;
        else
            change.before = toToml(old->second.value);
        if (changed == delta.set.end())
            change.kind = ConfigChange::Kind::Removed;
        else
            change.after = toToml(changed->second);
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace camphorreach
