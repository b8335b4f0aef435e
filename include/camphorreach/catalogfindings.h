// Findings about what the store holds, for the log and the dump of a node.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/finding.h>
#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <optional>
#include <set>

namespace camphorreach {

/// The findings about the configuration in force and the evacuation orders have changed.
struct FindingsChanged
{
    ConfigVersion version;
    Findings findings; ///< Empty when the last ones no longer apply.
};

/// Part of Catalog that keeps the values of the configuration that were replaced by safe ones, and
/// the evacuations of failure domains of which no node was ever heard. Only nodes that read the
/// configuration from the store know the former: nodes send each other the safe values.
class CatalogFindings
{
public:
    /// The store holds a version with these findings.
    void onConfiguration(ConfigVersion version, const Findings &findings);
    void onEndpoints(const EndpointTable &table, TimePoint now);
    void onEvacuations(const std::set<FailureDomain> &evacuated) { m_evacuated = evacuated; }

    /// The findings while version \a active is in force.
    [[nodiscard]] Findings current(ConfigVersion active, TimePoint now) const;
    /// The same if they differ from those of the last call.
    [[nodiscard]] std::optional<Findings> takeChange(ConfigVersion active, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    ConfigVersion m_version; // that m_ofConfiguration is about
    Findings m_ofConfiguration;
    std::set<FailureDomain> m_evacuated;
    std::set<FailureDomain> m_known; // ever heard of; at most maxDomains
    std::optional<TimePoint> m_settledAt; // before it, not all nodes may have been heard of
    bool m_isSettled = false; // at the last call of takeChange()
    Findings m_published;
};

} // namespace camphorreach
