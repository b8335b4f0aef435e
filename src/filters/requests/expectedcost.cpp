// Classes and distributions of costs, and the pace of a server.
#include <camphorreach/expectedcost.h>

#include <algorithm>
#include <cmath>
#include <string_view>

namespace camphorreach {
namespace {

// Upper bounds of the size classes of bodies, in bytes; larger ones make up the last class.
constexpr std::array<std::size_t, 4> sizeBounds { 0, 1024, 16 * 1024, 128 * 1024 };
constexpr std::array<std::string_view, 5> methods { "GET", "POST", "PUT", "DELETE", "HEAD" };

// A request that has run for longer than all samples is expected to run for half of that time more.
constexpr double unknownGrowth = 1.5;
// Weight of that assumption among the samples beyond the age.
constexpr double unknownWeight = 0.1;

// A server that turns three times as slow is followed within about ten answers, and the noise of
// exponential service times moves the pace by about a sixth.
constexpr double paceGain = 0.25;
constexpr double paceReturn = 1.0 / 256.0;

std::size_t sizeClassOf(const RequestContent &content) noexcept
{
    const auto bound = std::ranges::lower_bound(sizeBounds, content.bodySize().value());
    return static_cast<std::size_t>(bound - sizeBounds.begin());
}

std::size_t methodClassOf(const RequestContent &content) noexcept
{
    return static_cast<std::size_t>(std::ranges::find(methods, content.method) - methods.begin());
}

double toDouble(Duration duration) noexcept
{
    return static_cast<double>(duration.count());
}

Duration toDuration(double us) noexcept
{
    return Duration(static_cast<Duration::rep>(us));
}

} // namespace

CostClass CostClasses::classOf(const RouteName &route, const RequestContent &content)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maxRoutes)
            return all;
        found = m_routes.emplace(route, Route { add(all) }).first;
    }
    CostClass &member
        = found->second.members[methodClassOf(content) * sizeCount + sizeClassOf(content)];
    if (member == all)
        member = add(found->second.self);
    return member == all ? found->second.self : member;
}

CostClass CostClasses::add(CostClass parent)
{
    if (m_parents.size() >= maxClasses)
        return all;
    m_parents.push_back(parent);
    return CostClass(static_cast<std::uint16_t>(m_parents.size() - 1));
}

double CostDistribution::boundOf(std::size_t bucket) noexcept
{
    return bucket == 0 ? 0.0 : lowestBound * std::exp2(static_cast<double>(bucket) / 2.0);
}

std::size_t CostDistribution::bucketOf(Duration work) noexcept
{
    const double ratio = toDouble(work) / lowestBound;
    if (ratio <= 1.0)
        return 0;
    return std::min(bucketCount - 1, static_cast<std::size_t>(2.0 * std::log2(ratio)));
}

void CostDistribution::record(Duration work) noexcept
{
    if (m_weight >= maxWeight) {
        for (float &weight : m_weights)
            weight /= 2;
        m_weight /= 2;
        m_sum /= 2;
    }
    m_weights[bucketOf(work)] += 1;
    m_weight += 1;
    m_sum += toDouble(work);
}

Duration CostDistribution::mean() const noexcept
{
    return m_weight > 0.0 ? toDuration(m_sum / m_weight) : Duration::zero();
}

Duration CostDistribution::meanBeyond(Duration age) const noexcept
{
    if (age <= Duration::zero())
        return mean();
    const double start = toDouble(age);
    double weight = unknownWeight;
    double sum = unknownWeight * unknownGrowth * start;
    for (std::size_t i = bucketOf(age); i < bucketCount; ++i) {
        const double upper = boundOf(i + 1);
        const double lower = std::max(boundOf(i), start);
        if (upper <= lower)
            continue;
        const double inside = m_weights[i] * (upper - lower) / (upper - boundOf(i));
        weight += inside;
        sum += inside * (lower + upper) / 2;
    }
    return toDuration(sum / weight);
}

double CostDistribution::rank(Duration work) const noexcept
{
    if (m_weight <= 0.0)
        return 0.5;
    const std::size_t bucket = bucketOf(work);
    double below = 0.0;
    for (std::size_t i = 0; i < bucket; ++i)
        below += m_weights[i];
    const double lower = boundOf(bucket);
    const double inside
        = std::clamp((toDouble(work) - lower) / (boundOf(bucket + 1) - lower), 0.0, 1.0);
    return (below + inside * m_weights[bucket]) / m_weight;
}

void ExpectedCost::record(CostClass costClass, Duration work)
{
    if (m_costs.size() < m_classes.size())
        m_costs.resize(m_classes.size());
    m_costs[costClass.value()].record(work);
    while (costClass != CostClasses::all) {
        costClass = m_classes.parent(costClass);
        m_costs[costClass.value()].record(work);
    }
}

const CostDistribution *ExpectedCost::find(CostClass costClass) const noexcept
{
    return costClass.value() < m_costs.size() ? &m_costs[costClass.value()] : nullptr;
}

bool ExpectedCost::tellsApart(CostClass narrow, CostClass wide) const
{
    const CostDistribution *costs = find(narrow);
    if (costs == nullptr || costs->weight() < minNarrowWeight)
        return false;
    const double ratio = toDouble(costs->mean()) / std::max(1.0, toDouble(find(wide)->mean()));
    return ratio > minDifference || ratio < 1.0 / minDifference;
}

const CostDistribution &ExpectedCost::distribution(CostClass costClass) const
{
    const CostClass route = m_classes.parent(costClass);
    if (route != CostClasses::all && tellsApart(costClass, route))
        return m_costs[costClass.value()];
    const CostClass wide = route == CostClasses::all ? costClass : route;
    return tellsApart(wide, CostClasses::all) ? m_costs[wide.value()] : m_costs.front();
}

Duration ExpectedCost::mean(CostClass costClass) const
{
    const CostDistribution &costs = distribution(costClass);
    return costs.weight() < minWeight ? Duration::zero() : costs.mean();
}

void ServerPace::record(double rank) noexcept
{
    const double logPace = std::log(m_value) * (1.0 - paceReturn) + paceGain * (rank - 0.5);
    m_value = std::clamp(std::exp(logPace), 1.0 / maxPace, maxPace);
}

} // namespace camphorreach
