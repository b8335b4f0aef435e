// A stand-in for the platform's store that holds one configuration, over HTTP on loopback.
#pragma once

#include "nodefixture.h"

#include <camphorreach/impl/httpclient.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorreach {

/// Serves two routes to "orders", "a.example/bags/" for run-once requests and "a.example/hats/" for
/// idempotent ones, and keeps the records of nodes. Its watches wait without end.
class StoreStandin
{
public:
    StoreStandin();

    [[nodiscard]] NetAddress address() const { return m_server.address(); }

private:
    [[nodiscard]] std::optional<impl::HttpResponse> respond(const impl::HttpRequest &request);

    std::vector<std::string> m_nodes; // records; used by the server's thread
    LoopbackServer m_server;
};

/// Sends one request on a connection of its own and waits for the answer. Status 0 when there is
/// none.
[[nodiscard]] impl::HttpResponse callOnce(impl::IoThread &client, const NetAddress &to,
                                          impl::HttpRequest request);

/// What a server \a id of "orders" at \a address says of itself.
[[nodiscard]] impl::HttpRequest announcementOf(const std::string &id, const NetAddress &address,
                                               std::uint64_t sequence, const char *state);

/// A request of a client on one of the stand-in's routes.
[[nodiscard]] impl::HttpRequest requestOf(const std::string &attemptId, const std::string &method,
                                          const std::string &target, std::string body);

/// The answer of a server that signs what it was asked.
[[nodiscard]] impl::HttpResponse signedAnswer(const impl::HttpRequest &request);

} // namespace camphorreach
