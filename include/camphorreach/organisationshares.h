// Fair shares of a gate between calls of running requests and new ones, between organisations, and
// between the routes of each.
#pragma once

#include <camphorreach/fairshare.h>
#include <camphorreach/fairtag.h>
#include <camphorreach/ids.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace camphorreach {

/// Calls belong to requests that hold a slot elsewhere until the call is answered.
enum class ShareClass : std::uint8_t { Calls, NewRequests };

/// The requests that use one share of a gate.
struct ShareGroup
{
    ShareClass shareClass = ShareClass::NewRequests;
    OrganisationName organisation {}; ///< Empty while the shares do not apply, and for calls.

    friend auto operator<=>(const ShareGroup &, const ShareGroup &) = default;
};

/// Start-time fair queueing on three levels: the classes, the organisations among the new requests,
/// and the routes within each. A class or an organisation is charged when a request starts, by its
/// expected service time, so what is refused, cancelled or expires costs it nothing. Its start tag
/// is therefore at most one request ahead of the virtual time. An organisation that uses less than
/// its share falls behind the virtual time by a limited lag, which it may catch up on later.
class OrganisationShares
{
public:
    /// Limits the groups with state. Beyond it, groups without effect are removed first, and then
    /// the ones that are the least ahead of their share.
    static constexpr std::size_t maxGroups = 1024;

    /// Shares apply while the configuration has organisations. Otherwise all requests are one
    /// group.
    void setActive(bool isActive) noexcept { m_isActive = isActive; }
    [[nodiscard]] bool isActive() const noexcept { return m_isActive; }

    [[nodiscard]] ShareGroup groupOf(const ForwardRequest &request) const;

    /// As FairShare::assignTag(), among the routes of \a group.
    [[nodiscard]] FairTag assignTag(const ShareGroup &group, const ForwardRequest &request,
                                    Duration cost);
    /// The tag that assignTag() would return, without a change of state.
    [[nodiscard]] FairTag nextTag(const ShareGroup &group, const RouteName &route) const;
    /// A request of \a group with this tag from assignTag() has started.
    void onStarted(const ShareGroup &group, const ForwardRequest &request, FairTag tag,
                   Duration cost);

    /// Start tag of the next request of the class among the classes.
    [[nodiscard]] FairTag tagOf(ShareClass shareClass) const noexcept;
    /// Start tag of the next request of the group among the groups of its class.
    [[nodiscard]] FairTag tagOf(const ShareGroup &group) const;
    /// By how much a request moves the tag of its class.
    [[nodiscard]] static std::int64_t classStepOf(ShareClass shareClass, std::uint32_t weight,
                                                  Duration cost);

    [[nodiscard]] std::size_t groupCount() const noexcept { return m_groups.size(); }

private:
    struct Group
    {
        FairTag finish; // finish tag of the request that started last
        FairShare routes;
    };
    using Groups = std::map<ShareGroup, Group>;

    [[nodiscard]] FairTag earliestTag() const noexcept; // of an organisation with the maximum lag
    [[nodiscard]] Group &stateOf(const ShareGroup &group);

    bool m_isActive = false;
    std::array<FairTag, 2> m_classFinish; // by ShareClass
    FairTag m_classTime; // highest tag of a class that started a request
    Groups m_groups; // at most maxGroups
    FairTag m_groupTime; // highest tag of a group of new requests that started one
};

} // namespace camphorreach
