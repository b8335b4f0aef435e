// The failure domains that the orders evacuate.
#include <camphorreach/evacuationtable.h>

namespace camphorreach {

std::set<FailureDomain> EvacuationTable::activeDomains() const
{
    std::set<FailureDomain> result;
    for (const EvacuationOrder &order : inForce())
        result.insert(order.domain);
    return result;
}

} // namespace camphorreach
