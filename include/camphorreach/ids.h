// Strong types for the ids, names, versions and counters that components share.
#pragma once

#include <camphorreach/strong.h>

#include <cstdint>
#include <string>

namespace camphorreach {

/// Name of an instance: unique among running instances, reused when an instance is replaced.
using InstanceId = Strong<struct InstanceIdTag, std::string>;
/// Name of a failure domain, such as "arima".
using FailureDomain = Strong<struct FailureDomainTag, std::string>;
/// Name of a service, such as "orders".
using ServiceName = Strong<struct ServiceNameTag, std::string>;
/// Name of a route inside a service.
using RouteName = Strong<struct RouteNameTag, std::string>;
/// Name of an organisation, such as "ice-depot-3".
using OrganisationName = Strong<struct OrganisationNameTag, std::string>;
/// Secret that identifies the organisation of a request. Never logged, dumped or passed on.
using ApiKey = Strong<struct ApiKeyTag, std::string>;
/// Version label of a backend server, such as "v2".
using BackendVersion = Strong<struct BackendVersionTag, std::string>;
/// Version of the configuration. Zero means that there is none yet.
using ConfigVersion = Strong<struct ConfigVersionTag, std::uint64_t>;
/// SWIM incarnation of a member: of two updates about a member, the one with the higher incarnation
/// overrides the other. A process starts with a higher number than its previous run, and increments
/// it to refute a suspicion or to announce a change of its own state.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Request id, unique within one run of the node that received the request from a client.
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;
/// Distinguishes successive connections that reuse the same slot in a table.
using Generation = Strong<struct GenerationTag, std::uint64_t>;
/// Idempotency key as the client sent it. Empty when there is none.
using IdempotencyKey = Strong<struct IdempotencyKeyTag, std::string>;
/// Id of an operator's operation, which identifies a write whose response was lost.
using OperationId = Strong<struct OperationIdTag, std::string>;
/// Version of an object in the platform's store. Zero means that the object does not exist.
using ObjectVersion = Strong<struct ObjectVersionTag, std::uint64_t>;
/// Key of an object in the platform's store, such as "config/head".
using ObjectKey = Strong<struct ObjectKeyTag, std::string>;
/// Hash that identifies content: a settings tree, or a request's fingerprint.
using Digest = Strong<struct DigestTag, std::uint64_t>;
/// Number of calls above this one in the call chain; zero for a client's original request.
using CallDepth = Strong<struct CallDepthTag, std::uint8_t>;
/// Attempt number of a request, counted from one.
using Attempt = Strong<struct AttemptTag, std::uint8_t>;

} // namespace camphorreach
