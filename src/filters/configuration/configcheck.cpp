// Findings of a mesh configuration beyond those for which nodes refuse it.
#include <camphorreach/configcheck.h>
#include <camphorreach/impl/configtext.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace camphorreach {
namespace {

using impl::millisecondsText;
using impl::numberText;

std::string labelOf(const HostRoute &route)
{
    const std::string &name = route.policy.name.value();
    return "routes." + (name.empty() ? route.host + route.policy.prefix : name);
}

std::string nameOf(const HostRoute &route)
{
    return "route '" + route.policy.name.value() + "'";
}

// What keeps a prefix from being the beginning of any path, up to a slash; empty if nothing does.
std::string prefixFault(const std::string &prefix)
{
    if (!prefix.starts_with('/'))
        return "does not begin with a slash";
    if (!prefix.ends_with('/'))
        return "does not end with a slash";
    const bool isPath = std::ranges::all_of(
        prefix, [](char c) { return c > ' ' && c < '\x7f' && c != '?' && c != '#'; });
    return isPath ? "" : "has a character that no path has";
}

class MeshChecker
{
public:
    explicit MeshChecker(const MeshConfig &config) : m_config(config) { }

    ConfigReport run()
    {
        m_report.errors = findingsOf(m_config);
        checkServices();
        checkRoutes();
        checkOrganisations();
        checkLimits();
        return std::move(m_report);
    }

private:
    void error(std::string key, std::string text)
    {
        m_report.errors.push_back({ {}, std::move(key), std::move(text) });
    }
    void warn(std::string key, std::string text)
    {
        m_report.warnings.push_back({ {}, std::move(key), std::move(text) });
    }

    void checkServices()
    {
        std::set<ServiceName> names;
        for (const MeshService &service : m_config.services) {
            const std::string key = "services." + service.name.value();
            if (service.name.value().empty())
                error(key, "the name is empty");
            if (!names.insert(service.name).second)
                error(key, "the name is used twice; the first entry applies");
            if (service.maxConnections == 0)
                error(key, "no connection to a backend server is allowed");
        }
        for (const ServiceName &name : names) {
            const bool isUsed = std::ranges::any_of(m_config.routes, [&](const HostRoute &route) {
                return std::ranges::any_of(route.weightedServices, [&](const auto &entry) {
                    return entry.service == name && entry.weight > 0;
                });
            });
            if (!isUsed)
                warn("services." + name.value(), "no route leads to it");
        }
    }

    // The table holds one route for each host and prefix, the last one.
    void checkRoutes()
    {
        std::map<std::pair<std::string, std::string>, const HostRoute *> selected;
        for (const HostRoute &route : m_config.routes)
            selected[{ canonicalHost(route.host), route.policy.prefix }] = &route;
        for (const HostRoute &route : m_config.routes) {
            const HostRoute *other
                = selected.at({ canonicalHost(route.host), route.policy.prefix });
            if (other != &route)
                error(labelOf(route),
                      "can never match: " + nameOf(*other) + " has the same host and prefix");
            checkMatch(route);
            checkSplit(route);
            checkTimes(route);
        }
    }

    void checkMatch(const HostRoute &route)
    {
        if (canonicalHost(route.host).empty())
            error(labelOf(route), "can never match: the host is empty");
        if (const std::string fault = prefixFault(route.policy.prefix); !fault.empty())
            error(labelOf(route),
                  "can never match: the prefix '" + route.policy.prefix + "' " + fault);
    }

    void checkSplit(const HostRoute &route)
    {
        std::uint64_t total = 0;
        std::set<ServiceName> services;
        for (const WeightedService &entry : route.weightedServices) {
            total += entry.weight;
            const std::string name = "service '" + entry.service.value() + "'";
            const bool isKnown
                = std::ranges::find(m_config.services, entry.service, &MeshService::name)
                != m_config.services.end();
            if (!isKnown)
                error(labelOf(route), "there is no " + name);
            if (!services.insert(entry.service).second)
                warn(labelOf(route), name + " is listed twice; its weights add up");
            if (entry.weight == 0 && route.weightedServices.size() > 1)
                warn(labelOf(route), name + " has weight 0 and gets no request");
        }
        if (total == 0)
            error(labelOf(route), "the weights of its services add up to 0");
    }

    void checkTimes(const HostRoute &route)
    {
        const RoutePolicy &policy = route.policy;
        const std::string key = labelOf(route);
        if (policy.deadline <= Duration::zero())
            return error(key, "the deadline is 0, so no request can be answered");
        if (policy.targetLatency > policy.deadline)
            error(key,
                  "the target latency of " + millisecondsText(policy.targetLatency)
                      + " lies beyond the deadline of " + millisecondsText(policy.deadline));
        if (policy.maxAttempts == 0)
            return error(key, "no attempt is allowed");
        const auto attempts = static_cast<Duration::rep>(policy.maxAttempts);
        const std::string times = std::to_string(policy.maxAttempts) + " attempts";
        // Other requests are sent again only after a refusal, which takes no time worth counting.
        if (!policy.isIdempotent || attempts == 1)
            return;
        if (policy.deadline / attempts < minAttemptTime)
            error(key,
                  times + " do not fit into the deadline of " + millisecondsText(policy.deadline)
                      + ": each takes at least " + millisecondsText(minAttemptTime));
        else if (policy.deadline / attempts < policy.targetLatency)
            warn(key,
                 times + " that take the target latency of "
                     + millisecondsText(policy.targetLatency) + " do not fit into the deadline of "
                     + millisecondsText(policy.deadline));
    }

    void checkOrganisations()
    {
        if (m_config.organisations.empty())
            return;
        if (std::ranges::all_of(m_config.routes,
                                [](const auto &route) { return route.policy.isKeyExempt; }))
            warn("organisations", "every route is exempt, so no key is ever asked for");
        for (const Organisation &organisation : m_config.organisations) {
            const std::string key = "organisations." + organisation.name.value();
            if (organisation.keys.empty())
                warn(key, "has no key, so no request belongs to it");
            if (!organisation.quota)
                continue;
            const double burst = organisation.quota->burst.value();
            if (burst >= 0 && burst < 1)
                warn(key,
                     "the burst of " + numberText(burst)
                         + " is less than one request, so two requests at once exceed the quota");
        }
    }

    void checkLimits()
    {
        const HttpLimits &limits = m_config.limits;
        if (limits.headerBytes == 0)
            error("limits.header-bytes", "is 0, so no request can be read");
        if (limits.headerTimeout <= Duration::zero())
            error("limits.header-timeout", "is 0, so no request can be read");
        if (limits.idleTimeout <= Duration::zero())
            warn("limits.idle-timeout", "is 0, so no connection is kept for a second request");
        if (limits.bodyBytes < limits.headerBytes)
            warn("limits.body-bytes",
                 "a body may have " + std::to_string(limits.bodyBytes)
                     + " bytes, less than the header with " + std::to_string(limits.headerBytes));
    }

    const MeshConfig &m_config;
    ConfigReport m_report;
};

} // namespace

ConfigReport checkConfig(const MeshConfig &config)
{
    return MeshChecker(config).run();
}

Findings checkSuccession(const MeshConfig &inForce, const MeshConfig &candidate)
{
    if (candidate.version > inForce.version)
        return {};
    if (candidate.version == inForce.version && changesBetween(inForce, candidate).empty())
        return {};
    return { { {},
               "version",
               "version " + std::to_string(candidate.version.value()) + " is not above version "
                   + std::to_string(inForce.version.value())
                   + ", which is in force, so nodes ignore it" } };
}

} // namespace camphorreach
