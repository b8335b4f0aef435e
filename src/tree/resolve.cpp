// Resolution of a settings tree to a snapshot, and of the level that sets each value.
#include <camphorreach/impl/treeview.h>
#include <camphorreach/settingstree.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

using impl::FoundSetting;
using impl::Scope;
using impl::TreeView;

EffectiveSetting effectiveSetting(const TreeView &view, const SettingSpec &spec,
                                  const std::vector<Scope> &chain)
{
    const FoundSetting found = view.find(spec.key, chain);
    if (found.setting != nullptr) {
        const std::string origin = found.origin.path.empty() ? "root" : found.origin.path;
        return { std::string(spec.key), found.setting->value, origin, found.setting->location };
    }
    if (spec.type == SettingType::Prefix)
        return { std::string(spec.key), view.prefixOf(chain.front()), "default", {} };
    return { std::string(spec.key), spec.defaultValue, "default", {} };
}

// Reads typed values of one level from a valid tree.
class LevelReader
{
public:
    LevelReader(const TreeView &view, const Scope &scope)
        : m_view(view), m_level(scope.level), m_chain(view.inheritanceChain(scope))
    { }

    [[nodiscard]] std::string text(std::string_view key) const
    {
        const auto value = valueOf(key);
        return value ? std::get<std::string>(*value) : std::string();
    }
    [[nodiscard]] Duration duration(std::string_view key) const
    {
        return parseDuration(text(key)).value_or(Duration());
    }
    [[nodiscard]] std::uint32_t integer(std::string_view key) const
    {
        return static_cast<std::uint32_t>(std::get<std::int64_t>(*valueOf(key)));
    }
    [[nodiscard]] double real(std::string_view key) const
    {
        const SettingValue value = *valueOf(key);
        const auto *integer = std::get_if<std::int64_t>(&value);
        return integer != nullptr ? static_cast<double>(*integer) : std::get<double>(value);
    }

private:
    [[nodiscard]] std::optional<SettingValue> valueOf(std::string_view key) const
    {
        return effectiveSetting(m_view, *findSpec(key, m_level), m_chain).value;
    }

    const TreeView &m_view;
    SettingLevel m_level;
    std::vector<Scope> m_chain;
};

MovePolicy resolveMove(const LevelReader &reader)
{
    MovePolicy move;
    move.soak = reader.duration("move.soak");
    move.falseAlarmRate = reader.real("move.false-alarm-rate");
    move.missRate = reader.real("move.miss-rate");
    move.onTimeWeight = reader.real("move.on-time-weight");
    move.rollbackWeight = reader.real("move.rollback-weight");
    return move;
}

RoutePolicy resolveRoute(const TreeView &view, const Scope &scope)
{
    const LevelReader reader(view, scope);
    const std::string kindName = view.kindOf(scope);
    const LevelReader kind(view, impl::kindScope(kindName));
    RoutePolicy policy;
    policy.name = RouteName(scope.name());
    policy.prefix = view.prefixOf(scope);
    policy.kind = KindName(kindName);
    policy.kindWeight = kind.integer("weight");
    policy.isIdempotent = kind.text("semantics") == "idempotent";
    policy.deadline = reader.duration("deadline");
    policy.maxAttempts = reader.integer("attempts");
    return policy;
}

VersionPolicy resolveVersion(const LevelReader &reader)
{
    return { BackendVersion(reader.text("fallback")), reader.integer("queue-limit") };
}

ServicePolicy resolveService(const TreeView &view, const std::string &name)
{
    constexpr double percent = 100;
    const Scope scope = impl::serviceScope(name);
    const LevelReader reader(view, scope);
    ServicePolicy policy;
    policy.name = ServiceName(name);
    policy.retryBudget = Share::fromFraction(reader.real("retry-budget"));
    policy.queueLimit = reader.integer("queue-limit");
    policy.move = resolveMove(reader);
    for (const std::string &version : view.childNames(scope.path + ".version")) {
        const LevelReader versionReader(view, impl::versionScope(name, version));
        const BackendVersion key(version);
        policy.weights[key] = Share::fromFraction(versionReader.real("weight") / percent);
        policy.versions[key] = resolveVersion(versionReader);
    }
    for (const std::string &route : view.childNames(scope.path + ".route"))
        policy.routes.push_back(resolveRoute(view, impl::routeScope(name, route)));
    std::ranges::stable_sort(policy.routes, [](const RoutePolicy &a, const RoutePolicy &b) {
        return a.prefix.size() > b.prefix.size();
    });
    return policy;
}

// A level, or a level and one key of it.
struct Selection
{
    Scope scope;
    std::string key; // empty: all keys
};

std::optional<Selection> select(const TreeView &view, const std::string &path)
{
    if (path.empty())
        return Selection {};
    // The path of a level with a key appended splits into the level and that key.
    const auto [level, added] = impl::splitPath(path + ".key");
    if (added == "key" && view.contains(level) && level.level != SettingLevel::Root)
        return Selection { level, {} };
    auto [scope, key] = impl::splitPath(path);
    if (view.contains(scope) && findSpec(key, scope.level) != nullptr)
        return Selection { std::move(scope), std::move(key) };
    return std::nullopt;
}

} // namespace

Result<Snapshot> resolve(const SettingsTree &tree, ConfigVersion version)
{
    Findings findings = impl::checkTree(tree);
    if (!findings.empty()) {
        return Error { ErrorCode::InvalidInput, "the settings tree is not valid",
                       std::move(findings) };
    }
    const TreeView view(tree);
    Snapshot snapshot;
    snapshot.version = version;
    snapshot.digest = digestOf(tree);
    for (const std::string &name : view.childNames("service"))
        snapshot.services.emplace(ServiceName(name), resolveService(view, name));
    return snapshot;
}

Result<std::vector<EffectiveSetting>> effectiveSettings(const SettingsTree &tree,
                                                        const std::string &path)
{
    const TreeView view(tree);
    const auto selection = select(view, path);
    if (!selection)
        return Error { ErrorCode::NotFound, "the tree has no level or key \"" + path + "\"" };
    const std::vector<Scope> chain = view.inheritanceChain(selection->scope);
    std::vector<EffectiveSetting> settings;
    for (const SettingSpec &spec : settingSchema()) {
        const bool isWanted = selection->key.empty() || selection->key == spec.key;
        if (isWanted && spec.isAllowedAt(selection->scope.level))
            settings.push_back(effectiveSetting(view, spec, chain));
    }
    return settings;
}

} // namespace camphorreach
