// Acceptance of requests by the state of the backend server.
#include <camphorreach/backendstate.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

BackendState::BackendState(std::uint32_t slots, ServiceName service, bool needsAnnouncement)
    : m_slots(slots), m_service(std::move(service)), m_isAccepting(!needsAnnouncement)
{ }

bool BackendState::onAnnounced(const BackendAnnounced &announced)
{
    m_slots = std::max(1U, announced.slots);
    m_service = announced.service;
    m_version = announced.version;
    m_isAccepting = announced.isAccepting;
    if (m_server == announced.server)
        return false;
    m_server = announced.server;
    m_isLeaving = false;
    return true;
}

bool BackendState::setReachable(bool isReachable) noexcept
{
    const bool wasReachable = std::exchange(m_isReachable, isReachable);
    if (wasReachable || !isReachable)
        return false;
    m_isLeaving = false;
    return true;
}

std::optional<NotRunReason> BackendState::refusal(const ForwardRequest &request) const
{
    const bool isMisrouted = !m_server.value().empty()
        && (request.service != m_service || request.version != m_version);
    if (m_isLeaving || !m_isAccepting || m_isEvacuated || isMisrouted)
        return NotRunReason::Draining;
    if (!m_isReachable)
        return NotRunReason::Unreachable;
    return std::nullopt;
}

} // namespace camphorreach
