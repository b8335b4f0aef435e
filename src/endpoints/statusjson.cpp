// JSON encoding of the configuration status.
#include <camphorreach/impl/statusjson.h>

#include <boost/json.hpp>
#include <utility>

namespace camphorreach::impl {

namespace json = boost::json;

std::string statusJson(const ConfigStatus &status)
{
    json::array refusals;
    for (const RefusalReport &refusal : status.refusals) {
        refusals.push_back({ { "instance", refusal.instance.value() },
                             { "version", refusal.version.value() },
                             { "findings", refusal.findings } });
    }
    json::array unknown;
    for (const FailureDomain &domain : status.unknownDomains)
        unknown.emplace_back(domain.value());
    json::array domains;
    for (const ConfigStatus::Domain &domain : status.domains) {
        domains.push_back({ { "name", domain.name.value() },
                            { "nodes", domain.nodes },
                            { "at_version", domain.atVersion } });
    }
    return json::serialize(json::object { { "version", status.version.value() },
                                          { "in_force_everywhere", status.isInForceEverywhere },
                                          { "nodes_at_version", status.nodesAtVersion },
                                          { "nodes_behind", status.nodesBehind },
                                          { "nodes_refusing", status.nodesRefusing },
                                          { "refusals", std::move(refusals) },
                                          { "unknown_domains", std::move(unknown) },
                                          { "domains", std::move(domains) } });
}

} // namespace camphorreach::impl
