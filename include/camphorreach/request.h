// Messages of a request on its way: guest, router, gate, backend server.
#pragma once

#include <camphorreach/headerfield.h>
#include <camphorreach/ids.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/outcome.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// Name of a kind of request, such as "order". Kinds have weights and semantics in the tree.
using KindName = Strong<struct KindNameTag, std::string>;
/// A connection between nodes, as the accepting side knows it; never reused within a run.
using LinkId = Strong<struct LinkIdTag, std::uint64_t>;
/// A call from a gate to its backend server; never reused within a run.
using CallId = Strong<struct CallIdTag, std::uint64_t>;

/// Id that the guest gave to this attempt of its own; it travels with the request and names it in
/// logs.
using GuestAttemptId = Strong<struct GuestAttemptIdTag, std::string>;

/// Largest request or answer body, in bytes.
inline constexpr std::size_t maxBodyBytes = 1024 * 1024;
/// Deepest call chain; a deeper request is refused as malformed.
inline constexpr std::uint8_t maxCallDepth = 7;

/// What travels unchanged from the guest to the backend server.
struct RequestContent
{
    std::string method;
    std::string target; ///< Path and query below the service's prefix, starting with "/".
    std::string contentType;
    std::string body;
    std::string
        host {}; ///< The host that the guest asked for; selects a route together with the path.
    HeaderFields headers {}; ///< Passed on beside the content type, as they came.

    friend bool operator==(const RequestContent &, const RequestContent &) = default;
};

/// A request as a guest sent it.
struct GuestRequest
{
    RequestId id;
    ServiceName service; ///< Empty when the host and the path select the route.
    Duration budget {}; ///< Time left; zero means that the route's deadline applies.
    IdempotencyKey key;
    bool isFreshKey = false; ///< The guest states that it has never sent `key` before.
    CallDepth depth;
    /// Attempt in which the caller itself was called; zero or one when it was no retry.
    Attempt callerAttempt {};
    RequestContent content;
    GuestAttemptId attemptId {};
    ServiceName caller {}; ///< The service beside whose backend server the request began.
};

/// The guest closed its connection before the answer.
struct GuestGone
{
    RequestId id;
};

struct GuestAnswer
{
    RequestId id;
    Outcome outcome;
};

/// A request on its way from the router of an entry node to a gate.
struct ForwardRequest
{
    RequestId id; ///< Of the entry node; unique per link.
    ServiceName service;
    RouteName route;
    KindName kind;
    std::uint32_t kindWeight = 1;
    bool isIdempotent = false;
    BackendVersion version;
    Duration budget {}; ///< Time left when it was sent.
    /// Time left for an answer that earns its full credit; zero when that has passed or is unknown.
    Duration targetBudget {};
    IdempotencyKey key;
    /// The guest states that it has never sent `key` before, and every earlier attempt of the entry
    /// node is proved not to have run. See docs/notes/idempotency.md.
    bool isFreshKey = false;
    CallDepth depth;
    Attempt attempt;
    ConfigVersion configVersion;
    RequestContent content;
    GuestAttemptId attemptId {};
    ServiceName caller {};

    friend bool operator==(const ForwardRequest &, const ForwardRequest &) = default;
};

struct ForwardCancel
{
    RequestId id;

    friend bool operator==(const ForwardCancel &, const ForwardCancel &) = default;
};

/// Load of a gate, carried on each answer.
struct GateLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const GateLoad &, const GateLoad &) = default;
};

struct ForwardAnswer
{
    RequestId id;
    Outcome outcome;
    GateLoad load;
    /// The request itself, or one that ran beside it, is suspected of the crash behind the outcome;
    /// it is no evidence against the backend server's version.
    bool isCrashSuspect = false;

    friend bool operator==(const ForwardAnswer &, const ForwardAnswer &) = default;
};

/// The part of the protocol between nodes that carries requests.
using RequestMessage = std::variant<ForwardRequest, ForwardCancel, ForwardAnswer>;

/// A connection to another node ended. Lists every request of this node that was on it.
struct LinkDown
{
    NetAddress peer;
    std::vector<RequestId> unsent; ///< No byte of these left this node.
    std::vector<RequestId> unanswered; ///< Sent at least in part, without an answer.
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

/// The connection on which requests came has ended; their work is cancelled.
struct LinkClosed
{
    LinkId link;
};

/// An answer that goes back on the connection on which its request came.
struct ForwardReply
{
    LinkId link;
    ForwardAnswer answer;
};

/// One call to the local backend server.
struct BackendCall
{
    CallId id;
    ForwardRequest request; ///< `budget` is the time left for the call.
    InstanceId server {}; ///< The backend server that is meant; empty when its id is not known.
};

struct BackendCancel
{
    CallId id;
};

enum class BackendFailure : std::uint8_t {
    NotSent, ///< No byte of the request was written.
    Refused, ///< A 503 answer with `X-Not-Run: 1`: the backend server states that it did not start.
    Lost, ///< The connection ended without any answer.
    PartialAnswer, ///< The connection ended inside an answer.
    BadAnswer, ///< An answer came that cannot be passed on: malformed, too large, or of no length.
    TimedOut,
};

/// The end of one call: a whole answer, or how it failed.
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

/// What the backend server says of itself, once it has been checked and put in order.
struct BackendAnnounced
{
    InstanceId server; ///< Id that the backend server gave itself; differs between its starts.
    ServiceName service;
    BackendVersion version;
    std::uint32_t slots = 1; ///< Requests that it runs at the same time.
    bool isAccepting = false; ///< False when it leaves, has gone, or has been silent for too long.
    Duration warmUpLeft {}; ///< How much longer it is slow after its start.

    friend bool operator==(const BackendAnnounced &, const BackendAnnounced &) = default;
};

/// The backend server is about to stop, or stays after all. Ends by itself once a backend server
/// is reachable again.
struct BackendLeaving
{
    bool isLeaving = true;
};

/// The process has been asked to stop: refuse new work, finish the rest.
struct DrainStarted
{ };

/// A node that stops keeps to these times, so that no guest is left without an answer.
struct DrainSchedule
{
    TimePoint lastRequest; ///< Requests that come from then on are refused.
    TimePoint lastOutcome; ///< All others have their outcome by then.
};

/// The gate refuses new work and has nothing left to do. Follows the last answer.
struct GateDrained
{ };

} // namespace camphorreach
