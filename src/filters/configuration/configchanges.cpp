// Differences between two mesh configurations, entry by entry.
#include <camphorreach/configcheck.h>
#include <camphorreach/impl/configtext.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>

namespace camphorreach {
namespace {

using impl::millisecondsText;
using impl::numberText;
using Fields = std::map<std::string, std::string>; // text by name

std::string toText(bool value)
{
    return value ? "true" : "false";
}

Fields fieldsOf(const HostRoute &route)
{
    const RoutePolicy &policy = route.policy;
    std::string services;
    for (const WeightedService &entry : route.weightedServices)
        services += (services.empty() ? "" : ", ") + entry.service.value() + " "
            + std::to_string(entry.weight);
    return { { "name", policy.name.value() },
             { "kind-weight", std::to_string(policy.kindWeight) },
             { "idempotent", toText(policy.isIdempotent) },
             { "deadline", millisecondsText(policy.deadline) },
             { "attempts", std::to_string(policy.maxAttempts) },
             { "target-latency", millisecondsText(policy.targetLatency) },
             { "key-exempt", toText(policy.isKeyExempt) },
             { "services", std::move(services) } };
}

Fields fieldsOf(const MeshService &service)
{
    Fields fields { { "connections", std::to_string(service.maxConnections) } };
    if (service.warmUp) {
        fields["warm-up"] = millisecondsText(service.warmUp->duration);
        fields["warm-up-rate"]
            = numberText(static_cast<double>(service.warmUp->rate.value()) / 1000) + "/s";
        fields["health-path"] = service.warmUp->healthPath;
    }
    return fields;
}

Fields fieldsOf(const Organisation &organisation)
{
    Fields fields { { "keys", std::to_string(organisation.keys.size()) } };
    if (organisation.weight)
        fields["weight"] = std::to_string(*organisation.weight);
    if (organisation.quota) {
        fields["rate"] = numberText(organisation.quota->rate.value()) + "/s";
        fields["burst"] = numberText(organisation.quota->burst.value());
    }
    return fields;
}

Fields fieldsOf(const HttpLimits &limits)
{
    return { { "header-bytes", std::to_string(limits.headerBytes) },
             { "body-bytes", std::to_string(limits.bodyBytes) },
             { "header-timeout", millisecondsText(limits.headerTimeout) },
             { "idle-timeout", millisecondsText(limits.idleTimeout) } };
}

std::string toText(const Fields &fields)
{
    std::string text;
    for (const auto &[name, value] : fields)
        text += (text.empty() ? "" : "; ") + name + " " + value;
    return text;
}

class ChangeList
{
public:
    void compare(const std::string &key, const Fields &before, const Fields &after)
    {
        Fields both = before;
        both.insert(after.begin(), after.end());
        for (const auto &[name, ignored] : both) {
            const auto old = before.find(name);
            const auto changed = after.find(name);
            const std::string path = key + "." + name;
            if (old == before.end())
                add(ConfigChange::Kind::Added, path, "", changed->second);
            else if (changed == after.end())
                add(ConfigChange::Kind::Removed, path, old->second, "");
            else if (old->second != changed->second)
                add(ConfigChange::Kind::Changed, path, old->second, changed->second);
        }
    }

    // Of several entries with the same identity, the last one counts.
    template <typename Entry, typename Identity>
    void compareLists(const std::string &table, const std::vector<Entry> &before,
                      const std::vector<Entry> &after, Identity identity)
    {
        std::map<std::string, std::pair<const Entry *, const Entry *>> entries;
        for (const Entry &entry : before)
            entries[identity(entry)].first = &entry;
        for (const Entry &entry : after)
            entries[identity(entry)].second = &entry;
        for (const auto &[name, pair] : entries) {
            const std::string key = table + "." + name;
            if (pair.first == nullptr)
                add(ConfigChange::Kind::Added, key, "", toText(fieldsOf(*pair.second)));
            else if (pair.second == nullptr)
                add(ConfigChange::Kind::Removed, key, toText(fieldsOf(*pair.first)), "");
            else
                compare(key, fieldsOf(*pair.first), fieldsOf(*pair.second));
        }
    }

    void add(ConfigChange::Kind kind, std::string key, std::string before, std::string after)
    {
        m_changes.push_back({ kind, std::move(key), std::move(before), std::move(after) });
    }

    [[nodiscard]] std::vector<ConfigChange> take() { return std::move(m_changes); }

private:
    std::vector<ConfigChange> m_changes;
};

// Keys that are replaced by as many others would not show in their number.
void compareKeys(const MeshConfig &inForce, const MeshConfig &candidate, ChangeList &changes)
{
    for (const Organisation &after : candidate.organisations) {
        const auto before
            = std::ranges::find(inForce.organisations, after.name, &Organisation::name);
        if (before == inForce.organisations.end())
            continue;
        const auto missingIn = [](const std::vector<ApiKey> &keys, const std::vector<ApiKey> &all) {
            return std::ranges::count_if(
                keys, [&](const ApiKey &key) { return std::ranges::find(all, key) == all.end(); });
        };
        const std::string key = "organisations." + after.name.value();
        if (const auto withdrawn = missingIn(before->keys, after.keys); withdrawn > 0)
            changes.add(ConfigChange::Kind::Removed, key + ".withdrawn-keys",
                        std::to_string(withdrawn), "");
        if (const auto added = missingIn(after.keys, before->keys); added > 0)
            changes.add(ConfigChange::Kind::Added, key + ".new-keys", "", std::to_string(added));
    }
}

} // namespace

std::vector<ConfigChange> changesBetween(const MeshConfig &inForce, const MeshConfig &candidate)
{
    ChangeList changes;
    changes.compareLists("routes", inForce.routes, candidate.routes, [](const HostRoute &route) {
        return canonicalHost(route.host) + route.policy.prefix;
    });
    const auto nameOf = [](const auto &entry) { return entry.name.value(); };
    changes.compareLists("services", inForce.services, candidate.services, nameOf);
    changes.compareLists("organisations", inForce.organisations, candidate.organisations, nameOf);
    compareKeys(inForce, candidate, changes);
    changes.compare("limits", fieldsOf(inForce.limits), fieldsOf(candidate.limits));
    return changes.take();
}

} // namespace camphorreach
