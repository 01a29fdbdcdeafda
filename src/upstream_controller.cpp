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

// No request lives longer (MaxRequestLifetime).
constexpr Duration LongestDeadline = std::chrono::seconds(30);

// How often ownership is compared with what is kept, apart from the calls of
// onPlacementChanged: a handover may end without one.
constexpr Duration OwnershipCheck = std::chrono::milliseconds(500);

} // namespace

struct UpstreamController::Impl {
  Impl(Blackboard &Board, PeerLink &Peers);

  bool isForThisOwner(const Submit &Body) const;
  void answer(const SubmissionKey &Key, SubmitStatus Status, UpstreamId Target,
              ActionSink &Sink);
  void admit(OwnedUpstream &Given, WorkItem Item, ActionSink &Sink);
  void admitNew(OwnedUpstream &Given, WorkItem Item, ActionSink &Sink);
  void refuseUnusable(OwnedUpstream &Given, const WorkItem &Item,
                      ActionSink &Sink);
  void flushLeaving(ActionSink &Sink);

  Blackboard &Board;
  PeerLink &Peers;
  OwnedUpstreams Owned;
  Dispatcher Dispatches;
  LoadReporter Reports;
  OwnedUpstreamManager Keeper;
  Admission Admit;
  EjectionPolicy Ejections;
  ConnectionPinger Pinger;
  TimePoint NextOwnershipCheck{};
};

UpstreamController::Impl::Impl(Blackboard &Board, PeerLink &Peers)
    : Board(Board), Peers(Peers), Dispatches(Board, Peers, Owned),
      Reports(Board, Peers, Owned), Keeper(Board, Owned, Dispatches, Reports),
      Admit(Board, Owned), Ejections(Board, Owned),
      Pinger(
          Board, Owned,
          [this](OwnedUpstream &Given, FlowKey Flow, ActionSink &Sink) {
            Dispatches.replaceConnection(Given, Flow, Sink);
          },
          [this](OwnedUpstream &Given, FlowKey Flow, ActionSink &Sink) {
            Dispatches.releaseFlow(Given, Flow, Sink);
          }) {}

// A stale process may have been replaced as owner. Service and upstream must
// match the configuration in force here, whatever the sender has in force.
bool UpstreamController::Impl::isForThisOwner(const Submit &Body) const {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Body.Upstream);
  return !Board.Self.Stale && Ref.Upstream != nullptr &&
         Ref.Service->Id == Body.Service &&
         Board.CurrentOwnership.ownerOf(Body.Upstream) == Board.Self.Id;
}

void UpstreamController::Impl::answer(const SubmissionKey &Key,
                                      SubmitStatus Status, UpstreamId Target,
                                      ActionSink &Sink) {
  SubmitResult Result;
  Result.Status = Status;
  Result.Redirect = Target;
  Dispatches.finish(Key, std::move(Result), Sink);
}

void UpstreamController::Impl::admit(OwnedUpstream &Given, WorkItem Item,
                                     ActionSink &Sink) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  const FlowKey Flow = Item.Body.Flow;
  if (Given.Connections.find(Flow) == nullptr) {
    if (Item.Body.MayRedirect) {
      admitNew(Given, std::move(Item), Sink);
      return;
    }
    // A flow of the previous owner that shows up here.
    if (Given.InheritedFlows > 0)
      --Given.InheritedFlows;
    if (Given.flows() >= Ref.Upstream->Connections) {
      Dispatches.refuse(Item.Key, Given, Given.Estimate.mean(), Sink);
      return;
    }
  }
  if (!acceptsEstablished(Given, *Ref.Service, Board.now()) ||
      Given.Health.state() == HealthState::Ejected) {
    refuseUnusable(Given, Item, Sink);
    return;
  }
  Dispatches.dispatchOrQueue(Given, std::move(Item), Sink);
}

void UpstreamController::Impl::admitNew(OwnedUpstream &Given, WorkItem Item,
                                        ActionSink &Sink) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  const bool QueueFull = Given.Queue.size() >= Ref.Service->QueueLimit;
  if (!QueueFull && Admit.mayAdmit(Given)) {
    Dispatches.dispatchOrQueue(Given, std::move(Item), Sink);
    return;
  }
  const UpstreamId Target = Admit.redirect(Given);
  if (Target != UpstreamId()) {
    ++Given.Metrics->Redirects;
    answer(Item.Key, SubmitStatus::Redirect, Target, Sink);
    return;
  }
  // No sibling can take it. Being above the share is then no reason to refuse.
  const bool Usable = !Given.isDraining() &&
                      Given.Health.state() != HealthState::Ejected &&
                      Given.flows() < Ref.Upstream->Connections;
  if (Usable)
    Dispatches.dispatchOrQueue(Given, std::move(Item), Sink);
  else
    refuseUnusable(Given, Item, Sink);
}

void UpstreamController::Impl::refuseUnusable(OwnedUpstream &Given,
                                              const WorkItem &Item,
                                              ActionSink &Sink) {
  Reports.sendLoad(Given, Item.Key.Home.Instance, Sink);
  Dispatches.refuse(Item.Key, Given, Given.Health.ejectionLeft(Board.now()),
                    Sink);
}

void UpstreamController::Impl::flushLeaving(ActionSink &Sink) {
  for (auto &[Id, Given] : Owned.Current) {
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
    if (Ref.Service != nullptr &&
        !acceptsEstablished(Given, *Ref.Service, Board.now()))
      Dispatches.flushQueue(Given, SubmitStatus::NotRun, Sink);
  }
}

UpstreamController::UpstreamController(Blackboard &Board, PeerLink &Peers)
    : PImpl(std::make_unique<Impl>(Board, Peers)) {}

UpstreamController::~UpstreamController() = default;

void UpstreamController::onSubmit(const Sender &From, Submit Body,
                                  ActionSink &Sink) {
  const SubmissionKey Key{From, Body.Id};
  if (!PImpl->Dispatches.begin(Key, Sink))
    return;
  OwnedUpstream *Given = PImpl->isForThisOwner(Body)
                             ? PImpl->Keeper.ensure(Body.Upstream)
                             : nullptr;
  // Recorded like any other result: a late copy of this submission must not
  // run here after the home has submitted elsewhere.
  if (Given == nullptr) {
    PImpl->answer(Key, SubmitStatus::NotOwner, {}, Sink);
    return;
  }
  PImpl->Reports.recordSubmitter(Body.Upstream, From.Instance);
  const TimePoint Deadline =
      PImpl->Board.now() + std::min(Body.Deadline, LongestDeadline);
  PImpl->admit(*Given, WorkItem{Key, std::move(Body), Deadline}, Sink);
}

void UpstreamController::onDispatchResult(Endpoint From, DispatchResult Result,
                                          ActionSink &Sink) {
  PImpl->Dispatches.onResult(From, std::move(Result), Sink);
}

void UpstreamController::onCancelSubmit(const Sender &From,
                                        const CancelSubmit &Cancel,
                                        ActionSink &Sink) {
  PImpl->Dispatches.cancel({From, Cancel.Id}, Sink);
}

void UpstreamController::onReleaseFlow(const ReleaseFlow &Release,
                                       ActionSink &Sink) {
  OwnedUpstream *Given = PImpl->Owned.find(Release.Upstream);
  if (Given == nullptr)
    return;
  if (Given->Connections.find(Release.Flow) != nullptr)
    PImpl->Dispatches.releaseFlow(*Given, Release.Flow, Sink);
  else if (Given->InheritedFlows > 0)
    --Given->InheritedFlows;
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
    if (OwnedUpstream *Given = PImpl->Owned.find(Load.Upstream)) {
      PImpl->Keeper.onPreviousOwner(*Given, Load);
      continue;
    }
    PImpl->Board.ReportedLoads[Load.Upstream] = {Load, PImpl->Board.now()};
    PImpl->Admit.onReport(Load.Upstream);
  }
}

void UpstreamController::onHealthObserved(const HealthObserved &Observed,
                                          ActionSink &) {
  OwnedUpstream *Given = PImpl->Owned.find(Observed.Upstream);
  if (Given != nullptr)
    PImpl->Ejections.onHealthStatus(*Given, Observed.Status);
}

void UpstreamController::onTick(ActionSink &Sink) {
  const TimePoint Now = PImpl->Board.now();
  if (Now >= PImpl->NextOwnershipCheck) {
    PImpl->NextOwnershipCheck = Now + OwnershipCheck;
    PImpl->Keeper.update(Sink);
  }
  PImpl->Keeper.onTick(Sink);
  PImpl->flushLeaving(Sink);
  PImpl->Dispatches.onTick(Sink);
  PImpl->Ejections.onTick(Sink);
  PImpl->Pinger.onTick(Sink);
  PImpl->Reports.onTick(Sink);
}

void UpstreamController::onPlacementChanged(ActionSink &Sink) {
  PImpl->Keeper.update(Sink);
}

void UpstreamController::exportUpstream(UpstreamId Upstream,
                                        HandoverBatch &Batch) const {
  PImpl->Keeper.exportUpstream(Upstream, Batch);
}

void UpstreamController::importBatch(const HandoverBatch &Batch) {
  PImpl->Keeper.importBatch(Batch);
}

void UpstreamController::dropUpstream(UpstreamId Upstream, ActionSink &Sink) {
  PImpl->Keeper.drop(Upstream, Sink);
}

void UpstreamController::reset() {
  PImpl->Keeper.reset();
  PImpl->Dispatches.reset();
  PImpl->Reports.reset();
  PImpl->Admit.reset();
  PImpl->Pinger.reset();
}

uint32_t UpstreamController::dispatchesInProgress() const {
  return PImpl->Dispatches.inProgress();
}

} // namespace indigopoint
