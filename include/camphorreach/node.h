// Node: the sidecar of a backend server, a pipeline of filters and endpoints.
#pragma once

#include <camphorreach/nodesettings.h>
#include <camphorreach/units.h>

#include <memory>
#include <string>

namespace camphorreach {

/// Owns all threads and rings of one node.
class Node
{
public:
    /// Binds all listeners. Throws std::exception when an address is not available.
    explicit Node(const NodeSettings &settings);
    ~Node();

    void start();
    /// Rejects new requests, completes those in flight within \a limit, and stops all threads.
    void drainAndStop(Duration limit);
    /// The state of all components as JSON text.
    [[nodiscard]] std::string dump() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace camphorreach
