#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cost_model.h"
#include "types.h"

namespace indigopoint {

/// One process of an upstream. An upstream that starts again has a new start
/// time, and the exchanges of its earlier process are over.
struct UpstreamProcess {
  UpstreamId Id;
  int64_t StartedAtMs = 0;
  bool operator==(const UpstreamProcess &) const = default;
};

/// The remaining work of an upstream's open exchanges at another instance, in
/// multiples of a mean request.
struct WorkReport {
  UpstreamProcess Target;
  /// The address that identifies the reporting instance.
  Endpoint Peer;
  double Work = 0;
  /// When the reported state was in force.
  TimePoint Time{};
};

/// Estimates the remaining work of each upstream from the open exchanges that
/// this instance sees, and from reports of its peers.
class RemainingWork {
public:
  /// Identifies an open exchange; 0 for none.
  using ExchangeId = uint64_t;

  explicit RemainingWork(const CostModel &Costs) : Costs(Costs) {}
  // A copy of an object that holds both would refer to the original's costs.
  RemainingWork(const RemainingWork &) = delete;
  RemainingWork &operator=(const RemainingWork &) = delete;

  ExchangeId start(const UpstreamProcess &Target, Endpoint Route,
                   TimePoint Now);
  void end(UpstreamId Id, ExchangeId Exchange);

  /// Older reports than the last one of the same peer change nothing.
  void recordReport(const WorkReport &Report);

  /// The sum of the mean residuals of this instance's open exchanges.
  double ownWork(const UpstreamProcess &Target, TimePoint Now) const;

  /// The reported work that is probably left. Reports expire after 2 s.
  double reportedWork(const UpstreamProcess &Target, TimePoint Now) const;

  /// See CostModel::expectedCost.
  std::optional<double> expectedCost(Endpoint Route) const {
    return Costs.expectedCost(Route);
  }

  /// Erases the reports that have expired.
  void expire(TimePoint Now);

  /// The number of upstreams with open exchanges or reports.
  size_t size() const { return Upstreams.size(); }

private:
  struct OpenExchange {
    ExchangeId Id = 0;
    Endpoint Route;
    TimePoint StartedAt{};
  };
  struct Entry {
    int64_t StartedAtMs = 0;
    std::vector<OpenExchange> Exchanges;
    std::vector<WorkReport> Reports;
  };

  Entry &entryOf(const UpstreamProcess &Target);
  const Entry *find(const UpstreamProcess &Target) const;

  const CostModel &Costs;
  std::unordered_map<UpstreamId, Entry> Upstreams;
  ExchangeId LastExchange = 0;
};

} // namespace indigopoint
