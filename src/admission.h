#pragma once

#include <unordered_map>
#include <vector>

#include "configuration.h"
#include "owned_upstream.h"
#include "types.h"

namespace indigopoint {

struct Blackboard;

/// A new flow is redirected if its upstream would hold more than
/// (1 + DefaultEpsilon) times the mean of its siblings. The value is measured
/// in docs/decisions/queueing-and-admission.md.
constexpr double DefaultEpsilon = 0.05;

/// The load of one upstream as seen by the owner of a sibling.
struct SiblingLoad {
  UpstreamId Upstream;
  /// In flows, or in flows of mean request rate after addRates.
  double Flows = 0;
  double Requests = 0;
  /// Slots times warm-up weight.
  double Weight = 0;
  /// Flows that still fit.
  double FreeConnections = 0;
  /// Requests per 100 s; 0 if not known.
  double RequestRate = 0;
};

/// Replaces half of the flows of each load by its requests, so that an upstream
/// with busy flows gets fewer new ones. Flows alone leave the busy slots
/// uneven, and rates alone let new flows pile up before they are measured.
void blendRates(std::vector<SiblingLoad> &Siblings);

/// Whether \p OwnLoad may take one more flow. \p Siblings holds it and its
/// siblings.
bool isWithinShare(const SiblingLoad &OwnLoad,
                   const std::vector<SiblingLoad> &Siblings, double Epsilon);

/// The sibling to redirect to, by chance in proportion to what it lacks to the
/// mean; the least loaded one if none is below the mean. Null if there is none
/// with room. \p Chance is in [0, 1).
const SiblingLoad *redirectTarget(UpstreamId OwnId,
                                  const std::vector<SiblingLoad> &Siblings,
                                  double Chance);

/// Decides on new flows from own loads and the reports of other owners.
class Admission {
public:
  Admission(Blackboard &Board, OwnedUpstreams &Owned)
      : Board(Board), Owned(Owned) {}

  /// Whether the upstream has room for a new flow and is within its share.
  bool mayAdmit(const OwnedUpstream &Upstream);

  /// Where a new flow should go instead, counted against the target until its
  /// next report; zero if there is no other upstream.
  UpstreamId redirect(const OwnedUpstream &Upstream);

  /// A report has arrived: it counts the flows redirected so far.
  void onReport(UpstreamId Upstream) { RedirectsSinceReport.erase(Upstream); }

  void reset() { RedirectsSinceReport.clear(); }

private:
  std::vector<SiblingLoad> loads(const OwnedUpstream &Upstream) const;
  bool latestLoad(const UpstreamConfig &Config, UpstreamLoad &Out) const;

  Blackboard &Board;
  OwnedUpstreams &Owned;
  std::unordered_map<UpstreamId, uint32_t> RedirectsSinceReport;
};

} // namespace indigopoint
