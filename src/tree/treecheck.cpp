// Validation of a whole settings tree.
#include <camphorreach/impl/treeview.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace camphorreach::impl {
namespace {

class TreeChecker
{
public:
    explicit TreeChecker(const SettingsTree &tree) : m_view(tree) { }

    Findings run()
    {
        for (const auto &[path, setting] : m_view.tree().settings)
            checkSetting(path, setting);
        for (const std::string &service : m_view.childNames("service")) {
            checkWeights(service);
            checkPrefixes(service);
            checkFallbacks(service);
        }
        std::ranges::stable_sort(m_findings, {}, [](const Finding &finding) {
            return std::tuple(finding.location.line, finding.location.column, finding.key);
        });
        return std::move(m_findings);
    }

private:
    void report(const SourceLocation &location, const std::string &key, const std::string &text)
    {
        m_findings.push_back({ location, key, text });
    }

    void checkSetting(const std::string &path, const Setting &setting)
    {
        const auto [scope, key] = splitPath(path);
        const SettingSpec *spec = findSpec(key, scope.level);
        if (spec == nullptr)
            return report(setting.location, path, unknownKeyText(key, scope.level));
        const std::string violation = violationOf(*spec, setting.value);
        if (!violation.empty())
            return report(setting.location, path, violation);
        if (key == "kind")
            checkKind(path, setting);
    }

    // A key that exists at another level is more likely misplaced than misspelt.
    static std::string unknownKeyText(const std::string &key, SettingLevel level)
    {
        const auto &schema = settingSchema();
        const bool isMisplaced = std::ranges::find(schema, key, &SettingSpec::key) != schema.end();
        if (!isMisplaced)
            return "is not a known key";
        return "can't be set at the level \"" + std::string(toText(level)) + "\"";
    }

    void checkKind(const std::string &path, const Setting &setting)
    {
        const auto &kind = std::get<std::string>(setting.value);
        if (kind != "default" && !m_view.contains(kindScope(kind)))
            report(setting.location, path, "there is no kind \"" + kind + "\"");
    }

    [[nodiscard]] double weightOf(const Scope &version) const
    {
        const FoundSetting found = m_view.find("weight", { version });
        if (found.setting == nullptr)
            return 0;
        if (const auto *integer = std::get_if<std::int64_t>(&found.setting->value))
            return static_cast<double>(*integer);
        const auto *real = std::get_if<double>(&found.setting->value);
        return real != nullptr ? *real : 0;
    }

    // The location of the first setting below a path.
    [[nodiscard]] SourceLocation firstLocationBelow(const std::string &path) const
    {
        const auto at = m_view.tree().settings.lower_bound(path + ".");
        return at != m_view.tree().settings.end() && at->first.starts_with(path + ".")
            ? at->second.location
            : SourceLocation {};
    }

    void checkWeights(const std::string &service)
    {
        const std::string path = serviceScope(service).path;
        const auto versions = m_view.childNames(path + ".version");
        if (versions.empty())
            return report(firstLocationBelow(path), path, "has no version");
        std::uint64_t sum = 0;
        for (const std::string &version : versions)
            sum += Share::fromFraction(weightOf(versionScope(service, version)) / 100).millionths();
        if (sum != Share::whole) {
            constexpr double millionthsPerPercent = Share::whole / 100.0;
            report(firstLocationBelow(path + ".version"), path + ".version",
                   "weights must add up to 100, not "
                       + toToml(SettingValue(static_cast<double>(sum) / millionthsPerPercent)));
        }
    }

    void checkPrefixes(const std::string &service)
    {
        std::map<std::string, std::string> routeOfPrefix;
        for (const std::string &route : m_view.childNames(serviceScope(service).path + ".route")) {
            const Scope scope = routeScope(service, route);
            const std::string prefix = m_view.prefixOf(scope);
            const auto [at, isNew] = routeOfPrefix.emplace(prefix, route);
            if (isNew)
                continue;
            const FoundSetting own = m_view.find("prefix", { scope });
            report(own.setting != nullptr ? own.setting->location : firstLocationBelow(scope.path),
                   scope.pathOf("prefix"),
                   "\"" + prefix + "\" is already the prefix of route \"" + at->second + "\"");
        }
    }

    // The fallback of a version and the location where it is set.
    [[nodiscard]] std::pair<std::string, SourceLocation> fallbackOf(const Scope &version) const
    {
        const FoundSetting found = m_view.find("fallback", { version });
        const auto *name
            = found.setting != nullptr ? std::get_if<std::string>(&found.setting->value) : nullptr;
        return name != nullptr ? std::pair(*name, found.setting->location)
                               : std::pair(std::string(), SourceLocation {});
    }

    void checkFallbacks(const std::string &service)
    {
        const auto versions = m_view.childNames(serviceScope(service).path + ".version");
        std::set<std::string> reported; // versions on a cycle that is reported
        for (const std::string &version : versions) {
            const Scope scope = versionScope(service, version);
            const auto [target, location] = fallbackOf(scope);
            if (target.empty())
                continue;
            if (!versions.contains(target))
                report(location, scope.pathOf("fallback"),
                       "there is no version \"" + target + "\"");
            else if (!reported.contains(version))
                checkCycle(service, version, reported);
        }
    }

    void checkCycle(const std::string &service, const std::string &start,
                    std::set<std::string> &reported)
    {
        std::vector<std::string> path { start };
        while (true) {
            const std::string target = fallbackOf(versionScope(service, path.back())).first;
            if (target == start)
                break;
            if (target.empty() || std::ranges::find(path, target) != path.end())
                return; // no cycle, or one that does not lead through `start`
            path.push_back(target);
        }
        std::string text = "fallbacks form a cycle: ";
        for (const std::string &version : path)
            text += version + ", ";
        reported.insert(path.begin(), path.end());
        const Scope scope = versionScope(service, start);
        report(fallbackOf(scope).second, scope.pathOf("fallback"), text + start);
    }

    TreeView m_view;
    Findings m_findings;
};

} // namespace

Findings checkTree(const SettingsTree &tree)
{
    return TreeChecker(tree).run();
}

} // namespace camphorreach::impl
