// Admin endpoint: HTTP server on a local port for state dumps, metrics, readiness and drain.
#pragma once

#include <camphorreach/impl/httpserver.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorreach::impl {

/// Encodes all metrics of a process as JSON.
[[nodiscard]] std::string metricsJson(const MetricsRegistry &metrics);

class AdminEndpoint
{
public:
    /// Returns the response to a request. Called on the admin thread; may block briefly until a
    /// filter replies.
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// Listens on all \a addresses. \a handlers are keyed by path; a key that ends with a slash
    /// also matches every path with exactly one more segment.
    AdminEndpoint(const std::vector<NetAddress> &addresses,
                  std::map<std::string, Handler> handlers);

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }
    [[nodiscard]] std::uint16_t port() const { return m_servers.front()->port(); }

private:
    [[nodiscard]] HttpResponse respond(const HttpRequest &request) const;

    IoThread m_thread;
    std::map<std::string, Handler> m_handlers; // keyed by path, without the query
    std::vector<std::unique_ptr<HttpServer>> m_servers; // one per address
};

} // namespace camphorreach::impl
