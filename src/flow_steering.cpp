#include "flow_steering.h"

#include <algorithm>
#include <utility>

namespace indigopoint {

namespace {

// Clients retransmit data that was not acknowledged for longer than this.
// Packets that arrive sooner after newer data were only reordered on the way.
constexpr Duration MinRetransmissionDelay = std::chrono::milliseconds(100);

// Sequence numbers wrap around.
bool isAfter(uint32_t A, uint32_t B) { return static_cast<int32_t>(A - B) > 0; }

// Whether an opening packet is a copy of the one that opened the flow. A client
// that uses its port again begins with another sequence number.
bool isOpeningOf(const PacketHeader &Packet, const SteeredFlow &Flow) {
  return Flow.IsAdopted ? isReachable(Packet.Sequence, Flow.InitialSequence)
                        : Packet.Sequence == Flow.InitialSequence;
}

} // namespace

SteeringDecision FlowSteering::steer(const PacketHeader &Packet) {
  Flows.reportOpenTimeouts(
      TimeSource.now(), [this](const FlowAddress &Address, SteeredFlow &Flow) {
        onOpenTimeout(Address, Flow);
      });
  Exchanges.reportOverdue(TimeSource.now());
  SteeringDecision Decision = decide(Packet);
  Metrics.countDecision(Decision);
  return Decision;
}

void FlowSteering::onOpenTimeout(const FlowAddress &Address,
                                 SteeredFlow &Flow) {
  clearPendingOpening(Flow);
  Upstream *Target = Upstreams.find(Flow.Upstream);
  if (Target == nullptr)
    return;
  Target->Reachability.recordOpenTimeout(TimeSource.now());
  ++Metrics.service(Target->Registration.Service).OpenTimeouts;
  FlowHooks.OnOpenTimeout(Address, *Target);
  requestCheckIfDue(*Target);
}

void FlowSteering::requestCheckIfDue(Upstream &Target) {
  if (Opts.Checks.Enabled &&
      Target.Reachability.startCheckIfDue(TimeSource.now()))
    FlowHooks.OnCheckNeeded(Target);
}

SteeringDecision FlowSteering::decide(const PacketHeader &Packet) {
  // Without a configuration the packet may belong to an open flow of a valid
  // route, so it must not be reset.
  if (!Routes.isLoaded())
    return {SteeringAction::Drop, SteeringReason::NoConfiguration, nullptr};
  if (Packet.IsOpening && FlowHooks.IsOutdated())
    return {SteeringAction::Drop, SteeringReason::Paused, nullptr};
  SteeredFlow *Flow = Flows.find(Packet.Flow);
  return Packet.IsOpening ? steerOpening(Packet, Flow)
                          : steerLaterPacket(Packet, Flow);
}

SteeringDecision FlowSteering::steerOpening(const PacketHeader &Packet,
                                            SteeredFlow *Flow) {
  // In an opening packet, AckNumber is the number of earlier copies.
  const bool IsRetransmission = Packet.AckNumber != 0;
  const Route *MatchedRoute = Routes.find(Packet.Flow.ServiceAddress);
  // An instance that knows the route may have forwarded an earlier copy, so the
  // flow could be open; only a first opening packet is reset.
  if (MatchedRoute == nullptr)
    return {Flow == nullptr && !IsRetransmission ? SteeringAction::Reset
                                                 : SteeringAction::Drop,
            SteeringReason::NoRoute, nullptr};
  if (Flow != nullptr && !isOpeningOf(Packet, *Flow)) {
    Exchanges.recordAbandonment(*Flow, TimeSource.now());
    uncountFlow(*Flow);
    Flows.erase(Packet.Flow);
    Flow = nullptr;
  }
  if (Flow == nullptr)
    return assignNewUpstream(Packet, *MatchedRoute, nullptr,
                             checkPreviousOpening(Packet.Flow));
  Upstream *CurrentUpstream = Upstreams.find(Flow->Upstream);
  Flow->LastSeen = TimeSource.now();
  // A delayed first copy must not reach an upstream that takes no new flows any
  // more.
  const bool IsOpening = Flow->CurrentPhase == SteeredFlow::Phase::Opening;
  const bool MayMove =
      IsOpening &&
      (IsRetransmission ||
       (CurrentUpstream != nullptr &&
        Upstreams.evacuations().contains(CurrentUpstream->Registration.Zone)));
  if (!MayMove)
    return CurrentUpstream != nullptr
               ? forwardOpening(SteeringReason::RepeatedOpening, Packet, Flow,
                                *CurrentUpstream)
               : assignNewUpstream(Packet, *MatchedRoute, Flow, {});
  // If the upstream answered other flows since this one was opened, it works
  // and a packet of this flow was lost. If the opening were sent to another
  // upstream, both could answer.
  if (CurrentUpstream != nullptr && canAssignFlow(*CurrentUpstream, Packet) &&
      (!Opts.Placement.MoveUnansweredOpenings ||
       CurrentUpstream->Reachability.lastAnswer() > Flow->OpenedAt))
    return forwardOpening(SteeringReason::RepeatedOpening, Packet, Flow,
                          *CurrentUpstream);
  return assignNewUpstream(Packet, *MatchedRoute, Flow, Flow->Upstream);
}

SteeringDecision FlowSteering::assignNewUpstream(const PacketHeader &Packet,
                                                 const Route &MatchedRoute,
                                                 SteeredFlow *Flow,
                                                 UpstreamId UpstreamToAvoid) {
  const TimePoint Now = TimeSource.now();
  const RouteShare *Share = RouteTable::chooseShare(MatchedRoute, Packet.Flow);
  const NewFlow FlowToOpen{Packet.Flow, UpstreamToAvoid, Packet.AckNumber};
  Upstream *Target =
      Share == nullptr ? nullptr : choose(Share->Service, FlowToOpen, Packet);
  if (Target == nullptr) {
    // Another instance may have forwarded an earlier copy of a retransmitted
    // opening, so the flow could be open; only a first opening packet is reset.
    // Until all upstreams were read from the store, the packet is dropped,
    // since an upstream may be known when the client retransmits.
    const bool MayReset =
        Flow == nullptr && Packet.AckNumber == 0 && Upstreams.isComplete();
    return {MayReset ? SteeringAction::Reset : SteeringAction::Drop,
            SteeringReason::NoUpstream, nullptr};
  }
  const bool IsMoved = Flow != nullptr && UpstreamToAvoid != UpstreamId();
  // An earlier copy may have reached another upstream, through this instance or
  // through another one.
  const bool IsContested = Flow != nullptr || Packet.AckNumber != 0;
  if (Flow == nullptr)
    Flow = Flows.add(Packet.Flow);
  if (Flow != nullptr) {
    Flow->IsContested = IsContested;
    assign(*Flow, Target->Registration.Id);
    Flow->InitialSequence = Packet.Sequence;
    Flow->NextSequence = Packet.Sequence + 1;
    Flow->OpenedAt = Flow->LastSeen = Now;
    Flows.addOpeningDeadline(Packet.Flow, Now + OpenTimeout);
    clearPendingOpening(*Flow);
    Flow->IsCountedAsPending = true;
    Target->Reachability.recordOpening(Now);
    Exchanges.recordOpening(Packet.Flow, *Target, Now);
    LastFlowByClient[Packet.Flow.Client.Address] = Packet.Flow;
  }
  ServiceFlowMetrics &Service = Metrics.service(Target->Registration.Service);
  ++(Target->Registration.Zone == Opts.Zone ? Service.OpenedInZone
                                            : Service.OpenedInOtherZones);
  if (Upstreams.evacuations().contains(Opts.Zone))
    ++Service.OpenedDuringEvacuation;
  return forwardOpening(IsMoved ? SteeringReason::MovedOpening
                                : SteeringReason::NewFlow,
                        Packet, Flow, *Target);
}

// An upstream resets an opening that it refuses; the reset does not pass
// through this instance. The client then opens a new flow immediately, so the
// time between the two openings is about TypicalOpenLatency.
UpstreamId FlowSteering::checkPreviousOpening(const FlowAddress &Flow) {
  const auto LastFlow = LastFlowByClient.find(Flow.Client.Address);
  SteeredFlow *PreviousFlow = LastFlow == LastFlowByClient.end()
                                  ? nullptr
                                  : Flows.find(LastFlow->second);
  if (PreviousFlow == nullptr ||
      LastFlow->second.ServiceAddress != Flow.ServiceAddress)
    return {};
  Exchanges.recordAbandonment(*PreviousFlow, TimeSource.now());
  if (!PreviousFlow->IsCountedAsPending)
    return {};
  Upstream *Target = Upstreams.find(PreviousFlow->Upstream);
  if (Target != nullptr &&
      TimeSource.now() - PreviousFlow->OpenedAt >= TypicalOpenLatency * 9 / 10)
    Target->Reachability.recordRefusal(TimeSource.now());
  return Opts.Placement.AvoidRefusedUpstream ? PreviousFlow->Upstream
                                             : UpstreamId();
}

bool FlowSteering::mayOpenAt(const Upstream &Target, double WarmupRate) {
  return Upstreams.takesNewFlows(Target) &&
         Warmups.mayOpen(Target, WarmupRate, TimeSource.now());
}

bool FlowSteering::canAssignFlow(const Upstream &Target,
                                 const PacketHeader &Opening) {
  const ServiceSettings &Service = Routes.service(Target.Registration.Service);
  return mayOpenAt(Target, Service.WarmupRate) && isTagUnique(Target, Opening);
}

Upstream *FlowSteering::choose(const std::string &Service,
                               const NewFlow &FlowToOpen,
                               const PacketHeader &Opening) {
  const double WarmupRate = Routes.service(Service).WarmupRate;
  std::vector<Upstream *> Candidates;
  for (Upstream *Candidate : Upstreams.upstreamsOfService(Service))
    if (mayOpenAt(*Candidate, WarmupRate))
      Candidates.push_back(Candidate);
  Exchanges.applyPeerEvidence(Service, TimeSource.now());
  // Collisions of tags are rare, so only the choice is checked.
  while (Upstream *Best =
             Opts.Policy(Candidates, FlowToOpen, TimeSource.now())) {
    if (isTagUnique(*Best, Opening))
      return Best;
    std::erase(Candidates, Best);
  }
  return nullptr;
}

// A late copy must not give the upstream of an open flow the tag of an opening
// packet again, since the client would repeat that.
SteeringDecision FlowSteering::forwardOpening(SteeringReason Reason,
                                              const PacketHeader &Packet,
                                              const SteeredFlow *Flow,
                                              Upstream &Target) {
  Warmups.recordOpening(Target, TimeSource.now());
  recordWait(Target);
  const bool IsOpening =
      Flow == nullptr || Flow->CurrentPhase == SteeredFlow::Phase::Opening;
  const UpstreamId Id = Target.Registration.Id;
  return forwardUnlessAddressReused(
      Reason, Target,
      IsOpening ? openingTagOf(Packet.Flow, Id, Packet.Sequence)
                : tagOf(Packet.Flow, Id));
}

void FlowSteering::recordWait(const Upstream &Target) {
  const UpstreamRegistration &Registration = Target.Registration;
  if (Opts.Gate != nullptr)
    Opts.Gate->recordSent(Registration.Service, Registration.Id,
                          Registration.Zone == Opts.Zone, TimeSource.now());
}

SteeringDecision FlowSteering::steerLaterPacket(const PacketHeader &Packet,
                                                SteeredFlow *Flow) {
  if (Routes.find(Packet.Flow.ServiceAddress) == nullptr) {
    // If the flow is unknown, the route may have been removed, or it may be
    // too new to be known to this instance.
    if (Flow == nullptr)
      return {SteeringAction::Drop, SteeringReason::NoRoute, nullptr};
    uncountFlow(*Flow);
    Flows.erase(Packet.Flow);
    return {.Action = SteeringAction::Reset,
            .Reason = SteeringReason::RouteRemoved,
            .Evidence = ResetEvidence{ResetCause::RouteRemoved}};
  }
  if (Flow == nullptr)
    return adoptFlow(Packet);
  if (Flow->CurrentPhase == SteeredFlow::Phase::Opening &&
      Packet.Tag != FlowTag()) {
    // The upstream whose answer the client accepted differs from the stored one
    // if another copy of the opening was sent elsewhere.
    const Identification Found = identify(Packet);
    if (Found.Target == nullptr)
      return dropUnidentified(Packet, Flow);
    assign(*Flow, Found.Target->Registration.Id);
  }
  Upstream *Target = Upstreams.find(Flow->Upstream);
  if (Target == nullptr)
    return {SteeringAction::Drop, SteeringReason::UnknownTag, nullptr};
  checkTag(Packet, *Flow, *Target);
  const bool IsRetransmission = updateFlow(Packet, *Flow, *Target);
  return forwardOrReset(Packet, SteeringReason::KnownFlow, IsRetransmission,
                        *Target);
}

bool FlowSteering::updateFlow(const PacketHeader &Packet, SteeredFlow &Flow,
                              Upstream &Target) {
  const TimePoint Now = TimeSource.now();
  Flow.LastSeen = Now;
  const bool WasOpening = Flow.CurrentPhase == SteeredFlow::Phase::Opening;
  if (WasOpening) {
    clearPendingOpening(Flow);
    setPhase(Flow, SteeredFlow::Phase::Open);
    ServiceFlowMetrics &Service = Metrics.service(Target.Registration.Service);
    const Duration Latency = Now - Flow.OpenedAt;
    TypicalOpenLatency += (Latency - TypicalOpenLatency) / 8;
    Service.OpenLatency(static_cast<double>(Latency.count()));
    Service.OpenLatencySum += Latency;
    if (Flow.IsContested) {
      const FlowPlacement Placement{Packet.Flow, Target.Registration.Id,
                                    Flow.InitialSequence};
      Placements.record(Placement, Now);
      FlowHooks.OnPlacement(Placement);
    }
  }
  // The client acknowledges data that it had not received before.
  const bool HasNewAnswer =
      WasOpening || isAfter(Packet.AckNumber, Flow.HighestAck);
  const uint32_t DataEnd = Packet.Sequence + Packet.DataBytes;
  const bool HasNewData =
      Packet.DataBytes > 0 && isAfter(DataEnd, Flow.NextSequence);
  const bool IsRetransmission =
      !HasNewAnswer && !HasNewData && Packet.DataBytes > 0 &&
      Now - Flow.LastNewDataAt >= MinRetransmissionDelay;
  if (HasNewAnswer)
    recordAnswer(Packet, Flow, Target);
  if (HasNewData) {
    Flow.NextSequence = DataEnd;
    Flow.LastNewDataAt = Now;
    if (!Flow.RequestSentAt) {
      Flow.RequestSentAt = Now;
      recordWait(Target);
      Exchanges.recordRequest(Packet.Flow, Flow, Target);
    }
  }
  if (IsRetransmission) {
    if (!Flow.HasRetransmitted)
      RetransmittingFlows.emplace(Flow.Upstream, Packet.Flow);
    Flow.HasRetransmitted = true;
    if (Opts.Checks.AtRetransmission)
      Target.Reachability.recordRetransmission(Now);
    requestCheckIfDue(Target);
  }
  if (Packet.IsFinal || Packet.IsReset) {
    Exchanges.recordAbandonment(Flow, Now);
    setPhase(Flow, SteeredFlow::Phase::Closing);
  }
  return IsRetransmission;
}

// The answer to a request that was retransmitted may be that to either copy, so
// it says nothing of the upstream's speed.
void FlowSteering::recordAnswer(const PacketHeader &Packet, SteeredFlow &Flow,
                                Upstream &Target) {
  const TimePoint Now = TimeSource.now();
  if (Flow.RequestSentAt && Opts.Spill != nullptr)
    Opts.Spill->recordResponse(Target.Registration, Now - *Flow.RequestSentAt,
                               Now);
  if (Flow.RequestSentAt && !Flow.HasRetransmitted)
    Target.ResponseTimes.record(Now - *Flow.RequestSentAt, Now);
  ExchangeMonitor::recordAnswer(Flow, Target, Now);
  Flow.RequestSentAt.reset();
  Flow.HighestAck = Packet.AckNumber;
  Flow.HasRetransmitted = false;
  Flow.MayAwaitAnswer = false;
  LastAnswerFromAnyUpstream = Now;
  if (Opts.Gate != nullptr)
    Opts.Gate->recordAnswer(Target.Registration.Zone == Opts.Zone, Now);
  Target.Reachability.recordAnswer(Now);
}

SteeringDecision FlowSteering::forwardUnlessAddressReused(SteeringReason Reason,
                                                          Upstream &Target,
                                                          FlowTag Tag) const {
  if (Upstreams.isAddressReused(Target))
    return {SteeringAction::Drop, SteeringReason::AddressReused, &Target};
  return {SteeringAction::Forward, Reason, &Target, Tag};
}

// Flows in the Closing phase do not count as load of their upstream.
void FlowSteering::setPhase(SteeredFlow &Flow, SteeredFlow::Phase NewPhase) {
  if (Flow.CurrentPhase == NewPhase)
    return;
  if (NewPhase == SteeredFlow::Phase::Closing)
    uncountFlow(Flow);
  Flow.CurrentPhase = NewPhase;
}

void FlowSteering::clearPendingOpening(SteeredFlow &Flow) {
  if (!Flow.IsCountedAsPending)
    return;
  Flow.IsCountedAsPending = false;
  if (Upstream *Target = Upstreams.find(Flow.Upstream))
    Target->Reachability.recordOpeningEnd();
}

void FlowSteering::uncountFlow(SteeredFlow &Flow) {
  clearPendingOpening(Flow);
  Exchanges.end(Flow);
  Upstream *OldUpstream = Upstreams.find(Flow.Upstream);
  if (Flow.CurrentPhase == SteeredFlow::Phase::Closing)
    return;
  if (OldUpstream != nullptr && OldUpstream->OpenFlows > 0)
    --OldUpstream->OpenFlows;
}

void FlowSteering::assign(SteeredFlow &Flow, UpstreamId NewId) {
  if (Flow.Upstream == NewId)
    return;
  uncountFlow(Flow);
  Flow.Upstream = NewId;
  if (Upstream *NewUpstream = Upstreams.find(NewId))
    ++NewUpstream->OpenFlows;
}

void FlowSteering::sweep() {
  const TimePoint Now = TimeSource.now();
  Flows.sweep(
      Now, Routes.idleTimeout(),
      [this](const FlowAddress &, SteeredFlow &Flow) { uncountFlow(Flow); });
  // An upper limit on the lifetime of any flow.
  constexpr Duration FlowLifetime = std::chrono::minutes(2);
  Exchanges.reportOverdue(Now);
  Exchanges.expire(Now);
  Upstreams.expire(Now, FlowLifetime);
  Placements.expireBefore(Now - FlowLifetime);
  Warmups.expire(Now);
  std::erase_if(RetransmittingFlows, [this](const auto &Entry) {
    const SteeredFlow *Flow = Flows.find(Entry.second);
    return Flow == nullptr || !Flow->HasRetransmitted ||
           Flow->Upstream != Entry.first;
  });
  std::erase_if(LastFlowByClient, [this](const auto &Entry) {
    return Flows.find(Entry.second) == nullptr;
  });
}

} // namespace indigopoint
