// When FlowSteering gives up open flows: what is known of their upstreams, and
// which flows lose nothing by a reset.

#include "flow_steering.h"

#include <utility>

#include "time_since.h"

namespace indigopoint {

namespace {

// An answer from any upstream within this time shows that this instance's own
// network connection works.
constexpr Duration RecentAnswerWindow = std::chrono::milliseconds(500);

// An instance to which a whole zone is silent takes the failed checks of this
// many others for one of its own.
constexpr size_t MinWitnessesInSilentZone = 2;

// Why flows of the upstream are reset for this reason.
ResetEvidence evidenceOf(SteeringReason Reason, const Upstream &Target,
                         TimePoint Now) {
  const auto SinceAnswer = timeSince(Target.Reachability.lastAnswer(), Now);
  if (Reason == SteeringReason::AddressReused)
    return {ResetCause::AddressReused, Now - Target.UnregisteredAt,
            SinceAnswer};
  if (Reason == SteeringReason::UpstreamGone)
    return {ResetCause::MissingFromStore, Now - Target.UnregisteredAt,
            SinceAnswer};
  const ReachabilityTracker::Verdict &Found = Target.Reachability.lastVerdict();
  return {Found.Cause, Now - Found.FoundAt, SinceAnswer};
}

} // namespace

// A failed check without a reference is ignored if no upstream answered
// recently: the fault is then more likely on this instance's side.
void FlowSteering::recordCheckResult(UpstreamId Id, CheckResult Result) {
  const TimePoint Now = TimeSource.now();
  Upstream *Target = Upstreams.find(Id);
  const bool IsAccepting = Result == CheckResult::Accepted;
  // The reference of the check shows the same.
  const bool IsPathKnownToWork =
      Opts.Checks.UseReference ||
      Now - LastAnswerFromAnyUpstream <= RecentAnswerWindow;
  if (Target == nullptr || (!IsAccepting && !IsPathKnownToWork))
    return;
  if (!isConclusive(Result, *Target)) {
    Target->Reachability.requestCheck();
    return;
  }
  const bool NeedsRepetition = Target->Reachability.recordCheckResult(
      Result, Exchanges.countStopReports(*Target, Now) > 0, Now);
  const bool IsDead = Target->Reachability.isDead(Now);
  if (Opts.Checks.ShareFailures && (NeedsRepetition || IsDead))
    FlowHooks.OnStopped(*Target);
  if (NeedsRepetition)
    FlowHooks.OnCheckNeeded(*Target);
  if (IsDead)
    giveUp(*Target);
}

// An upstream that is about to stop may close its listener first and still
// serve its open flows; its registration ends with it. On a congested link of
// this instance the packets of a check wait or are lost like all others, also
// if those of the reference come through.
bool FlowSteering::isConclusive(CheckResult Result,
                                const Upstream &Target) const {
  switch (Result) {
  case CheckResult::Accepted:
    return true;
  case CheckResult::Refused:
    return Target.State != UpstreamState::Draining;
  case CheckResult::NoAnswer:
    return !FlowHooks.IsLinkCongested();
  }
  return false;
}

void FlowSteering::recordVoidCheck(UpstreamId Id) {
  if (Upstream *Target = Upstreams.find(Id))
    Target->Reachability.requestCheck();
}

// Upstreams without an open flow here have nothing to be given up, and the
// checks of all instances at once fill the upstream's queue of connections.
void FlowSteering::startRequestedChecks() {
  Upstreams.forEach([this](Upstream &Target) {
    if (Target.Reachability.isCheckRequested() && Target.OpenFlows > 0)
      requestCheckIfDue(Target);
  });
}

void FlowSteering::giveUp(Upstream &DeadUpstream) {
  HasNewDeadUpstream = true;
  if (Opts.Checks.ResetWaitingFlows)
    resetWaitingFlows(DeadUpstream);
}

// The next retransmission of a waiting client may come too late for a new
// attempt, since the intervals between retransmissions double.
void FlowSteering::resetWaitingFlows(Upstream &DeadUpstream) {
  const UpstreamId Id = DeadUpstream.Registration.Id;
  const ResetEvidence Evidence =
      evidenceOf(SteeringReason::UpstreamDead, DeadUpstream, TimeSource.now());
  const auto [Begin, End] = RetransmittingFlows.equal_range(Id);
  for (auto It = Begin; It != End; ++It) {
    SteeredFlow *Flow = Flows.find(It->second);
    if (Flow == nullptr || Flow->Upstream != Id || !Flow->HasRetransmitted ||
        Flow->CurrentPhase != SteeredFlow::Phase::Open ||
        !mayResetOnSuspicion(It->second))
      continue;
    resetFlow(It->second, *Flow, DeadUpstream, Evidence);
  }
  RetransmittingFlows.erase(Begin, End);
}

void FlowSteering::resetFlow(const FlowAddress &Address, SteeredFlow &Flow,
                             Upstream &Target, const ResetEvidence &Evidence) {
  PacketHeader Packet;
  Packet.Flow = Address;
  Packet.AckNumber = Flow.HighestAck;
  const SteeringDecision Decision{.Action = SteeringAction::Reset,
                                  .Reason = SteeringReason::UpstreamDead,
                                  .Target = &Target,
                                  .Evidence = Evidence};
  setPhase(Flow, SteeredFlow::Phase::Closing);
  Metrics.countDecision(Decision);
  FlowHooks.OnReset(Packet, Decision);
}

// The client of an idle flow sends its next request to a silent upstream unless
// the flow is reset before. A waiting request that is not idempotent is left
// alone, since its client would not send it again.
void FlowSteering::resetFlowsOfDeadUpstreams() {
  if (!std::exchange(HasNewDeadUpstream, false) || !Opts.Checks.ResetIdleFlows)
    return;
  Flows.forEach([&](const FlowAddress &Address, SteeredFlow &Flow) {
    Upstream *Target = Upstreams.find(Flow.Upstream);
    if (Target == nullptr || !Target->Reachability.isDead(TimeSource.now()) ||
        Flow.CurrentPhase != SteeredFlow::Phase::Open)
      return;
    const bool IsIdle = !Flow.RequestSentAt && !Flow.MayAwaitAnswer;
    if (IsIdle || mayResetOnSuspicion(Address))
      resetFlow(
          Address, Flow, *Target,
          evidenceOf(SteeringReason::UpstreamDead, *Target, TimeSource.now()));
  });
}

// The silence may also be that of the clients, or of a machine without
// processor time, so it gives up no flow.
void FlowSteering::leaveSilentZone() {
  for (Upstream *Silent : Upstreams.upstreamsOfZone(Opts.Zone)) {
    Silent->Reachability.recordOpenTimeout(TimeSource.now());
    if (!Opts.Checks.ResetFlowsOfSilentZone)
      continue;
    recordWitnesses(*Silent);
    if (!Silent->Reachability.isDead(TimeSource.now()))
      Silent->Reachability.requestCheck();
  }
  startRequestedChecks();
}

void FlowSteering::checkLateUpstreams() {
  if (!Opts.Checks.ResetFlowsOfSilentZone || Opts.Gate == nullptr)
    return;
  // All are requested before the first one starts, so that none of them is the
  // reference.
  for (Upstream *Late : Upstreams.upstreamsOfZone(Opts.Zone))
    if (Opts.Gate->isWaitingFor(Late->Registration.Id))
      Late->Reachability.requestCheck();
  startRequestedChecks();
}

// The word of other instances may be old, or be that of their own path. It
// gives up no flow unless this instance found the same: by a check, or since
// all upstreams of the zone are silent to it.
void FlowSteering::recordWitnesses(Upstream &Target) {
  const TimePoint Now = TimeSource.now();
  const bool IsInSilentZone = Opts.Gate != nullptr &&
                              Opts.Gate->isZoneSilent() &&
                              Target.Registration.Zone == Opts.Zone;
  const size_t Witnesses = Exchanges.countStopReports(Target, Now);
  if (Witnesses > 0)
    Target.Reachability.recordWitness(Now);
  if (IsInSilentZone && Witnesses >= MinWitnessesInSilentZone &&
      !FlowHooks.IsLinkCongested() && Opts.Gate->isZoneSilentToSelf(Now))
    Target.Reachability.recordSilence(Now);
  if (Target.Reachability.isDead(Now))
    giveUp(Target);
  else if (Witnesses > 0 && Target.OpenFlows > 0)
    requestCheckIfDue(Target);
}

void FlowSteering::recordPeerEvidence(const PeerReport &Report) {
  const TimePoint Now = TimeSource.now();
  Exchanges.recordPeerEvidence(Report, Now);
  for (const UpstreamEvidence &Item : Report.Evidence) {
    Upstream *Target =
        Item.HasStopped ? Upstreams.find(Item.Upstream) : nullptr;
    if (Target == nullptr || Exchanges.countStopReports(*Target, Now) == 0)
      continue;
    if (Exchanges.hasStopped(*Target, Now)) {
      Target->Reachability.recordPeerVerdict(Now);
      // Flows now avoid the upstream, so this instance finds no evidence of its
      // own that its zone is silent.
      if (Opts.Gate != nullptr)
        Opts.Gate->recordReported(Target->Registration.Service, Item.Upstream,
                                  Target->Registration.Zone == Opts.Zone, Now);
    }
    recordWitnesses(*Target);
  }
}

// Open flows are reset only if their upstream has certainly stopped: a wrong
// reset breaks a working flow, while a missing reset only makes the client wait
// for its timeout. A registration can be missing although the upstream works.
std::optional<SteeringReason>
FlowSteering::reasonToReset(const PacketHeader &Packet, const Upstream &Target,
                            bool IsRetransmission) const {
  if (Upstreams.isAddressReused(Target))
    return SteeringReason::AddressReused;
  if (!Target.Reachability.isDead(TimeSource.now()))
    return std::nullopt;
  if (mayResetOnSuspicion(Packet.Flow))
    return SteeringReason::UpstreamDead;
  if (IsRetransmission && Upstreams.isPresumedStopped(Target))
    return SteeringReason::UpstreamGone;
  return std::nullopt;
}

// A client repeats a non-idempotent request on no other flow. If the upstream
// was only silent, its answer still comes; a reset would lose it.
bool FlowSteering::mayResetOnSuspicion(const FlowAddress &Flow) const {
  if (Opts.Checks.ResetNonIdempotentFlows)
    return true;
  const Route *MatchedRoute = Routes.find(Flow.ServiceAddress);
  return MatchedRoute != nullptr && MatchedRoute->Idempotent;
}

SteeringDecision FlowSteering::forwardOrReset(const PacketHeader &Packet,
                                              SteeringReason Reason,
                                              bool IsRetransmission,
                                              Upstream &Target) {
  const auto ResetReason = reasonToReset(Packet, Target, IsRetransmission);
  if (!ResetReason)
    return {SteeringAction::Forward, Reason, &Target,
            tagOf(Packet.Flow, Target.Registration.Id)};
  if (Packet.IsFinal || Packet.IsReset || Packet.DataBytes == 0)
    return {SteeringAction::Drop, *ResetReason, &Target};
  if (SteeredFlow *Flow = Flows.find(Packet.Flow))
    setPhase(*Flow, SteeredFlow::Phase::Closing);
  return {.Action = SteeringAction::Reset,
          .Reason = *ResetReason,
          .Target = &Target,
          .Evidence = evidenceOf(*ResetReason, Target, TimeSource.now())};
}

} // namespace indigopoint
