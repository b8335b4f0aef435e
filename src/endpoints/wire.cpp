// Encoding of messages between nodes with cereal.
#include <camphorreach/impl/archive.h>
#include <camphorreach/impl/configwire.h>
#include <camphorreach/impl/membershipwire.h>
#include <camphorreach/impl/movewire.h>
#include <camphorreach/impl/quotawire.h>
#include <camphorreach/impl/wire.h>

#include <arpa/inet.h>

#include <array>
#include <exception>

namespace camphorreach {
namespace {

constexpr std::size_t ipv4Bytes = 4;

std::string toIpv4Text(const std::array<std::uint8_t, ipv4Bytes> &bytes)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    ::inet_ntop(AF_INET, bytes.data(), text.data(), text.size());
    return text.data();
}

// Accepts only the text that toIpv4Text() returns, so that decoding restores the host.
bool parseIpv4(const std::string &host, std::array<std::uint8_t, ipv4Bytes> &bytes)
{
    return ::inet_pton(AF_INET, host.c_str(), bytes.data()) == 1 && toIpv4Text(bytes) == host;
}

} // namespace

// NOLINTBEGIN(readability-identifier-naming): cereal requires the name `serialize`.
// An IPv4 address is encoded as its four bytes, because every message has the sender's address.
template <typename Archive>
void serialize(Archive &archive, NetAddress &address)
{
    std::array<std::uint8_t, ipv4Bytes> bytes {};
    std::uint8_t isIpv4 = 0;
    if constexpr (Archive::is_saving::value)
        isIpv4 = parseIpv4(address.host, bytes) ? 1 : 0;
    archive(isIpv4);
    if (isIpv4 > 1)
        throw cereal::Exception("the family of an address is unknown");
    if (isIpv4 == 0) {
        archive(address.host, address.port);
        return;
    }
    for (std::uint8_t &byte : bytes)
        archive(byte);
    archive(address.port);
    if constexpr (Archive::is_loading::value)
        address.host = toIpv4Text(bytes);
}

template <typename Archive>
void serialize(Archive &archive, HeaderField &field)
{
    archive(field.name, field.value);
}

template <typename Archive>
void serialize(Archive &archive, Answered &answered)
{
    archive(answered.status, answered.contentType, answered.body, answered.headers);
}

template <typename Archive>
void serialize(Archive &archive, NotRun &notRun)
{
    archive(notRun.reason, notRun.retryAfter);
}

template <typename Archive>
void serialize(Archive &archive, OutcomeUnknown &unknown)
{
    archive(unknown.reason);
}

template <typename Archive>
void serialize(Archive &archive, RequestContent &content)
{
    archive(content.method, content.target, content.contentType, content.body, content.host,
            content.headers);
}

template <typename Archive>
void serialize(Archive &archive, ForwardRequest &request)
{
    archive(request.id, request.service, request.route, request.kind, request.kindWeight,
            request.routeWeight, request.isIdempotent, request.version, request.budget,
            request.targetBudget, request.key, request.isFreshKey, request.depth, request.attempt,
            request.configVersion, request.content, request.attemptId, request.caller,
            request.organisation);
}

template <typename Archive>
void serialize(Archive &archive, LargeBodyRef &body)
{
    archive(body.size, body.digest);
}

template <typename Archive>
void serialize(Archive &archive, ForwardOffer &offer)
{
    archive(offer.request, offer.request.content.large, offer.request.bodyTime);
}

template <typename Archive>
void serialize(Archive &archive, BodyCredit &credit)
{
    archive(credit.id, credit.end);
}

template <typename Archive>
void serialize(Archive &archive, BodyPart &part)
{
    archive(part.id, part.offset, part.bytes);
}

template <typename Archive>
void serialize(Archive &archive, ResponseOffer &offer)
{
    archive(offer.id, offer.size);
}

template <typename Archive>
void serialize(Archive &archive, ForwardCancel &cancel)
{
    archive(cancel.id);
}

template <typename Archive>
void serialize(Archive &archive, GateLoad &load)
{
    archive(load.running, load.queued, load.slots, load.expectedStart, load.expectedRun);
}

template <typename Archive>
void serialize(Archive &archive, ForwardResponse &answer)
{
    archive(answer.id, answer.outcome, answer.load, answer.isCrashSuspect);
}

template <typename Archive>
void serialize(Archive &archive, LargeResponse &response)
{
    archive(response.answer);
    archive(std::get<Answered>(response.answer.outcome).large); // throws for other outcomes
}

template <typename Archive>
void serialize(Archive &archive, QuarantineEntry &entry)
{
    archive(entry.fingerprint, entry.remaining, entry.isConfirmed, entry.crashes);
}

template <typename Archive>
void serialize(Archive &archive, QuarantineNotice &notice)
{
    archive(notice.service, notice.entries, notice.isAnswer);
}

template <typename Archive>
void serialize(Archive &archive, QuarantineRequest &request)
{
    archive(request.service);
}

template <typename Archive>
void serialize(Archive &, LinkClosing &)
{ }

template <typename Archive>
void serialize(Archive &archive, Endpoint &endpoint)
{
    archive(endpoint.instance, endpoint.peer, endpoint.domain, endpoint.region, endpoint.service,
            endpoint.version, endpoint.incarnation, endpoint.slots, endpoint.state);
}

template <typename Archive>
void serialize(Archive &archive, RoutePolicy &policy)
{
    archive(policy.name, policy.prefix, policy.kind, policy.kindWeight, policy.isIdempotent,
            policy.deadline, policy.maxAttempts, policy.targetLatency, policy.maySpill,
            policy.isKeyExempt);
}

template <typename Archive>
void serialize(Archive &archive, WeightedService &entry)
{
    archive(entry.service, entry.weight);
}

template <typename Archive>
void serialize(Archive &archive, HostRoute &route)
{
    archive(route.host, route.policy, route.weightedServices);
}

template <typename Archive>
void serialize(Archive &archive, HttpLimits &limits)
{
    archive(limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout);
}

template <typename Archive>
void serialize(Archive &archive, WarmUpPolicy &policy)
{
    archive(policy.duration, policy.rate, policy.healthPath);
}

template <typename Archive>
void serialize(Archive &archive, MeshService &service)
{
    archive(service.name, service.maxConnections, service.warmUp);
}

template <typename Archive>
void serialize(Archive &archive, RequestQuota &quota)
{
    archive(quota.rate, quota.burst);
}

template <typename Archive>
void serialize(Archive &archive, Organisation &organisation)
{
    archive(organisation.name, organisation.keys, organisation.weight, organisation.quota);
}

template <typename Archive>
void serialize(Archive &archive, RouteKey &key)
{
    archive(key.host, key.prefix);
}

template <typename Archive>
void serialize(Archive &archive, ConfigDelta &delta)
{
    archive(delta.base, delta.version, delta.digest, delta.set, delta.removed, delta.services,
            delta.limits, delta.organisations, delta.removedOrganisations);
}

template <typename Archive>
void serialize(Archive &archive, RolloutOrder &order)
{
    archive(order.service, order.target, order.ramp, order.state, order.version);
}

template <typename Archive>
void serialize(Archive &archive, EvacuationOrder &order)
{
    archive(order.domain, order.version, order.isActive);
}

template <typename Archive>
void serialize(Archive &archive, CatalogVersions &versions)
{
    archive(versions.config, versions.orders, versions.evacuations);
}

template <typename Archive>
void serialize(Archive &archive, CatalogDigest &digest)
{
    archive(digest.versions, digest.staleness, digest.isAnswer);
}

template <typename Archive>
void serialize(Archive &archive, CatalogPull &pull)
{
    archive(pull.versions);
}

template <typename Archive>
void serialize(Archive &archive, CatalogUpdate &update)
{
    archive(update.versions, update.config, update.orders, update.staleness, update.evacuations);
}

template <typename Archive>
void serialize(Archive &archive, CatalogProofRequest &request)
{
    archive(request.nonce);
}

template <typename Archive>
void serialize(Archive &archive, CatalogProofReply &reply)
{
    archive(reply.nonce, reply.version, reply.age);
}

template <typename Archive>
void serialize(Archive &archive, RolloutCounts &counts)
{
    archive(counts.requests, counts.failures, counts.settled, counts.slow);
}

template <typename Archive>
void serialize(Archive &archive, RolloutReport &report)
{
    archive(report.node, report.service, report.target, report.elapsed, report.baseline,
            report.candidate);
}

template <typename Archive>
void serialize(Archive &archive, RolloutDirective &directive)
{
    archive(directive.service, directive.target, directive.share, directive.isBad,
            directive.elapsed);
}

namespace impl {

template <typename Archive>
void serialize(Archive &archive, Envelope &envelope)
{
    archive(envelope.sender, envelope.message);
}
// NOLINTEND(readability-identifier-naming)

std::string encodePayload(const Envelope &envelope)
{
    std::string payload;
    payload.push_back(static_cast<char>(protocolVersion));
    StringOutputArchive archive(payload);
    archive(envelope);
    return payload;
}

Result<Envelope> decodePayload(std::string_view payload)
{
    if (payload.empty())
        return Error { ErrorCode::Malformed, "the message is empty" };
    if (static_cast<std::uint8_t>(payload.front()) != protocolVersion)
        return Error { ErrorCode::Malformed, "the protocol version is not supported" };
    try {
        CheckedInputArchive archive(payload.substr(1));
        Envelope envelope;
        archive(envelope);
        if (archive.remaining() != 0)
            return Error { ErrorCode::Malformed, "the message has trailing bytes" };
        return envelope;
    } catch (const std::exception &exception) {
        return Error { ErrorCode::Malformed, exception.what() };
    }
}

namespace {

constexpr std::uint32_t pieceFlag = 1U << 31U;
constexpr std::uint32_t lastPieceFlag = 1U << 30U;
constexpr std::uint32_t requestClassFlag = 1U << 29U;
constexpr std::uint32_t lengthMask = (1U << 24U) - 1;
constexpr std::uint32_t allFlags = pieceFlag | lastPieceFlag | requestClassFlag;

static_assert(maxFrameBytes <= lengthMask);

std::string withHeader(std::string_view payload, std::uint32_t flags)
{
    const std::uint32_t word = static_cast<std::uint32_t>(payload.size()) | flags;
    std::string result;
    result.reserve(frameHeaderBytes + payload.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        result.push_back(static_cast<char>((word >> shift) & 0xff));
    result.append(payload);
    return result;
}

} // namespace

std::string encodeFrame(std::string_view payload)
{
    return withHeader(payload, 0);
}

std::string encodePiece(std::string_view part, FrameClass frameClass, bool isLast)
{
    return withHeader(part,
                      pieceFlag | (isLast ? lastPieceFlag : 0)
                          | (frameClass == FrameClass::Request ? requestClassFlag : 0));
}

Result<FrameHeader> decodeFrameHeader(std::string_view header)
{
    if (header.size() != frameHeaderBytes)
        return Error { ErrorCode::Malformed, "the frame header is truncated" };
    std::uint32_t word = 0;
    for (const char byte : header)
        word = (word << 8U) | static_cast<std::uint8_t>(byte);
    const std::uint32_t flags = word & ~lengthMask;
    if ((flags & ~allFlags) != 0 || (flags != 0 && (flags & pieceFlag) == 0))
        return Error { ErrorCode::Malformed, "the frame has unknown flags" };
    FrameHeader result;
    result.length = word & lengthMask;
    result.isPiece = (flags & pieceFlag) != 0;
    result.isLastPiece = (flags & lastPieceFlag) != 0;
    if ((flags & requestClassFlag) != 0)
        result.frameClass = FrameClass::Request;
    if (result.length == 0 || result.length > maxFrameBytes)
        return Error { ErrorCode::Malformed, "the frame length is out of range" };
    return result;
}

} // namespace impl
} // namespace camphorreach
