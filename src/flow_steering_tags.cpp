// How FlowSteering finds the upstream of a flow that this instance has not seen
// opened.
//
// A client repeats the tag of the last packet that it received on a flow. If
// its opening packet reached several upstreams, this can be a late answer to
// the opening from an upstream that does not serve the flow; it would reset the
// flow. Opening packets therefore have a tag of their own. The upstream of an
// open flow receives only packets with the flow's final tag, and the others
// never do, so the final tag is proof. The tag of an opening packet is used
// only for the first data that the client sends.

#include "flow_steering.h"

namespace indigopoint {

namespace {

// From an opening packet to the client's first packets. Clients repeat those
// after 200 ms.
constexpr Duration MaxReorderTime = std::chrono::milliseconds(150);

} // namespace

bool FlowSteering::isTagUnique(const Upstream &Target,
                               const PacketHeader &Opening) {
  const UpstreamId Id = Target.Registration.Id;
  const FlowTag OpeningTag = openingTagOf(Opening.Flow, Id, Opening.Sequence);
  return Upstreams.findByTag(Opening.Flow, tagOf(Opening.Flow, Id)) ==
             &Target &&
         Upstreams.findByOpeningTag(Opening.Flow, OpeningTag,
                                    Opening.Sequence) == &Target &&
         Upstreams.findByTag(Opening.Flow, OpeningTag) == nullptr;
}

FlowSteering::Identification
FlowSteering::identify(const PacketHeader &Packet) {
  // The tag may identify an upstream of any service. After a restart, the
  // services of earlier route versions are unknown; a matching tag was written
  // when the flow was opened, so the route allowed its service then.
  if (Upstream *Target = Upstreams.findByTag(Packet.Flow, Packet.Tag))
    return {Target, SteeringReason::TaggedFlow};
  const auto Placement = Placements.find(Packet.Flow);
  if (Placement && isReachable(Placement->Sequence, Packet.Sequence))
    if (Upstream *Target = Upstreams.find(Placement->Upstream))
      return {Target, SteeringReason::ReportedFlow};
  // The first data has the sequence number after that of the opening packet. A
  // client that sent more has received an acknowledgement since, so the flow's
  // upstream has received the final tag.
  if (Upstream *Target = Upstreams.findByOpeningTag(Packet.Flow, Packet.Tag,
                                                    Packet.Sequence - 1))
    return {Target, SteeringReason::OpenedElsewhere};
  return {};
}

// If the opening has just been forwarded, the client's first data was probably
// overtaken by this packet and needs no help of other instances.
SteeringDecision FlowSteering::dropUnidentified(const PacketHeader &Packet,
                                                const SteeredFlow *Flow) {
  SteeringDecision Decision{SteeringAction::Drop, SteeringReason::UnknownTag};
  Decision.MayHold = Packet.Tag != FlowTag();
  const bool MayBeReordered =
      Flow != nullptr && TimeSource.now() - Flow->OpenedAt < MaxReorderTime;
  if (Decision.MayHold && !MayBeReordered)
    FlowHooks.OnUnidentifiedFlow(Packet.Flow);
  return Decision;
}

SteeringDecision FlowSteering::adoptFlow(const PacketHeader &Packet) {
  const Identification Found = identify(Packet);
  if (Found.Target == nullptr)
    return dropUnidentified(Packet, nullptr);
  if (SteeredFlow *Flow = Flows.add(Packet.Flow)) {
    assign(*Flow, Found.Target->Registration.Id);
    Flow->CurrentPhase = SteeredFlow::Phase::Open;
    Flow->IsAdopted = true;
    Flow->MayAwaitAnswer = Packet.DataBytes > 0;
    Flow->InitialSequence = Packet.Sequence - 1;
    Flow->HighestAck = Packet.AckNumber;
    Flow->NextSequence = Packet.Sequence + Packet.DataBytes;
    Flow->OpenedAt = Flow->LastSeen = TimeSource.now();
    if (Packet.IsFinal || Packet.IsReset)
      setPhase(*Flow, SteeredFlow::Phase::Closing);
  }
  return forwardOrReset(Packet, Found.Reason, false, *Found.Target);
}

void FlowSteering::recordPlacement(const FlowPlacement &Placement) {
  Placements.record(Placement, TimeSource.now());
}

std::optional<FlowPlacement>
FlowSteering::placementOf(const FlowAddress &Address) {
  const SteeredFlow *Flow = Flows.find(Address);
  if (Flow != nullptr && Flow->CurrentPhase == SteeredFlow::Phase::Open)
    return FlowPlacement{Address, Flow->Upstream, Flow->InitialSequence};
  return Placements.find(Address);
}

// The client repeats the tag of the last packet that it received, which may be
// the late answer of another upstream to the opening. An instance that does not
// know the flow has only this tag.
void FlowSteering::checkTag(const PacketHeader &Packet, SteeredFlow &Flow,
                            const Upstream &Target) {
  if (Flow.HasTagConflict ||
      tagGroupOf(Packet.Tag) == tagGroupOf(Flow.Upstream))
    return;
  const Upstream *Named = Upstreams.findByTag(Packet.Flow, Packet.Tag);
  if (Named == nullptr)
    Named = Upstreams.findByOpeningTag(Packet.Flow, Packet.Tag,
                                       Flow.InitialSequence);
  if (Named == nullptr || Named == &Target)
    return;
  Flow.HasTagConflict = true;
  ++Metrics.TagConflicts;
  FlowHooks.OnTagConflict(Packet.Flow, Target, *Named);
}

} // namespace indigopoint
