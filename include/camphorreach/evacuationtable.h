// The evacuation orders that a node knows.
#pragma once

#include <camphorreach/evacuation.h>
#include <camphorreach/ordertable.h>

#include <set>

namespace camphorreach {

class EvacuationTable : public OrderTable<EvacuationOrder>
{
public:
    /// The failure domains whose evacuation is in force.
    [[nodiscard]] std::set<FailureDomain> activeDomains() const;
};

} // namespace camphorreach
