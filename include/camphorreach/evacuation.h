// Operators' orders to evacuate a failure domain.
#pragma once

#include <camphorreach/ids.h>

#include <memory>
#include <set>
#include <string>

namespace camphorreach {

/// The newest known state of the evacuation of one failure domain. An order that was taken back is
/// kept with its version, so that an older message does not put it into force again.
struct EvacuationOrder
{
    FailureDomain domain;
    ObjectVersion version; ///< Of its object; once taken back, of the store when it was gone.
    bool isActive = true; ///< False once it was taken back.

    [[nodiscard]] const std::string &objectName() const noexcept { return domain.value(); }
    [[nodiscard]] bool isTakenBack() const noexcept { return !isActive; }
    [[nodiscard]] static EvacuationOrder takenBack(const std::string &name, ObjectVersion at)
    {
        return { FailureDomain(name), at, false };
    }

    friend bool operator==(const EvacuationOrder &, const EvacuationOrder &) = default;
};

/// The failure domains whose backend servers get no requests. Sent when they change.
struct EvacuationsChanged
{
    std::shared_ptr<const std::set<FailureDomain>> domains;
};

/// The failure domain of the local backend server is evacuated, or no longer.
struct BackendEvacuated
{
    bool isEvacuated = true;
};

} // namespace camphorreach
