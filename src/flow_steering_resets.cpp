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

// A failed check is ignored if no upstream answered recently: the fault is then
// more likely on this instance's side.
void FlowSteering::recordCheckResult(UpstreamId Id, bool IsAccepting,
                                     ResetCause FailureCause) {
  const TimePoint Now = TimeSource.now();
  Upstream *Target = Upstreams.find(Id);
  if (Target != nullptr &&
      (IsAccepting || Now - LastAnswerFromAnyUpstream <= RecentAnswerWindow))
    Target->Reachability.recordCheckResult(IsAccepting, Now, FailureCause);
  if (Target == nullptr || !Target->Reachability.isDead(Now))
    return;
  HasNewDeadUpstream = true;
  if (Opts.Checks.ShareFailures)
    FlowHooks.OnStopped(*Target);
  if (Opts.Checks.ResetWaitingFlows)
    resetWaitingFlows(*Target);
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
void FlowSteering::resetFlowsOf(const EvidenceQuery &EvidenceAgainst) {
  Flows.forEach([&](const FlowAddress &Address, SteeredFlow &Flow) {
    Upstream *Target = Upstreams.find(Flow.Upstream);
    if (Target == nullptr || Flow.CurrentPhase != SteeredFlow::Phase::Open)
      return;
    const std::optional<ResetEvidence> Evidence = EvidenceAgainst(*Target);
    const bool IsIdle = !Flow.RequestSentAt;
    if (Evidence && (IsIdle || mayResetOnSuspicion(Address)))
      resetFlow(Address, Flow, *Target, *Evidence);
  });
}

void FlowSteering::resetFlowsOfDeadUpstreams() {
  if (!std::exchange(HasNewDeadUpstream, false) || !Opts.Checks.ResetIdleFlows)
    return;
  resetFlowsOf([Now = TimeSource.now()](
                   const Upstream &Target) -> std::optional<ResetEvidence> {
    if (!Target.Reachability.isDead(Now))
      return std::nullopt;
    return evidenceOf(SteeringReason::UpstreamDead, Target, Now);
  });
}

void FlowSteering::leaveSilentZone() {
  const TimePoint Now = TimeSource.now();
  for (Upstream *Silent : Upstreams.upstreamsOfZone(Opts.Zone))
    Silent->Reachability.recordOpenTimeout(Now);
  if (Opts.Checks.ResetFlowsOfSilentZone)
    resetFlowsOf([this,
                  Now](const Upstream &Target) -> std::optional<ResetEvidence> {
      if (Target.Registration.Zone != Opts.Zone)
        return std::nullopt;
      return ResetEvidence{ResetCause::ZoneSilent, Duration(),
                           timeSince(Target.Reachability.lastAnswer(), Now)};
    });
}

void FlowSteering::recordPeerEvidence(const PeerReport &Report) {
  const TimePoint Now = TimeSource.now();
  Exchanges.recordPeerEvidence(Report, Now);
  for (const UpstreamEvidence &Item : Report.Evidence) {
    Upstream *Target =
        Item.HasStopped ? Upstreams.find(Item.Upstream) : nullptr;
    if (Target == nullptr || !Exchanges.hasStopped(*Target, Now))
      continue;
    Target->Reachability.recordPeerVerdict(Now);
    // Flows now avoid the upstream, so this instance finds no evidence of its
    // own that its zone is silent.
    recordWait(*Target);
    HasNewDeadUpstream = true;
  }
}

// Open flows are reset only if their upstream has certainly stopped: a wrong
// reset breaks a working flow, while a missing reset only makes the client wait
// for its timeout.
std::optional<SteeringReason>
FlowSteering::reasonToReset(const PacketHeader &Packet, const Upstream &Target,
                            bool IsRetransmission) const {
  if (Upstreams.isAddressReused(Target))
    return SteeringReason::AddressReused;
  if (Target.Reachability.isDead(TimeSource.now()) &&
      mayResetOnSuspicion(Packet.Flow))
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
