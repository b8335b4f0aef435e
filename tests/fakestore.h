// A fake of the platform's store, with one configuration, over HTTP on loopback.
#pragma once

#include "nodefixture.h"

#include <camphorreach/impl/httpclient.h>

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

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

    [[nodiscard]] impl::HttpResponse write(const impl::HttpRequest &request);

    // Node records by name, with the revision of the latest; both used by the server's thread.
    std::map<std::string, boost::json::object> m_nodes;
    std::uint64_t m_revision = 2;
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
