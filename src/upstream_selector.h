#pragma once

#include <optional>
#include <unordered_map>

#include "configuration.h"
#include "engine_io.h"
#include "types.h"

namespace indigopoint {

struct Blackboard;

/// Knows which upstreams are leaving or failed, as far as a home instance is
/// told, and chooses upstreams for flows.
class UpstreamSelector {
public:
  explicit UpstreamSelector(const Blackboard &Board) : Board(Board) {}

  /// The upstream for a new flow, or for one that has to move away from
  /// \p Excluded. Null if there is none that is not leaving.
  const UpstreamConfig *choose(FlowKey Flow, const ServiceConfig &Service,
                               UpstreamId Excluded = UpstreamId()) const;

  /// An owner said that \p Upstream is leaving.
  void recordDraining(UpstreamId Upstream, ActionSink &Sink);

  /// Reads the configuration and the load reports.
  void refresh(ActionSink &Sink);

  bool isDraining(UpstreamId Upstream) const {
    return DrainingUpstreams.count(Upstream) != 0;
  }

  /// Whether requests of established flows do not go to it any more either.
  bool isGraceOver(UpstreamId Upstream, Duration Grace) const;

  bool isEjected(UpstreamId Upstream) const;

  void clear() { DrainingUpstreams.clear(); }

private:
  struct Mark {
    TimePoint Since{};
    /// An owner's word counts until then, unless it is repeated.
    TimePoint HintUntil{};
  };

  Mark &mark(UpstreamId Upstream, std::string_view Source, ActionSink &Sink);
  bool isFresh(UpstreamId Upstream, TimePoint ReportedAt) const;
  /// 0 is best; no value if the upstream takes no new flows at all.
  std::optional<int> rank(const UpstreamConfig &Upstream) const;

  const Blackboard &Board;
  std::unordered_map<UpstreamId, Mark> DrainingUpstreams;
};

} // namespace indigopoint
