#include "flow_steering.h"

#include <algorithm>

namespace indigopoint {

namespace {

// Answers of other upstreams within this time show that the own connection to
// the network works.
constexpr Duration RecentAnswer = std::chrono::milliseconds(500);

// Sequence numbers wrap around.
bool isAfter(uint32_t A, uint32_t B) { return static_cast<int32_t>(A - B) > 0; }

} // namespace

SteeringDecision FlowSteering::steer(const PacketHeader &Packet) {
  Flows.expireOpenings(TimeSource.now(),
                       [this](const FlowAddress &Address, SteeredFlow &Flow) {
                         onOpenTimeout(Address, Flow);
                       });
  const SteeringDecision Decision = decide(Packet);
  Metrics.countDecision(Decision);
  return Decision;
}

void FlowSteering::onOpenTimeout(const FlowAddress &Address,
                                 SteeredFlow &Flow) {
  endPending(Flow);
  Upstream *Silent = Upstreams.find(Flow.Upstream);
  if (Silent == nullptr)
    return;
  Silent->Reachability.recordOpenTimeout(TimeSource.now());
  ++Metrics.service(Silent->Registration.Service).OpenTimeouts;
  Report.OnOpenTimeout(Address, *Silent);
  considerCheck(*Silent);
}

void FlowSteering::considerCheck(Upstream &Given) {
  if (Given.Reachability.startCheckIfDue(TimeSource.now()))
    Report.OnCheckNeeded(Given);
}

// If nothing else answers either, the fault is more likely here than there.
void FlowSteering::recordCheckResult(UpstreamId Id, bool IsAccepting) {
  const TimePoint Now = TimeSource.now();
  Upstream *Checked = Upstreams.find(Id);
  if (Checked != nullptr && (IsAccepting || Now - AnyAnswer <= RecentAnswer))
    Checked->Reachability.recordCheckResult(IsAccepting, Now);
}

SteeringDecision FlowSteering::decide(const PacketHeader &Packet) {
  // Without a configuration nothing is known of any flow, so open flows must
  // not be reset.
  if (!Routes.isLoaded())
    return {SteeringAction::Drop, SteeringReason::NoConfiguration, nullptr};
  SteeredFlow *Flow = Flows.find(Packet.Flow);
  return Packet.IsOpening ? steerOpening(Packet, Flow)
                          : steerLater(Packet, Flow);
}

SteeringDecision FlowSteering::steerOpening(const PacketHeader &Packet,
                                            SteeredFlow *Flow) {
  const bool IsCopy = Packet.AckNumber != 0;
  const Route *Via = Routes.find(Packet.Flow.ServiceAddress);
  if (Via == nullptr)
    return {SteeringAction::Reset, SteeringReason::NoRoute, nullptr};
  if (Flow != nullptr && Flow->InitialSequence != Packet.Sequence) {
    release(*Flow);
    Flows.erase(Packet.Flow);
    Flow = nullptr;
  }
  if (Flow == nullptr)
    return openFlow(Packet, *Via, nullptr, refusedBy(Packet.Flow));
  Upstream *Current = Upstreams.find(Flow->Upstream);
  Flow->LastSeen = TimeSource.now();
  if (Flow->CurrentPhase != SteeredFlow::Phase::Opening || !IsCopy)
    return Current != nullptr
               ? forward(SteeringReason::RepeatedOpening, *Current)
               : openFlow(Packet, *Via, Flow, {});
  // If the upstream answered others since, this flow lost a packet. Another
  // upstream could answer as well, and the client would then repeat the tag
  // of whichever answer came last.
  if (Current != nullptr && takesFlow(*Current, Packet.Flow) &&
      Current->Reachability.lastAnswer() > Flow->OpenedAt)
    return forward(SteeringReason::RepeatedOpening, *Current);
  return openFlow(Packet, *Via, Flow, Flow->Upstream);
}

SteeringDecision FlowSteering::openFlow(const PacketHeader &Packet,
                                        const Route &Via, SteeredFlow *Flow,
                                        UpstreamId Avoided) {
  const TimePoint Now = TimeSource.now();
  const RouteShare *Share = RouteTable::chooseShare(Via, Packet.Flow);
  Upstream *To = Share == nullptr
                     ? nullptr
                     : choose(Share->Service, {Packet.Flow, Avoided});
  if (To == nullptr) {
    // A copy may follow one that another instance sent on, so its flow could
    // be open; only a first opening packet is refused. Before all upstreams
    // were read, its copy may find one.
    const bool MayRefuse =
        Flow == nullptr && Packet.AckNumber == 0 && Upstreams.isComplete();
    return {MayRefuse ? SteeringAction::Reset : SteeringAction::Drop,
            SteeringReason::NoUpstream, nullptr};
  }
  const bool Moved = Flow != nullptr && Avoided != UpstreamId();
  if (Flow == nullptr)
    Flow = Flows.add(Packet.Flow);
  if (Flow != nullptr) {
    assign(*Flow, To->Registration.Id);
    Flow->InitialSequence = Packet.Sequence;
    Flow->NextSequence = Packet.Sequence + 1;
    Flow->OpenedAt = Flow->LastSeen = Now;
    Flows.expectOpening(Packet.Flow, Now + OpenTimeout);
    endPending(*Flow);
    Flow->Pending = true;
    To->Reachability.recordOpening(Now);
    LastOpened[Packet.Flow.Client.Address] = Packet.Flow;
  }
  ServiceFlowMetrics &Service = Metrics.service(To->Registration.Service);
  ++(To->Registration.Zone == Opts.Zone ? Service.OpenedInZone
                                        : Service.OpenedInOtherZones);
  return forward(Moved ? SteeringReason::MovedOpening : SteeringReason::NewFlow,
                 *To);
}

// An upstream resets an opening that it does not take, which is not seen here.
// Its client opens another flow at once, about as long after the first one as
// it would otherwise have gone on.
UpstreamId FlowSteering::refusedBy(const FlowAddress &Flow) {
  const auto Last = LastOpened.find(Flow.Client.Address);
  const SteeredFlow *Before =
      Last == LastOpened.end() ? nullptr : Flows.find(Last->second);
  if (Before == nullptr || !Before->Pending ||
      Last->second.ServiceAddress != Flow.ServiceAddress)
    return {};
  Upstream *Given = Upstreams.find(Before->Upstream);
  if (Given != nullptr &&
      TimeSource.now() - Before->OpenedAt >= TypicalOpening * 9 / 10)
    Given->Reachability.recordRefusal(TimeSource.now());
  return Before->Upstream;
}

// A flow whose tag would lead to another upstream goes elsewhere.
bool FlowSteering::takesFlow(const Upstream &Given, const FlowAddress &Flow) {
  const FlowTag Tag = tagOf(Flow, Given.Registration.Id);
  return Given.State == UpstreamState::Ready &&
         Upstreams.findByTag(Flow, Tag) == &Given;
}

Upstream *FlowSteering::choose(const std::string &Service,
                               const NewFlow &Opening) {
  std::vector<Upstream *> Usable;
  for (Upstream *Each : Upstreams.upstreamsOfService(Service))
    if (takesFlow(*Each, Opening.Address))
      Usable.push_back(Each);
  return Opts.Policy(Usable, Opening, TimeSource.now());
}

SteeringDecision FlowSteering::steerLater(const PacketHeader &Packet,
                                          SteeredFlow *Flow) {
  if (Routes.find(Packet.Flow.ServiceAddress) == nullptr) {
    // An instance that does not know the flow cannot tell a route that was
    // removed from one that it has not heard of yet.
    if (Flow == nullptr)
      return {SteeringAction::Drop, SteeringReason::NoRoute, nullptr};
    release(*Flow);
    Flows.erase(Packet.Flow);
    return {SteeringAction::Reset, SteeringReason::RouteRemoved, nullptr};
  }
  if (Flow == nullptr)
    return followTag(Packet);
  if (Flow->CurrentPhase == SteeredFlow::Phase::Opening) {
    // The first packet after the opening carries the tag of the upstream whose
    // answer the client took. It differs if a copy went another way.
    Upstream *Answered = Upstreams.findByTag(Packet.Flow, Packet.Tag);
    if (Answered != nullptr)
      assign(*Flow, Answered->Registration.Id);
  }
  Upstream *To = Upstreams.find(Flow->Upstream);
  if (To == nullptr)
    return {SteeringAction::Drop, SteeringReason::UnknownTag, nullptr};
  const bool Repeated = noteProgress(Packet, *Flow, *To);
  return continueFlow(Packet, SteeringReason::KnownFlow, Repeated, *To);
}

// Open flows are only reset if their upstream has certainly ended: a wrong
// reset breaks a flow, while a missing one costs a wait.
std::optional<SteeringReason> FlowSteering::reasonToReset(const Upstream &Given,
                                                          bool Repeated) const {
  if (Upstreams.isAddressReused(Given))
    return SteeringReason::AddressReused;
  if (Given.Reachability.isDead(TimeSource.now()))
    return SteeringReason::UpstreamDead;
  if (Repeated && Upstreams.isGone(Given))
    return SteeringReason::UpstreamGone;
  return std::nullopt;
}

SteeringDecision FlowSteering::continueFlow(const PacketHeader &Packet,
                                            SteeringReason Reason,
                                            bool Repeated, Upstream &To) {
  const auto Ended = reasonToReset(To, Repeated);
  if (!Ended)
    return {SteeringAction::Forward, Reason, &To};
  if (Packet.IsFinal || Packet.IsReset || Packet.DataBytes == 0)
    return {SteeringAction::Drop, *Ended, &To};
  if (SteeredFlow *Flow = Flows.find(Packet.Flow))
    setPhase(*Flow, SteeredFlow::Phase::Closing);
  return {SteeringAction::Reset, *Ended, &To};
}

SteeringDecision FlowSteering::followTag(const PacketHeader &Packet) {
  // Which services earlier versions allowed is not known after a start. A tag
  // that matches was written when this flow was opened, so its service was one
  // of them.
  Upstream *To = Upstreams.findByTag(Packet.Flow, Packet.Tag);
  if (To == nullptr)
    return {SteeringAction::Drop, SteeringReason::UnknownTag, nullptr};
  if (SteeredFlow *Flow = Flows.add(Packet.Flow)) {
    assign(*Flow, To->Registration.Id);
    Flow->CurrentPhase = SteeredFlow::Phase::Open;
    Flow->HighestAck = Packet.AckNumber;
    Flow->NextSequence = Packet.Sequence + Packet.DataBytes;
    Flow->OpenedAt = Flow->LastSeen = TimeSource.now();
    if (Packet.IsFinal || Packet.IsReset)
      setPhase(*Flow, SteeredFlow::Phase::Closing);
  }
  return continueFlow(Packet, SteeringReason::TaggedFlow, false, *To);
}

bool FlowSteering::noteProgress(const PacketHeader &Packet, SteeredFlow &Flow,
                                Upstream &To) {
  const TimePoint Now = TimeSource.now();
  Flow.LastSeen = Now;
  const bool Opened = Flow.CurrentPhase == SteeredFlow::Phase::Opening;
  if (Opened) {
    endPending(Flow);
    setPhase(Flow, SteeredFlow::Phase::Open);
    ServiceFlowMetrics &Service = Metrics.service(To.Registration.Service);
    const Duration Latency = Now - Flow.OpenedAt;
    TypicalOpening += (Latency - TypicalOpening) / 8;
    Service.OpenLatency(static_cast<double>(Latency.count()));
    Service.OpenLatencySum += Latency;
  }
  const bool Answered = Opened || isAfter(Packet.AckNumber, Flow.HighestAck);
  const uint32_t End = Packet.Sequence + Packet.DataBytes;
  const bool Repeated =
      !Answered && Packet.DataBytes > 0 && !isAfter(End, Flow.NextSequence);
  if (Answered) {
    Flow.HighestAck = Packet.AckNumber;
    AnyAnswer = Now;
    To.Reachability.recordAnswer(Now);
  }
  if (Repeated) {
    To.Reachability.recordRetransmission(Now);
    considerCheck(To);
  }
  if (isAfter(End, Flow.NextSequence))
    Flow.NextSequence = End;
  if (Packet.IsFinal || Packet.IsReset)
    setPhase(Flow, SteeredFlow::Phase::Closing);
  return Repeated;
}

SteeringDecision FlowSteering::forward(SteeringReason Reason,
                                       Upstream &To) const {
  if (Upstreams.isAddressReused(To))
    return {SteeringAction::Drop, SteeringReason::AddressReused, &To};
  return {SteeringAction::Forward, Reason, &To};
}

// Only flows that are not closing count as load of their upstream.
void FlowSteering::setPhase(SteeredFlow &Flow, SteeredFlow::Phase Next) {
  if (Flow.CurrentPhase == Next)
    return;
  if (Next == SteeredFlow::Phase::Closing)
    release(Flow);
  Flow.CurrentPhase = Next;
}

void FlowSteering::endPending(SteeredFlow &Flow) {
  if (!Flow.Pending)
    return;
  Flow.Pending = false;
  if (Upstream *Given = Upstreams.find(Flow.Upstream))
    Given->Reachability.recordOpeningEnd();
}

void FlowSteering::release(SteeredFlow &Flow) {
  endPending(Flow);
  if (Flow.CurrentPhase == SteeredFlow::Phase::Closing)
    return;
  if (Upstream *Old = Upstreams.find(Flow.Upstream); Old && Old->OpenFlows > 0)
    --Old->OpenFlows;
}

void FlowSteering::assign(SteeredFlow &Flow, UpstreamId To) {
  if (Flow.Upstream == To)
    return;
  release(Flow);
  Flow.Upstream = To;
  if (Upstream *New = Upstreams.find(To))
    ++New->OpenFlows;
}

void FlowSteering::sweep() {
  const TimePoint Now = TimeSource.now();
  Flows.sweep(
      Now, Routes.idleTimeout(),
      [this](const FlowAddress &, SteeredFlow &Flow) { release(Flow); });
  // Longer than any flow lives.
  constexpr Duration FlowLifetime = std::chrono::minutes(2);
  Upstreams.expire(Now, FlowLifetime);
  std::erase_if(LastOpened, [this](const auto &Each) {
    return Flows.find(Each.second) == nullptr;
  });
}

} // namespace indigopoint
