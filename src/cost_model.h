#pragma once

#include <array>
#include <optional>
#include <unordered_map>

#include <boost/histogram.hpp>

#include "types.h"

namespace indigopoint {

/// Learns the distribution of the response times of each route from finished
/// exchanges. A route is identified by its address. Costs are multiples of the
/// mean response time of all routes, so that an exchange of unknown cost counts
/// 1. Older response times lose weight. Memory is bounded.
class CostModel {
public:
  void record(Endpoint Route, Duration ResponseTime, TimePoint Now);

  /// The expected cost of a new request; nothing until the route has enough
  /// samples.
  std::optional<double> expectedCost(Endpoint Route) const;

  /// The expected remaining cost of an exchange that has been open for \p Age;
  /// 1 until the route has enough samples. Ages beyond the data have the value
  /// of the highest age with data.
  double meanResidual(Endpoint Route, Duration Age) const;

  /// The mean response time of all routes; nothing until a route has enough
  /// samples.
  std::optional<Duration> meanResponseTime() const;

  size_t size() const { return Routes.size(); }

private:
  static constexpr size_t Bins = 60;
  using Histogram = decltype(boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<double>(),
      boost::histogram::axis::regular<
          double, boost::histogram::axis::transform::log>(Bins, 1.0, 2.0)));

  /// The response times of a route in microseconds, and what follows from them.
  struct Distribution {
    Distribution();
    void decay(TimePoint Now);
    void update();
    bool isLearned() const;

    Histogram Samples;
    double Weight = 0;
    /// The mean residual at the lower edge of each bin.
    std::array<double, Bins> Residuals{};
    TimePoint LastDecay{};
  };

  struct RouteHash {
    size_t operator()(const Endpoint &E) const {
      return std::hash<uint64_t>{}((uint64_t{E.Address} << 16) | E.Port);
    }
  };

  const Distribution *findLearned(Endpoint Route) const;
  double mean() const { return LearnedSum / LearnedWeight; }
  /// Adds a learned route to the sums, or subtracts it with a \p Sign of -1.
  void addToSums(const Distribution &Entry, int Sign);
  Distribution &entryOf(Endpoint Route);

  std::unordered_map<Endpoint, Distribution, RouteHash> Routes;
  /// The number of samples of the learned routes and the sum of their response
  /// times in microseconds.
  double LearnedWeight = 0;
  double LearnedSum = 0;
};

} // namespace indigopoint
