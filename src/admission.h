#pragma once

#include <unordered_map>
#include <vector>

#include "configuration.h"
#include "owned_upstream.h"
#include "types.h"

namespace indigopoint {

struct Blackboard;

/// A new flow is redirected if its upstream would hold more than
/// (1 + DefaultLoadTolerance) times the mean of its siblings. The value is
/// measured in docs/decisions/queueing-and-admission.md.
constexpr double DefaultLoadTolerance = 0.05;

/// The load of one upstream of a service, as known to the owner of a sibling
/// upstream. Also used for the owner's own upstream when both are compared.
struct SiblingLoad {
  UpstreamId Upstream;
  /// The flow count. weightFlowsByRequestRate() replaces it by a mean of the
  /// flow count and the share of the request rate.
  double Flows = 0;
  double Requests = 0;
  /// Slots times warm-up weight.
  double Weight = 0;
  /// Connections that are free for new flows.
  double FreeConnections = 0;
  /// Requests per 100 s; 0 if not known.
  double RequestRate = 0;
};

/// Replaces the flow count of each load whose request rate is known by the
/// average of this count and of the count that would match its share of the
/// request rate. An upstream with busy flows therefore gets fewer new ones.
/// Flow counts alone leave the busy slots uneven; request rates alone let new
/// flows pile up before their rate is measured.
void weightFlowsByRequestRate(std::vector<SiblingLoad> &Siblings);

/// Whether the upstream of \p OwnLoad may accept one more flow. \p Siblings
/// holds \p OwnLoad too.
bool isWithinShare(const SiblingLoad &OwnLoad,
                   const std::vector<SiblingLoad> &Siblings,
                   double LoadTolerance);

/// The sibling that a new flow is redirected to: chosen at random, weighted by
/// the distance of its load below the mean; the least loaded sibling if none is
/// below the mean. Null if no sibling has a free connection. \p RandomFraction
/// is a random number in [0, 1).
const SiblingLoad *redirectTarget(UpstreamId OwnId,
                                  const std::vector<SiblingLoad> &Siblings,
                                  double RandomFraction);

/// Decides whether an upstream accepts a new flow, from the loads of this
/// instance's upstreams and the load reports of other owner instances.
class Admission {
public:
  Admission(Blackboard &Board, OwnedUpstreams &Upstreams)
      : Board(Board), Upstreams(Upstreams) {}

  /// Whether the upstream has a free connection for a new flow and would stay
  /// within its share.
  bool mayAdmit(const OwnedUpstream &Upstream);

  /// Chooses the upstream that a new flow is redirected to and counts the flow
  /// against it until its next load report. Zero if there is no other upstream.
  UpstreamId redirect(const OwnedUpstream &Upstream);

  /// Resets the count of redirected flows: a new load report of the upstream
  /// includes them.
  void onReport(UpstreamId Upstream) { RedirectsSinceReport.erase(Upstream); }

  void reset() { RedirectsSinceReport.clear(); }

private:
  std::vector<SiblingLoad> loads(const OwnedUpstream &Upstream) const;
  bool latestLoad(const UpstreamConfig &Config, UpstreamLoad &Load) const;

  Blackboard &Board;
  OwnedUpstreams &Upstreams;
  std::unordered_map<UpstreamId, uint32_t> RedirectsSinceReport;
};

} // namespace indigopoint
