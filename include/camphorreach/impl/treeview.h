// Look-ups in a settings tree: levels, names below them and inheritance.
#pragma once

#include <camphorreach/settingschema.h>
#include <camphorreach/settingstree.h>

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorreach::impl {

/// One level of a tree, such as the route "service.orders.route.stock".
struct Scope
{
    SettingLevel level = SettingLevel::Root;
    std::string path; ///< Empty for the root.

    [[nodiscard]] std::string pathOf(std::string_view key) const
    {
        return path.empty() ? std::string(key) : path + "." + std::string(key);
    }
    /// The name of the route, version, service or kind.
    [[nodiscard]] std::string name() const { return path.substr(path.rfind('.') + 1); }

    friend bool operator==(const Scope &, const Scope &) = default;
};

/// Splits the path of a setting into its level and the key below it.
[[nodiscard]] std::pair<Scope, std::string> splitPath(std::string_view path);

/// A setting and the level at which it is set.
struct FoundSetting
{
    const Setting *setting = nullptr; ///< nullptr when no level sets the key.
    Scope origin;
};

class TreeView
{
public:
    explicit TreeView(const SettingsTree &tree) : m_tree(tree) { }

    /// The names of the tables directly below a path, such as the services below "service".
    [[nodiscard]] std::set<std::string> childNames(const std::string &path) const;
    [[nodiscard]] bool contains(const Scope &scope) const;
    /// The levels from which \a scope inherits, nearest first, starting with itself.
    [[nodiscard]] std::vector<Scope> inheritanceChain(const Scope &scope) const;
    /// The nearest setting of a key along an inheritance chain.
    [[nodiscard]] FoundSetting find(std::string_view key, const std::vector<Scope> &chain) const;
    /// The kind of a route's requests, which may be inherited.
    [[nodiscard]] std::string kindOf(const Scope &route) const;
    /// The path prefix of a route, by default "/" and its name.
    [[nodiscard]] std::string prefixOf(const Scope &route) const;

    [[nodiscard]] const SettingsTree &tree() const noexcept { return m_tree; }

private:
    const SettingsTree &m_tree;
};

[[nodiscard]] inline Scope kindScope(const std::string &kind)
{
    return { SettingLevel::Kind, "kind." + kind };
}

[[nodiscard]] inline Scope serviceScope(const std::string &service)
{
    return { SettingLevel::Service, "service." + service };
}

[[nodiscard]] inline Scope routeScope(const std::string &service, const std::string &route)
{
    return { SettingLevel::Route, "service." + service + ".route." + route };
}

[[nodiscard]] inline Scope versionScope(const std::string &service, const std::string &version)
{
    return { SettingLevel::Version, "service." + service + ".version." + version };
}

/// All findings of a tree.
[[nodiscard]] Findings checkTree(const SettingsTree &tree);

} // namespace camphorreach::impl
