#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "engine_io.h"
#include "owned_upstream.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Reports the load of this instance's upstreams to other instances, and
/// updates their entries in this instance's table of reported loads.
class LoadReporter {
public:
  LoadReporter(Blackboard &Board, PeerLink &Peers, OwnedUpstreams &Upstreams)
      : Board(Board), Peers(Peers), Upstreams(Upstreams) {}

  /// Records that a home instance submitted a request to the upstream. It is
  /// then notified of status changes of the upstream.
  void recordSubmitter(UpstreamId Upstream, InstanceId Home);

  /// Sends the load of an upstream to one instance at once.
  void sendLoad(const OwnedUpstream &Upstream, InstanceId Receiver,
                ActionSink &Sink);

  /// Sends the new owner the number of dispatches that this instance, the
  /// previous owner, still has in progress at the upstream.
  void sendRemainingLoad(const OwnedUpstream &ReleasedUpstream,
                         ActionSink &Sink);

  void onTick(ActionSink &Sink);

  /// Removes the report state of an upstream that this instance no longer owns.
  void erase(UpstreamId Upstream) { ReportStates.erase(Upstream); }

  void reset() { ReportStates.clear(); }

private:
  struct Submitter {
    InstanceId Home;
    TimePoint SubmittedAt{};
  };
  struct ReportState {
    UpstreamLoad LastLoad;
    TimePoint SentAt{};
    std::vector<Submitter> Submitters;
  };

  std::vector<InstanceId> siblingOwners(const OwnedUpstream &Upstream) const;
  void updateReportedLoad(const UpstreamLoad &Load);
  void expireReportedLoads();

  Blackboard &Board;
  PeerLink &Peers;
  OwnedUpstreams &Upstreams;
  TimePoint NextCycle{};
  std::unordered_map<UpstreamId, ReportState> ReportStates;
};

} // namespace indigopoint
