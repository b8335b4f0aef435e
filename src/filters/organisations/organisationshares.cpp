// Hierarchical start-time fair queueing.
#include <camphorreach/organisationshares.h>

#include <algorithm>

namespace camphorreach {
namespace {

// Calls go first until they use four fifths of the service time, at equal weights. A service that
// is overloaded by calls alone still serves new requests.
constexpr std::uint32_t callPreference = 4;

// Service time, at a weight of one, by which an organisation may be behind the virtual time.
// Requests come in clumps, so one within its share is above it for moments, and then catches up.
constexpr std::int64_t maxLag = 1'000'000;

std::size_t indexOf(ShareClass shareClass) noexcept
{
    return static_cast<std::size_t>(shareClass);
}

} // namespace

// Calls of backend servers carry no key, so they have no organisation, and not all of them state
// their depth.
ShareGroup OrganisationShares::groupOf(const ForwardRequest &request) const
{
    if (!m_isActive)
        return {};
    if (request.depth > CallDepth(0) || request.organisation.value().empty())
        return { ShareClass::Calls, {} };
    return { ShareClass::NewRequests, request.organisation };
}

FairTag OrganisationShares::assignTag(const ShareGroup &group, const ForwardRequest &request,
                                      Duration cost)
{
    const std::uint32_t weight = m_isActive ? request.routeWeight : request.kindWeight;
    return stateOf(group).routes.assignTag(request.route, weight, cost);
}

FairTag OrganisationShares::nextTag(const ShareGroup &group, const RouteName &route) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? FairTag() : found->second.routes.nextTag(route);
}

void OrganisationShares::onStarted(const ShareGroup &group, const ForwardRequest &request,
                                   FairTag tag, Duration cost)
{
    const FairTag classTag = tagOf(group.shareClass);
    m_classTime = classTag;
    m_classFinish[indexOf(group.shareClass)]
        = FairTag(classTag.value() + classStepOf(group.shareClass, request.kindWeight, cost));
    const FairTag groupTag = tagOf(group);
    Group &state = stateOf(group);
    state.routes.onStarted(tag);
    m_groupTime = std::max(m_groupTime, groupTag);
    state.finish = FairTag(groupTag.value() + FairShare::stepOf(request.kindWeight, cost));
}

FairTag OrganisationShares::tagOf(ShareClass shareClass) const noexcept
{
    return std::max(m_classFinish[indexOf(shareClass)], m_classTime);
}

FairTag OrganisationShares::tagOf(const ShareGroup &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? earliestTag() : std::max(found->second.finish, earliestTag());
}

FairTag OrganisationShares::earliestTag() const noexcept
{
    return FairTag(m_groupTime.value() - maxLag);
}

std::int64_t OrganisationShares::classStepOf(ShareClass shareClass, std::uint32_t weight,
                                             Duration cost)
{
    const std::uint32_t preference = shareClass == ShareClass::Calls ? callPreference : 1;
    return FairShare::stepOf(std::max(1U, weight) * preference, cost);
}

OrganisationShares::Group &OrganisationShares::stateOf(const ShareGroup &group)
{
    const auto found = m_groups.find(group);
    if (found != m_groups.end())
        return found->second;
    if (m_groups.size() >= maxGroups) // entries up to the earliest tag have no effect
        std::erase_if(m_groups,
                      [this](const auto &entry) { return entry.second.finish <= earliestTag(); });
    if (m_groups.size() >= maxGroups)
        m_groups.erase(std::ranges::min_element(
            m_groups, {}, [](const auto &entry) { return entry.second.finish; }));
    return m_groups.emplace(group, Group { earliestTag(), {} }).first->second;
}

} // namespace camphorreach
