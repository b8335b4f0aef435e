// Messages of the request path: client, router, gate, backend server.
#pragma once

#include <camphorreach/headerfield.h>
#include <camphorreach/ids.h>
#include <camphorreach/largebody.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/outcome.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// Name of a kind of request, such as "order". The settings give each kind a weight and semantics.
using KindName = Strong<struct KindNameTag, std::string>;
/// Id of a connection from another node, assigned by the accepting node; never reused by a process.
using LinkId = Strong<struct LinkIdTag, std::uint64_t>;
/// Id of a call from a gate to its backend server; never reused by a process.
using CallId = Strong<struct CallIdTag, std::uint64_t>;

/// Id that the client gave to its attempt; it is passed on with the request and identifies it in
/// logs.
using ClientAttemptId = Strong<struct ClientAttemptIdTag, std::string>;

/// Maximum size of a body that is not large, in bytes.
inline constexpr std::size_t maxBodyBytes = 1024 * 1024;
/// Maximum size of a response body. See docs/design/large-bodies.md.
inline constexpr std::size_t maxLargeResponseBytes = 64 * 1024 * 1024;
/// Maximum length of a call chain; a request with this depth or more is refused as malformed.
inline constexpr std::uint8_t maxCallDepth = 7;

/// The part of a request that is passed from the client to the backend server unchanged.
struct RequestContent
{
    std::string method;
    std::string target; ///< Path and query without the service's prefix, starting with "/".
    std::string contentType;
    std::string body;
    std::string host {}; ///< The requested host; selects a route together with the path.
    HeaderFields headers {}; ///< Further header fields, as received.
    LargeBodyRef large {}; ///< The body if it is above maxBodyBytes; `body` is then empty.

    [[nodiscard]] ByteCount bodySize() const noexcept
    {
        return ByteCount(body.size() + large.size.value());
    }

    friend bool operator==(const RequestContent &, const RequestContent &) = default;
};

/// A request as received from a client.
struct ClientRequest
{
    RequestId id;
    ServiceName service; ///< Empty when the host and the path select the route.
    Duration budget {}; ///< Time left; zero applies the route's deadline.
    IdempotencyKey key;
    bool isFreshKey = false; ///< The client states that it has never sent `key` before.
    CallDepth depth;
    /// Attempt number of the request that the caller is serving; zero or one when that was not a
    /// retry.
    Attempt callerAttempt {};
    RequestContent content;
    ClientAttemptId attemptId {};
    ServiceName caller {}; ///< Service of the node that accepted the request.
    ApiKey apiKey {}; ///< As sent by the client; empty when there is none.
};

/// The client closed its connection before the response was sent.
struct ClientDisconnected
{
    RequestId id;
};

struct ClientResponse
{
    RequestId id;
    Outcome outcome;
};

/// A request from the router of an entry node to a gate.
struct ForwardRequest
{
    RequestId id; ///< Assigned by the entry node; unique per link.
    ServiceName service;
    RouteName route;
    KindName kind;
    std::uint32_t kindWeight = 1; ///< The weight of the organisation goes before the route's.
    std::uint32_t routeWeight = 1; ///< Weight of the route among those of the organisation.
    bool isIdempotent = false;
    BackendVersion version;
    Duration budget {}; ///< Time left when the request was sent.
    /// Time left to meet the route's target latency: zero if it has none, and the smallest positive
    /// duration when it has passed.
    Duration targetBudget {};
    IdempotencyKey key;
    /// The client states that it has never sent `key` before, and it is certain that no earlier
    /// attempt of the entry node ran. See docs/notes/idempotency.md.
    bool isFreshKey = false;
    CallDepth depth;
    Attempt attempt;
    ConfigVersion configVersion;
    RequestContent content;
    ClientAttemptId attemptId {};
    ServiceName caller {};
    OrganisationName organisation {}; ///< Empty when the request needed no key.
    /// Expected time until a large body has arrived; zero when it is on this node.
    Duration bodyTime {};

    friend bool operator==(const ForwardRequest &, const ForwardRequest &) = default;
};

struct ForwardCancel
{
    RequestId id;

    friend bool operator==(const ForwardCancel &, const ForwardCancel &) = default;
};

/// Load of a gate, reported with every response.
struct GateLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    /// Expected time until a new request starts. Zero while a slot is free or it is not known.
    Duration expectedStart {};
    /// Expected time that a request like the answered one runs here now; zero when not known.
    Duration expectedRun {};

    friend bool operator==(const GateLoad &, const GateLoad &) = default;
};

struct ForwardResponse
{
    RequestId id;
    Outcome outcome;
    GateLoad load;
    /// The crash behind the outcome is attributed to this request or to one that ran at the same
    /// time, or the request is quarantined. The outcome is then no evidence against the backend
    /// server's version.
    bool isCrashSuspect = false;

    friend bool operator==(const ForwardResponse &, const ForwardResponse &) = default;
};

/// A request with a large body, without the bytes of the body. The gate asks for them once it runs
/// the request.
struct ForwardOffer
{
    ForwardRequest request; ///< Encoded with the size and the digest of its body.

    friend bool operator==(const ForwardOffer &, const ForwardOffer &) = default;
};

/// The gate takes the bytes of a large body up to this offset, or the entry node those of a large
/// response.
struct BodyCredit
{
    RequestId id;
    ByteCount end;

    friend bool operator==(const BodyCredit &, const BodyCredit &) = default;
};

/// Bytes of a large body, of a request or of its response, in order.
struct BodyPart
{
    RequestId id;
    ByteCount offset;
    std::string bytes;

    friend bool operator==(const BodyPart &, const BodyPart &) = default;
};

/// A large response has begun. The entry node asks for its bytes once it has memory for them.
struct ResponseOffer
{
    RequestId id;
    ByteCount size; ///< Zero when the backend server does not announce it.

    friend bool operator==(const ResponseOffer &, const ResponseOffer &) = default;
};

/// The end of a large response, behind its last part.
struct LargeResponse
{
    ForwardResponse answer; ///< Encoded with the size and the digest of its body.

    friend bool operator==(const LargeResponse &, const LargeResponse &) = default;
};

/// The messages about requests in the protocol between nodes.
using RequestMessage = std::variant<ForwardRequest, ForwardCancel, ForwardResponse, ForwardOffer,
                                    BodyCredit, BodyPart, ResponseOffer, LargeResponse>;

/// A connection to another node ended. Lists the requests of this node that were on it.
struct LinkDown
{
    NetAddress peer;
    std::vector<RequestId> unsent; ///< Requests of which no byte was sent.
    std::vector<RequestId> unanswered; ///< Requests sent at least partly, without a response.
};

/// A request that reached this node's gate.
struct ForwardReceived
{
    LinkId link;
    ForwardRequest request;
};

struct CancelReceived
{
    LinkId link;
    RequestId id;
};

/// A connection on which requests arrived has ended; they are cancelled.
struct LinkClosed
{
    LinkId link;
};

/// A response, to be sent on the connection on which its request arrived.
struct ForwardReply
{
    LinkId link;
    ForwardResponse answer;
};

/// One call to the local backend server.
struct BackendCall
{
    CallId id;
    ForwardRequest request; ///< `budget` is the time left for the call.
    InstanceId server {}; ///< The backend server to call; empty when its id is unknown.
    LinkId link {}; ///< Where the request came from; a large body that is not here comes from it.
};

struct BackendCancel
{
    CallId id;
};

enum class BackendFailure : std::uint8_t {
    NotSent, ///< No byte of the request was written.
    InvalidRequest, ///< HTTP/1.1 does not allow the request, so nothing was written.
    Refused, ///< A 503 response with `X-Not-Run: 1`, which states that it was not started.
    ConnectionLost, ///< The connection ended before the response began.
    PartialResponse, ///< The connection ended within the response.
    /// The response cannot be passed on: malformed or without a length.
    InvalidResponse,
    ResponseTooLarge, ///< Its body is above maxLargeResponseBytes.
    TimedOut,
    BodyLost, ///< The rest of a large body cannot arrive. A part of the request was written.
};

/// The end of a call: the complete response, or how it failed.
struct BackendResult
{
    CallId id;
    std::variant<Answered, BackendFailure> result;
};

/// The backend server accepts connections again, or has stopped accepting them.
struct BackendReachable
{
    bool isReachable = false;
};

/// Asks the local backend server for its state.
struct HealthCall
{
    CallId id;
    std::string path;
    Duration timeout {};
};

/// What the backend server states about itself in a health response. Whether it considers itself
/// healthy is not among it: that may be wrong either way.
struct BackendHealth
{
    InstanceId server; ///< Empty when the response names none.
    std::optional<Duration> warmUpLeft {}; ///< Zero when it is warm; empty when not stated.

    friend bool operator==(const BackendHealth &, const BackendHealth &) = default;
};

/// The end of a health call; without a state if it was not answered.
struct HealthResult
{
    CallId id;
    std::optional<BackendHealth> health;
};

/// The state of the local backend server, from its validated and ordered announcements.
struct BackendAnnounced
{
    InstanceId server; ///< Id that the backend server chose; differs with every start.
    ServiceName service;
    BackendVersion version;
    std::uint32_t slots = 1; ///< Requests that it runs concurrently.
    bool isAccepting = false; ///< False when it is draining, gone, or silent for too long.
    Duration warmUpLeft {}; ///< Time left of the slow phase after its start.

    friend bool operator==(const BackendAnnounced &, const BackendAnnounced &) = default;
};

/// The backend server is about to stop, or will not stop after all. The state is cleared when a
/// backend server becomes reachable again.
struct BackendLeaving
{
    bool isLeaving = true;
};

/// The process was asked to stop: refuse new requests and finish the others.
struct DrainStarted
{ };

/// The times by which a draining node ends its requests, so that every client gets a response.
struct DrainSchedule
{
    TimePoint admissionEnd; ///< Requests that arrive from then on are refused.
    TimePoint outcomeDeadline; ///< Latest deadline of all other requests.
};

/// The gate has drained: it refuses new requests, and all others have been answered. Emitted after
/// the last response.
struct GateDrained
{ };

} // namespace camphorreach
