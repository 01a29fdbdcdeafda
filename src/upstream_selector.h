#pragma once

#include <optional>
#include <unordered_map>

#include "configuration.h"
#include "engine_io.h"
#include "types.h"

namespace indigopoint {

struct Blackboard;

/// Chooses upstreams for flows. Tracks which upstreams are draining or failed,
/// from the configuration and from the reports of owners that this instance
/// received.
class UpstreamSelector {
public:
  explicit UpstreamSelector(const Blackboard &Board) : Board(Board) {}

  /// The upstream for a new flow, or for a flow that has to move away from
  /// \p Excluded. Null if all upstreams are excluded, draining or outside the
  /// zones of the region.
  const UpstreamConfig *choose(FlowKey Flow, const ServiceConfig &Service,
                               UpstreamId Excluded = UpstreamId()) const;

  /// Records that the owner of \p Upstream reported it as draining.
  void recordDraining(UpstreamId Upstream, ActionSink &Sink);

  /// Updates the draining upstreams from the configuration and the load
  /// reports.
  void refresh(ActionSink &Sink);

  bool isDraining(UpstreamId Upstream) const {
    return DrainingUpstreams.count(Upstream) != 0;
  }

  /// Whether \p Upstream has been draining for at least \p Grace, so that
  /// established flows have to move too.
  bool isDrainGraceOver(UpstreamId Upstream, Duration Grace) const;

  bool isEjected(UpstreamId Upstream) const;

  void clear() { DrainingUpstreams.clear(); }

private:
  struct DrainState {
    TimePoint DrainingSince{};
    /// Time until which the last report of the owner counts.
    TimePoint OwnerReportExpiresAt{};
  };

  DrainState &addDraining(UpstreamId Upstream, std::string_view Source,
                          ActionSink &Sink);
  bool isReportRecent(UpstreamId Upstream, TimePoint ReportedAt) const;
  /// 0 is best; no value if the upstream accepts no new flows at all.
  std::optional<int> rank(const UpstreamConfig &Upstream) const;

  const Blackboard &Board;
  std::unordered_map<UpstreamId, DrainState> DrainingUpstreams;
};

} // namespace indigopoint
