// JSON encoding of platform values.
#include <camphorreach/impl/platformcodec.h>

#include <array>
#include <boost/json.hpp>
#include <exception>
#include <stdexcept>

namespace camphorreach {

namespace json = boost::json;

ObjectKey configHeadKey()
{
    return ObjectKey("config/head");
}

namespace impl {
namespace {

constexpr std::array moveStates {
    MoveState::Requested, MoveState::Ramping,    MoveState::Soaking,
    MoveState::Done,      MoveState::RolledBack, MoveState::Cancelled
};

std::string text(const json::value &document, const char *key)
{
    return std::string(document.at(key).as_string());
}

template <typename Number>
Number number(const json::value &document, const char *key)
{
    return document.at(key).to_number<Number>();
}

json::object toJson(const ConfigHead &head)
{
    json::array operations;
    for (const OperationId &operation : head.operations)
        operations.emplace_back(operation.value());
    return { { "version", head.version.value() },
             { "operations", std::move(operations) },
             { "tree", head.tree } };
}

json::object toJson(const LeaseRecord &lease)
{
    return { { "holder", lease.holder.value() },
             { "peer_host", lease.peer.host },
             { "peer_port", lease.peer.port },
             { "incarnation", lease.incarnation.value() },
             { "renewals", lease.renewals } };
}

json::object toJson(const MoveRecord &move)
{
    json::object shares;
    for (const auto &[domain, share] : move.domainShares)
        shares[domain.value()] = share.millionths();
    json::array verdicts;
    for (const RecordedVerdict &verdict : move.verdicts) {
        verdicts.push_back({ { "version", verdict.version.value() },
                             { "operation", verdict.operation.value() },
                             { "failure_domain", verdict.domain.value() },
                             { "reason", verdict.reason } });
    }
    return { { "service", move.service.value() },
             { "from", move.from.value() },
             { "to", move.to.value() },
             { "state", toText(move.state) },
             { "share_millionths", move.share.millionths() },
             { "requested_at_ms", move.requestedAt.value() },
             { "deadline_ms", move.deadline.value() },
             { "operation", move.operation.value() },
             { "explanation", move.explanation },
             { "stepped_at_ms", move.steppedAt.value() },
             { "domain_share_millionths", std::move(shares) },
             { "scope_failure_domain", move.scopeDomain.value() },
             { "scope_route", move.scopeRoute.value() },
             { "verdicts", std::move(verdicts) } };
}

ConfigHead toConfigHead(const json::value &document)
{
    ConfigHead head;
    head.version = ConfigVersion(number<std::uint64_t>(document, "version"));
    for (const json::value &operation : document.at("operations").as_array())
        head.operations.emplace_back(std::string(operation.as_string()));
    head.tree = text(document, "tree");
    return head;
}

LeaseRecord toLeaseRecord(const json::value &document)
{
    LeaseRecord lease;
    lease.holder = InstanceId(text(document, "holder"));
    lease.peer.host = text(document, "peer_host");
    lease.peer.port = number<std::uint16_t>(document, "peer_port");
    lease.incarnation = Incarnation(number<std::uint64_t>(document, "incarnation"));
    lease.renewals = number<std::uint64_t>(document, "renewals");
    return lease;
}

MoveState toMoveState(std::string_view name)
{
    for (const MoveState state : moveStates) {
        if (name == toText(state))
            return state;
    }
    throw std::invalid_argument("unknown move state: " + std::string(name));
}

MoveRecord toMoveRecord(const json::value &document)
{
    MoveRecord move;
    move.service = ServiceName(text(document, "service"));
    move.from = BackendVersion(text(document, "from"));
    move.to = BackendVersion(text(document, "to"));
    move.state = toMoveState(text(document, "state"));
    move.share = Share::fromMillionths(number<std::uint32_t>(document, "share_millionths"));
    move.requestedAt = WallTime(number<std::int64_t>(document, "requested_at_ms"));
    move.deadline = WallTime(number<std::int64_t>(document, "deadline_ms"));
    move.operation = OperationId(text(document, "operation"));
    move.explanation = text(document, "explanation");
    move.steppedAt = WallTime(number<std::int64_t>(document, "stepped_at_ms"));
    for (const auto &[domain, share] : document.at("domain_share_millionths").as_object()) {
        move.domainShares[FailureDomain(std::string(domain))]
            = Share::fromMillionths(share.to_number<std::uint32_t>());
    }
    move.scopeDomain = FailureDomain(text(document, "scope_failure_domain"));
    move.scopeRoute = RouteName(text(document, "scope_route"));
    for (const json::value &verdict : document.at("verdicts").as_array()) {
        move.verdicts.push_back(
            { BackendVersion(text(verdict, "version")), OperationId(text(verdict, "operation")),
              FailureDomain(text(verdict, "failure_domain")), text(verdict, "reason") });
    }
    return move;
}

} // namespace

std::string encodeValue(const PlatformValue &value)
{
    return json::serialize(std::visit([](const auto &record) { return toJson(record); }, value));
}

Result<PlatformValue> decodeValue(const ObjectKey &key, std::string_view text)
{
    try {
        const json::value document = json::parse(json::string_view(text.data(), text.size()));
        if (key.value().starts_with("config/"))
            return PlatformValue(toConfigHead(document));
        if (key.value().starts_with("lease/"))
            return PlatformValue(toLeaseRecord(document));
        if (key.value().starts_with("move/"))
            return PlatformValue(toMoveRecord(document));
        return Error { ErrorCode::Malformed, key.value() + ": unknown key prefix" };
    } catch (const std::exception &exception) {
        return Error { ErrorCode::Malformed, key.value() + ": " + exception.what() };
    }
}

} // namespace impl
} // namespace camphorreach
