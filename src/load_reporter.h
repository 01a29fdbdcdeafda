#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "engine_io.h"
#include "owned_upstream.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Tells others the load of owned upstreams, and keeps the own views of them.
class LoadReporter {
public:
  LoadReporter(Blackboard &Board, PeerLink &Peers, OwnedUpstreams &Owned)
      : Board(Board), Peers(Peers), Owned(Owned) {}

  /// An instance submitted to the upstream and hears of changes of its state.
  void recordSubmitter(UpstreamId Upstream, InstanceId Home);

  /// Tells one instance the state of an upstream at once.
  void sendLoad(const OwnedUpstream &Upstream, InstanceId Receiver,
                ActionSink &Sink);

  /// Tells the new owner how many dispatches of a former upstream are left.
  void sendRemainingLoad(const OwnedUpstream &Released, ActionSink &Sink);

  void onTick(ActionSink &Sink);

  /// Forgets what is not needed for an upstream that is no longer owned.
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
  OwnedUpstreams &Owned;
  TimePoint NextCycle{};
  std::unordered_map<UpstreamId, ReportState> ReportStates;
};

} // namespace indigopoint
