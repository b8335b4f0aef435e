// A fake of the platform's store, with one configuration, over HTTP on loopback.
#pragma once

#include "nodefixture.h"

#include <camphorreach/impl/httpclient.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorreach {

/// Serves two routes to "orders", "a.example/bags/" for non-idempotent requests and
/// "a.example/hats/" for idempotent ones, and stores the records of nodes. Watches never return.
class FakeStore
{
public:
    FakeStore();

    [[nodiscard]] NetAddress address() const { return m_server.address(); }

private:
    [[nodiscard]] std::optional<impl::HttpResponse> respond(const impl::HttpRequest &request);

    std::vector<std::string> m_nodes; // node records as JSON; used by the server's thread
    LoopbackServer m_server;
};

/// Sends one request on a separate connection and waits for the response. The status is 0 when
/// there is none.
[[nodiscard]] impl::HttpResponse callOnce(impl::IoThread &client, const NetAddress &to,
                                          impl::HttpRequest request);

/// The announcement of a backend server \a id of "orders" at \a address.
[[nodiscard]] impl::HttpRequest announcementOf(const std::string &id, const NetAddress &address,
                                               std::uint64_t sequence, const char *state);

/// A client's request to one of the routes of the fake store.
[[nodiscard]] impl::HttpRequest requestOf(const std::string &attemptId, const std::string &method,
                                          const std::string &target, std::string body);

/// The response of a backend server: a seal header, and a body that echoes the request.
[[nodiscard]] impl::HttpResponse signedResponse(const impl::HttpRequest &request);

} // namespace camphorreach
