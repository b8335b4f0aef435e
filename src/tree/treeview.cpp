// Levels and inheritance of a settings tree.
#include <camphorreach/impl/treeview.h>

#include <optional>

namespace camphorreach::impl {
namespace {

// The first `count` segments of a path, if it has more than these.
std::optional<std::string> leadingSegments(std::string_view path, int count)
{
    std::size_t at = 0;
    for (int i = 0; i < count; ++i) {
        at = path.find('.', i == 0 ? 0 : at + 1);
        if (at == std::string_view::npos)
            return std::nullopt;
    }
    return std::string(path.substr(0, at));
}

Scope scopeOf(std::string_view path)
{
    constexpr int topLevelSegments = 2; // table and name
    constexpr int nestedLevelSegments = 4;
    if (path.starts_with("service.")) {
        const auto inner = leadingSegments(path, nestedLevelSegments);
        const auto service = leadingSegments(path, topLevelSegments);
        if (inner && inner->substr(service->size()).starts_with(".route."))
            return { SettingLevel::Route, *inner };
        if (inner && inner->substr(service->size()).starts_with(".version."))
            return { SettingLevel::Version, *inner };
        if (service)
            return { SettingLevel::Service, *service };
    }
    if (path.starts_with("kind.")) {
        if (const auto kind = leadingSegments(path, topLevelSegments))
            return { SettingLevel::Kind, *kind };
    }
    return {};
}

} // namespace

std::pair<Scope, std::string> splitPath(std::string_view path)
{
    Scope scope = scopeOf(path);
    std::string key(scope.path.empty() ? path : path.substr(scope.path.size() + 1));
    return { std::move(scope), std::move(key) };
}

std::set<std::string> TreeView::childNames(const std::string &path) const
{
    std::set<std::string> names;
    const std::string prefix = path + ".";
    for (auto at = m_tree.settings.lower_bound(prefix);
         at != m_tree.settings.end() && at->first.starts_with(prefix); ++at) {
        const std::string_view rest = std::string_view(at->first).substr(prefix.size());
        const std::size_t dot = rest.find('.');
        if (dot != std::string_view::npos)
            names.emplace(rest.substr(0, dot));
    }
    return names;
}

bool TreeView::contains(const Scope &scope) const
{
    if (scope.level == SettingLevel::Root)
        return true;
    const std::string prefix = scope.path + ".";
    const auto at = m_tree.settings.lower_bound(prefix);
    return at != m_tree.settings.end() && at->first.starts_with(prefix);
}

std::vector<Scope> TreeView::inheritanceChain(const Scope &scope) const
{
    std::vector<Scope> chain { scope };
    const auto service = leadingSegments(scope.path, 2);
    if ((scope.level == SettingLevel::Route || scope.level == SettingLevel::Version) && service)
        chain.push_back({ SettingLevel::Service, *service });
    if (scope.level == SettingLevel::Route)
        chain.push_back(kindScope(kindOf(scope)));
    if (scope.level != SettingLevel::Root)
        chain.emplace_back();
    return chain;
}

FoundSetting TreeView::find(std::string_view key, const std::vector<Scope> &chain) const
{
    for (const Scope &scope : chain) {
        if (findSpec(key, scope.level) == nullptr)
            continue;
        const auto found = m_tree.settings.find(scope.pathOf(key));
        if (found != m_tree.settings.end())
            return { &found->second, scope };
    }
    return {};
}

std::string TreeView::kindOf(const Scope &route) const
{
    const auto service = leadingSegments(route.path, 2);
    const std::vector<Scope> chain { route,
                                     { SettingLevel::Service, service.value_or(std::string()) },
                                     {} };
    const FoundSetting found = find("kind", chain);
    const auto *name
        = found.setting != nullptr ? std::get_if<std::string>(&found.setting->value) : nullptr;
    return name != nullptr ? *name : "default";
}

std::string TreeView::prefixOf(const Scope &route) const
{
    const FoundSetting found = find("prefix", { route });
    const auto *prefix
        = found.setting != nullptr ? std::get_if<std::string>(&found.setting->value) : nullptr;
    return prefix != nullptr ? *prefix : "/" + route.name();
}

} // namespace camphorreach::impl
