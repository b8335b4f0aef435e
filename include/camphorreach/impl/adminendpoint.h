// Admin endpoint: state dump, metrics, readiness and drain over HTTP on a local port.
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

/// The metrics of a process as JSON text.
[[nodiscard]] std::string metricsJson(const MetricsRegistry &metrics);

class AdminEndpoint
{
public:
    /// Answers one path. Runs on the admin thread and may wait shortly for a filter.
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// Listens on all \a addresses. A path that ends with a slash stands for all paths that begin
    /// with it.
    AdminEndpoint(const std::vector<NetAddress> &addresses,
                  std::map<std::string, Handler> handlers);

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }
    [[nodiscard]] std::uint16_t port() const { return m_servers.front()->port(); }

private:
    [[nodiscard]] HttpResponse respond(const HttpRequest &request) const;

    IoThread m_thread;
    std::map<std::string, Handler> m_handlers; // by path, without the query
    std::vector<std::unique_ptr<HttpServer>> m_servers; // one for each address
};

} // namespace camphorreach::impl
