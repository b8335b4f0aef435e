// What a gate knows of its own backend server.
#pragma once

#include <camphorreach/request.h>

#include <cstdint>
#include <optional>

namespace camphorreach {

/// Decides which requests the backend server accepts, from its announcements and its reachability.
class BackendState
{
public:
    /// With \a needsAnnouncement, nothing is accepted until the backend server has announced
    /// itself. Until then it has \a slots and runs \a service.
    BackendState(std::uint32_t slots, ServiceName service, bool needsAnnouncement);

    /// Returns whether another process of the backend server runs from now on.
    [[nodiscard]] bool onAnnounced(const BackendAnnounced &announced);
    /// Returns whether it became reachable, which makes it another process.
    [[nodiscard]] bool setReachable(bool isReachable) noexcept;
    void setLeaving(bool isLeaving) noexcept { m_isLeaving = isLeaving; }
    void setEvacuated(bool isEvacuated) noexcept { m_isEvacuated = isEvacuated; }

    /// Why the backend server does not run \a request, or nullopt when it does.
    [[nodiscard]] std::optional<NotRunReason> refusal(const ForwardRequest &request) const;
    /// Whether accepted requests may start.
    [[nodiscard]] bool mayStart() const noexcept
    {
        return m_isReachable && m_isAccepting && !m_isEvacuated;
    }

    [[nodiscard]] std::uint32_t slots() const noexcept { return m_slots; }
    [[nodiscard]] const ServiceName &service() const noexcept { return m_service; }
    /// Empty until the first announcement.
    [[nodiscard]] const InstanceId &server() const noexcept { return m_server; }
    [[nodiscard]] bool isReachable() const noexcept { return m_isReachable; }
    [[nodiscard]] bool isAccepting() const noexcept { return m_isAccepting; }
    [[nodiscard]] bool isLeaving() const noexcept { return m_isLeaving; }
    [[nodiscard]] bool isEvacuated() const noexcept { return m_isEvacuated; }

private:
    std::uint32_t m_slots; // as announced; until then as given
    ServiceName m_service;
    BackendVersion m_version; // empty until announced
    InstanceId m_server; // empty until announced
    bool m_isAccepting; // as announced
    bool m_isReachable = true;
    bool m_isLeaving = false; // cleared for another process
    bool m_isEvacuated = false; // nothing starts at the backend server; what runs is finished
};

} // namespace camphorreach
