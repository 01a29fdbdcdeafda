#include "upstream_controller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "admission.h"
#include "blackboard.h"
#include "connection_pinger.h"
#include "dispatcher.h"
#include "ejection_policy.h"
#include "load_reporter.h"
#include "owned_upstream.h"
#include "owned_upstream_manager.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

// Upper bound of a request's lifetime (MaxRequestLifetime).
constexpr Duration MaxTimeLeft = std::chrono::seconds(30);

// How often OwnedUpstreams is compared with the ownership table, in addition to
// the calls of onPlacementChanged: a handover may end without such a call.
constexpr Duration OwnershipCheckInterval = std::chrono::milliseconds(500);

} // namespace

struct UpstreamController::Impl {
  Impl(Blackboard &Board, PeerLink &Peers);

  bool isForThisOwner(const Submit &SubmitMessage) const;
  void answer(const SubmissionKey &Key, SubmitStatus Status, UpstreamId Target,
              ActionSink &Sink);
  void admit(OwnedUpstream &Upstream, WorkItem Item, ActionSink &Sink);
  void admitNewFlow(OwnedUpstream &Upstream, WorkItem Item, ActionSink &Sink);
  void refuseForUnusableUpstream(OwnedUpstream &Upstream, const WorkItem &Item,
                                 ActionSink &Sink);
  void refuseQueuesAfterDrainGrace(ActionSink &Sink);

  Blackboard &Board;
  PeerLink &Peers;
  OwnedUpstreams Upstreams;
  Dispatcher WorkDispatcher;
  LoadReporter Reporter;
  OwnedUpstreamManager Manager;
  Admission AdmissionControl;
  EjectionPolicy Ejections;
  ConnectionPinger Pinger;
  TimePoint NextOwnershipCheck{};
};

UpstreamController::Impl::Impl(Blackboard &Board, PeerLink &Peers)
    : Board(Board), Peers(Peers), WorkDispatcher(Board, Peers, Upstreams),
      Reporter(Board, Peers, Upstreams),
      Manager(Board, Upstreams, WorkDispatcher, Reporter),
      AdmissionControl(Board, Upstreams), Ejections(Board, Upstreams),
      Pinger(
          Board, Upstreams,
          [this](OwnedUpstream &Upstream, FlowKey Flow, ActionSink &Sink) {
            WorkDispatcher.replaceConnection(Upstream, Flow, Sink);
          },
          [this](OwnedUpstream &Upstream, FlowKey Flow, ActionSink &Sink) {
            WorkDispatcher.releaseFlow(Upstream, Flow, Sink);
          }) {}

// A stale process (one that was paused and has not confirmed its membership
// since) may have been replaced as owner. Service and upstream must match the
// current configuration of this instance, whichever version the sender has.
bool UpstreamController::Impl::isForThisOwner(
    const Submit &SubmitMessage) const {
  const ConfigIndex::UpstreamRef Ref =
      Board.Index.upstream(SubmitMessage.Upstream);
  return !Board.Self.Stale && Ref.Upstream != nullptr &&
         Ref.Service->Id == SubmitMessage.Service &&
         Board.CurrentOwnership.ownerOf(SubmitMessage.Upstream) ==
             Board.Self.Id;
}

void UpstreamController::Impl::answer(const SubmissionKey &Key,
                                      SubmitStatus Status, UpstreamId Target,
                                      ActionSink &Sink) {
  SubmitResult Result;
  Result.Status = Status;
  Result.Redirect = Target;
  WorkDispatcher.finish(Key, std::move(Result), Sink);
}

void UpstreamController::Impl::admit(OwnedUpstream &Upstream, WorkItem Item,
                                     ActionSink &Sink) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  const FlowKey Flow = Item.Body.Flow;
  if (Upstream.Connections.find(Flow) == nullptr) {
    if (Item.Body.MayRedirect) {
      admitNewFlow(Upstream, std::move(Item), Sink);
      return;
    }
    // The first request here of a flow of the previous owner instance.
    if (Upstream.InheritedFlows > 0)
      --Upstream.InheritedFlows;
    if (Upstream.flows() >= Ref.Upstream->Connections) {
      WorkDispatcher.refuse(Item.Key, Upstream, Upstream.Estimate.mean(), Sink);
      return;
    }
  }
  if (!acceptsEstablishedFlows(Upstream, *Ref.Service, Board.now()) ||
      Upstream.Health.state() == HealthState::Ejected) {
    refuseForUnusableUpstream(Upstream, Item, Sink);
    return;
  }
  WorkDispatcher.dispatchOrQueue(Upstream, std::move(Item), Sink);
}

void UpstreamController::Impl::admitNewFlow(OwnedUpstream &Upstream,
                                            WorkItem Item, ActionSink &Sink) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  const bool IsQueueFull = Upstream.Queue.size() >= Ref.Service->QueueLimit;
  if (!IsQueueFull && AdmissionControl.mayAdmit(Upstream)) {
    WorkDispatcher.dispatchOrQueue(Upstream, std::move(Item), Sink);
    return;
  }
  const UpstreamId Target = AdmissionControl.redirect(Upstream);
  if (Target != UpstreamId()) {
    ++Upstream.Metrics->Redirects;
    answer(Item.Key, SubmitStatus::Redirect, Target, Sink);
    return;
  }
  // No sibling can accept the flow, so exceeding the share is no reason to
  // refuse it.
  const bool IsUsable = !Upstream.isDraining() &&
                        Upstream.Health.state() != HealthState::Ejected &&
                        Upstream.flows() < Ref.Upstream->Connections;
  if (IsUsable)
    WorkDispatcher.dispatchOrQueue(Upstream, std::move(Item), Sink);
  else
    refuseForUnusableUpstream(Upstream, Item, Sink);
}

void UpstreamController::Impl::refuseForUnusableUpstream(
    OwnedUpstream &Upstream, const WorkItem &Item, ActionSink &Sink) {
  Reporter.sendLoad(Upstream, Item.Key.Home.Instance, Sink);
  WorkDispatcher.refuse(Item.Key, Upstream,
                        Upstream.Health.ejectionLeft(Board.now()), Sink);
}

void UpstreamController::Impl::refuseQueuesAfterDrainGrace(ActionSink &Sink) {
  for (auto &[Id, Upstream] : Upstreams.Current) {
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
    if (Ref.Service != nullptr &&
        !acceptsEstablishedFlows(Upstream, *Ref.Service, Board.now()))
      WorkDispatcher.flushQueue(Upstream, SubmitStatus::NotRun, Sink);
  }
}

UpstreamController::UpstreamController(Blackboard &Board, PeerLink &Peers)
    : PImpl(std::make_unique<Impl>(Board, Peers)) {}

UpstreamController::~UpstreamController() = default;

void UpstreamController::onSubmit(const Sender &From, Submit SubmitMessage,
                                  ActionSink &Sink) {
  const SubmissionKey Key{From, SubmitMessage.Id};
  if (!PImpl->WorkDispatcher.recordSubmission(Key, Sink))
    return;
  OwnedUpstream *Upstream =
      PImpl->isForThisOwner(SubmitMessage)
          ? PImpl->Manager.findOrCreate(SubmitMessage.Upstream)
          : nullptr;
  // Recorded like any other result: a late retransmission of this submission
  // must not run here after the home instance has submitted it to another
  // owner.
  if (Upstream == nullptr) {
    PImpl->answer(Key, SubmitStatus::NotOwner, {}, Sink);
    return;
  }
  PImpl->Reporter.recordSubmitter(SubmitMessage.Upstream, From.Instance);
  const TimePoint Deadline =
      PImpl->Board.now() + std::min(SubmitMessage.Deadline, MaxTimeLeft);
  PImpl->admit(*Upstream, WorkItem{Key, std::move(SubmitMessage), Deadline},
               Sink);
}

void UpstreamController::onDispatchResult(Endpoint From, DispatchResult Result,
                                          ActionSink &Sink) {
  PImpl->WorkDispatcher.onResult(From, std::move(Result), Sink);
}

void UpstreamController::onCancelSubmit(const Sender &From,
                                        const CancelSubmit &Cancel,
                                        ActionSink &Sink) {
  PImpl->WorkDispatcher.cancel({From, Cancel.Id}, Sink);
}

void UpstreamController::onReleaseFlow(const ReleaseFlow &Release,
                                       ActionSink &Sink) {
  OwnedUpstream *Upstream = PImpl->Upstreams.find(Release.Upstream);
  if (Upstream == nullptr)
    return;
  if (Upstream->Connections.find(Release.Flow) != nullptr)
    PImpl->WorkDispatcher.releaseFlow(*Upstream, Release.Flow, Sink);
  else if (Upstream->InheritedFlows > 0)
    --Upstream->InheritedFlows;
}

void UpstreamController::onPong(Endpoint From, const Pong &Answer,
                                ActionSink &) {
  PImpl->Pinger.onPong(From, Answer.Connection);
}

void UpstreamController::onLoadReport(const Sender &,
                                      const LoadReport &Report) {
  for (const UpstreamLoad &Load : Report.Loads) {
    if (PImpl->Board.Index.upstream(Load.Upstream).Upstream == nullptr)
      continue;
    if (OwnedUpstream *Upstream = PImpl->Upstreams.find(Load.Upstream)) {
      PImpl->Manager.onPreviousOwnerReport(*Upstream, Load);
      continue;
    }
    PImpl->Board.ReportedLoads[Load.Upstream] = {Load, PImpl->Board.now()};
    PImpl->AdmissionControl.onReport(Load.Upstream);
  }
}

void UpstreamController::onHealthObserved(const HealthObserved &Observed,
                                          ActionSink &) {
  OwnedUpstream *Upstream = PImpl->Upstreams.find(Observed.Upstream);
  if (Upstream != nullptr)
    PImpl->Ejections.onHealthStatus(*Upstream, Observed.Status);
}

void UpstreamController::onTick(ActionSink &Sink) {
  const TimePoint Now = PImpl->Board.now();
  if (Now >= PImpl->NextOwnershipCheck) {
    PImpl->NextOwnershipCheck = Now + OwnershipCheckInterval;
    PImpl->Manager.update(Sink);
  }
  PImpl->Manager.onTick(Sink);
  PImpl->refuseQueuesAfterDrainGrace(Sink);
  PImpl->WorkDispatcher.onTick(Sink);
  PImpl->Ejections.onTick(Sink);
  PImpl->Pinger.onTick(Sink);
  PImpl->Reporter.onTick(Sink);
}

void UpstreamController::onPlacementChanged(ActionSink &Sink) {
  PImpl->Manager.update(Sink);
}

void UpstreamController::exportUpstream(UpstreamId Upstream,
                                        HandoverBatch &Batch) const {
  PImpl->Manager.exportUpstream(Upstream, Batch);
}

void UpstreamController::importBatch(const HandoverBatch &Batch) {
  PImpl->Manager.importBatch(Batch);
}

void UpstreamController::dropUpstream(UpstreamId Upstream, ActionSink &Sink) {
  PImpl->Manager.drop(Upstream, Sink);
}

void UpstreamController::reset() {
  PImpl->Manager.reset();
  PImpl->WorkDispatcher.reset();
  PImpl->Reporter.reset();
  PImpl->AdmissionControl.reset();
  PImpl->Pinger.reset();
}

uint32_t UpstreamController::dispatchesInProgress() const {
  return PImpl->WorkDispatcher.inProgress();
}

} // namespace indigopoint
