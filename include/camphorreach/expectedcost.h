// Expected cost of a request, learned from the calls that a backend server has answered.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace camphorreach {

/// Requests that look alike before they run: same route, method and size of the body. Numbers are
/// local to one CostClasses.
using CostClass = Strong<struct CostClassTag, std::uint16_t>;

/// Assigns classes to requests. Bounded: requests beyond the limits join the class of all requests.
class CostClasses
{
public:
    static constexpr std::size_t maxClasses = 256;
    static constexpr std::size_t maxRoutes = 64;
    /// The class of all requests; also the one of requests that have no class of their own.
    static constexpr CostClass all {};

    [[nodiscard]] CostClass classOf(const RouteName &route, const RequestContent &content);
    /// The class of the same route with all methods and sizes; `all` for that class and for `all`.
    [[nodiscard]] CostClass parent(CostClass costClass) const
    {
        return m_parents[costClass.value()];
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_parents.size(); }

private:
    static constexpr std::size_t methodCount = 6; // the usual ones and "other"
    static constexpr std::size_t sizeCount = 5;

    struct Route
    {
        CostClass self;
        std::array<CostClass, methodCount * sizeCount> members {}; // `all` when not assigned
    };

    [[nodiscard]] CostClass add(CostClass parent);

    std::map<RouteName, Route> m_routes; // at most maxRoutes
    std::vector<CostClass> m_parents { all }; // by class; at most maxClasses
};

/// Histogram of the work of requests on a logarithmic scale. Older samples weigh less: their weight
/// halves with every `maxWeight / 2` samples.
class CostDistribution
{
public:
    static constexpr double maxWeight = 1024.0;

    void record(Duration work) noexcept;
    [[nodiscard]] double weight() const noexcept { return m_weight; }
    /// Zero without samples.
    [[nodiscard]] Duration mean() const noexcept;
    /// Expected work of a request that has done \a age already. With a heavy tail it grows with the
    /// age. Beyond all samples, it is half as much again as the age.
    [[nodiscard]] Duration meanBeyond(Duration age) const noexcept;
    /// Fraction of the samples below \a work.
    [[nodiscard]] double rank(Duration work) const noexcept;

private:
    // Two buckets per factor of two, from 64 us to 18 minutes.
    static constexpr std::size_t bucketCount = 48;
    static constexpr double lowestBound = 64.0;

    [[nodiscard]] static double boundOf(std::size_t bucket) noexcept;
    [[nodiscard]] static std::size_t bucketOf(Duration work) noexcept;

    std::array<float, bucketCount> m_weights {};
    double m_weight = 0.0; // sum of m_weights
    double m_sum = 0.0; // of the samples by weight, in microseconds
};

/// Distributions of the work of requests by class. Work is given as the time that it takes at the
/// usual pace of the server.
class ExpectedCost
{
public:
    /// Fewer samples may all come from a cold start.
    static constexpr double minWeight = 16.0;

    [[nodiscard]] CostClass classOf(const RouteName &route, const RequestContent &content)
    {
        return m_classes.classOf(route, content);
    }
    void record(CostClass costClass, Duration work);
    /// The distribution by which requests of \a costClass are estimated: that of their route or of
    /// all requests, unless the method and the size prove to tell costs apart.
    [[nodiscard]] const CostDistribution &distribution(CostClass costClass) const;
    /// Zero while there are too few samples.
    [[nodiscard]] Duration mean(CostClass costClass) const;
    [[nodiscard]] std::size_t classCount() const noexcept { return m_classes.size(); }

private:
    // A narrower class is used from this weight on, when its mean differs by the factor. Among
    // requests of which one in 30 costs seven times the usual, the means of two samples of this
    // size differ by more in fewer than one case in ten.
    static constexpr double minNarrowWeight = 64.0;
    static constexpr double minDifference = 1.25;

    [[nodiscard]] bool tellsApart(CostClass narrow, CostClass wide) const;
    [[nodiscard]] const CostDistribution *find(CostClass costClass) const noexcept;

    CostClasses m_classes;
    std::vector<CostDistribution> m_costs { 1 }; // by class; grows with the classes recorded
};

/// Pace of a server: the time that it takes now for one unit of work; 1 is its usual pace. Learned
/// from the ranks of its answers among all answers of their classes, so that neither a heavy tail
/// nor a mix of costs moves it. It returns to 1 slowly, because a lasting change becomes usual.
class ServerPace
{
public:
    static constexpr double maxPace = 16.0;

    [[nodiscard]] double value() const noexcept { return m_value; }
    /// \a rank is the fraction of samples below the work of an answer at the present pace.
    void record(double rank) noexcept;

private:
    double m_value = 1.0;
};

} // namespace camphorreach
