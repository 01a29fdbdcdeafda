#include "decision_engine.h"

#include "config_controller.h"
#include "datagram_filter.h"
#include "flow_controller.h"
#include "handover_controller.h"
#include "membership_controller.h"
#include "overloaded.h"
#include "peer_link.h"
#include "upstream_controller.h"

namespace indigopoint {

struct DecisionEngine::Impl {
  Impl(EngineSettings Settings, const Clock &TimeSource, uint64_t Seed);

  void handle(DatagramReceived &Input, ActionSink &Sink);
  void handle(const Tick &Input, ActionSink &Sink);
  void handle(const StoreAnswer &Input, ActionSink &Sink);
  void handle(const HealthObserved &Input, ActionSink &Sink);
  void handle(const InstanceListObserved &Input, ActionSink &Sink);
  void handle(const DrainRequested &Input, ActionSink &Sink);

  void deliver(Endpoint From, const Sender &Origin, Message &Body,
               ActionSink &Sink);
  void deliverForwarded(Endpoint From, Forward &ForwardMessage,
                        ActionSink &Sink);
  void deliverLocalMessages(ActionSink &Sink);
  void deliverHeldDatagrams(ActionSink &Sink);
  void detectPause(ActionSink &Sink);
  void updatePlacement(ActionSink &Sink);
  void onInstanceLost(InstanceId LostInstance, ActionSink &Sink);
  void onReset(ActionSink &Sink);

  Blackboard Board;
  PeerLink Peers;
  MembershipController Membership;
  DatagramFilter Filter;
  ConfigController ConfigControl;
  FlowController Flows;
  UpstreamController Upstreams;
  HandoverController Handover;
  uint64_t SeenMembersGeneration = 0;
  uint64_t SeenConfigGeneration = 0;
  MemberState SeenState = MemberState::Joining;
  TimePoint LastEvent{};
};

DecisionEngine::Impl::Impl(EngineSettings Settings, const Clock &TimeSource,
                           uint64_t Seed)
    : Board(std::move(Settings), TimeSource, Seed), Peers(Board),
      Membership(Board), Filter(Board, Membership), ConfigControl(Board, Peers),
      Flows(Board, Peers), Upstreams(Board, Peers),
      Handover(Board, Peers, Flows, Upstreams, Membership) {
  Membership.setInstanceLostHook(
      [this](InstanceId LostInstance, ActionSink &Sink) {
        onInstanceLost(LostInstance, Sink);
      });
  Membership.setResetHook([this](ActionSink &Sink) { onReset(Sink); });
}

void DecisionEngine::Impl::handle(DatagramReceived &Input, ActionSink &Sink) {
  if (Filter.admit(Input))
    deliver(Input.From, Input.Origin, Input.Body, Sink);
}

// Any event can be the first one after a pause: datagrams that arrived during
// the pause are usually read before the timer of the next tick fires.
void DecisionEngine::Impl::detectPause(ActionSink &Sink) {
  const TimePoint PreviousEvent = LastEvent;
  LastEvent = Board.now();
  if (Membership.detectPause(Sink))
    Filter.onPause(PreviousEvent);
}

void DecisionEngine::Impl::handle(const Tick &, ActionSink &Sink) {
  Membership.onTick(Sink);
  updatePlacement(Sink);
  ConfigControl.onTick(Sink);
  // After a pause, other instances may have taken over the buckets and
  // upstreams of this one, so nothing is started until its membership is
  // confirmed.
  if (Board.Self.Stale)
    return;
  Handover.onTick(Sink);
  Upstreams.onTick(Sink);
  Flows.onTick(Sink);
}

void DecisionEngine::Impl::handle(const StoreAnswer &Input, ActionSink &Sink) {
  ConfigControl.onStoreAnswer(Input, Sink);
}

void DecisionEngine::Impl::handle(const HealthObserved &Input,
                                  ActionSink &Sink) {
  Upstreams.onHealthObserved(Input, Sink);
}

void DecisionEngine::Impl::handle(const InstanceListObserved &Input,
                                  ActionSink &Sink) {
  Membership.onInstanceList(Input, Sink);
}

void DecisionEngine::Impl::handle(const DrainRequested &Input,
                                  ActionSink &Sink) {
  Membership.onDrainRequested(Input, Sink);
}

void DecisionEngine::Impl::deliver(Endpoint From, const Sender &Origin,
                                   Message &Body, ActionSink &Sink) {
  std::visit(
      Overloaded{
          [&](Request &M) { Flows.onPacket(From, std::move(M), 0, Sink); },
          [&](Cancel &M) { Flows.onPacket(From, M, 0, Sink); },
          [&](CloseFlow &M) { Flows.onPacket(From, M, 0, Sink); },
          [&](Relay &M) {
            if (Handover.holdReturnedPacket(Origin, M))
              return;
            Flows.onPacket(M.Caller, std::move(M.Packet), M.Hops, Sink);
          },
          [&](Submit &M) { Upstreams.onSubmit(Origin, std::move(M), Sink); },
          [&](SubmitResult &M) {
            Flows.onSubmitResult(Origin, std::move(M), Sink);
          },
          [&](CancelSubmit &M) { Upstreams.onCancelSubmit(Origin, M, Sink); },
          [&](ReleaseFlow &M) { Upstreams.onReleaseFlow(M, Sink); },
          [&](DispatchResult &M) {
            Upstreams.onDispatchResult(From, std::move(M), Sink);
          },
          [&](Pong &M) { Upstreams.onPong(From, M, Sink); },
          [&](LoadReport &M) { Upstreams.onLoadReport(Origin, M); },
          [&](PinReplica &M) { Flows.onPinReplica(M); },
          [&](Probe &M) {
            Membership.onProbe(From, Origin, M, Sink);
            ConfigControl.onPeerVersion(Origin.Instance, M.Version, Sink);
          },
          [&](ProbeAck &M) {
            Membership.onProbeAck(From, Origin, M, Sink);
            ConfigControl.onPeerVersion(Origin.Instance, M.Version, Sink);
          },
          [&](IndirectProbe &M) {
            Membership.onIndirectProbe(From, Origin, M, Sink);
          },
          [&](Forward &M) { deliverForwarded(From, M, Sink); },
          [&](HandoverBatch &M) { Handover.onHandoverBatch(Origin, M, Sink); },
          [&](HandoverAck &M) { Handover.onHandoverAck(Origin, M, Sink); },
          [&](ConfigPull &M) {
            ConfigControl.onConfigPull(Origin, From, M, Sink);
          },
          [&](ConfigChunk &M) { ConfigControl.onConfigChunk(Origin, M, Sink); },
          // Messages that only callers and upstreams receive.
          [&](auto &) { ++Board.EngineMetrics.UnexpectedMessages; }},
      Body);
}

void DecisionEngine::Impl::deliverForwarded(Endpoint From,
                                            Forward &ForwardMessage,
                                            ActionSink &Sink) {
  if (ForwardMessage.Target != Board.Self.Id) {
    Peers.forward(ForwardMessage, Sink);
    return;
  }
  DatagramReceived Inner{From, ForwardMessage.Origin,
                         ForwardMessage.Body->Body};
  const Member *Origin = Board.Members.find(ForwardMessage.Origin.Instance);
  if (Origin != nullptr)
    Inner.From = Origin->Address;
  if (std::holds_alternative<Forward>(Inner.Body))
    ++Board.EngineMetrics.UnexpectedMessages;
  else if (Filter.admit(Inner))
    deliver(Inner.From, Inner.Origin, Inner.Body, Sink);
}

void DecisionEngine::Impl::deliverLocalMessages(ActionSink &Sink) {
  const Sender Self{Board.Self.Id, Board.Self.OwnIncarnation.Boot};
  Message Body;
  while (Peers.popLocalMessage(Body))
    deliver(Board.Self.Address, Self, Body, Sink);
}

void DecisionEngine::Impl::deliverHeldDatagrams(ActionSink &Sink) {
  DatagramReceived Datagram;
  while (Filter.popHeldDatagram(Datagram)) {
    if (Membership.isCurrent(Datagram.Origin) || Datagram.Origin == Sender())
      deliver(Datagram.From, Datagram.Origin, Datagram.Body, Sink);
    else
      ++Board.EngineMetrics.OutdatedSenders;
  }
}

// Any event may change the members or the configuration. The home instances of
// buckets and the owners of upstreams are updated before the event ends, so
// that no controller sees a placement that does not match the members and the
// configuration.
void DecisionEngine::Impl::updatePlacement(ActionSink &Sink) {
  if (Board.Members.Generation == SeenMembersGeneration &&
      ConfigControl.generation() == SeenConfigGeneration &&
      Board.Self.State == SeenState)
    return;
  const bool ConfigChanged = ConfigControl.generation() != SeenConfigGeneration;
  SeenMembersGeneration = Board.Members.Generation;
  SeenConfigGeneration = ConfigControl.generation();
  SeenState = Board.Self.State;
  if (ConfigChanged)
    Board.Index = ConfigIndex(Board.Config);
  Board.RegionZones = zonesOfRegion(Board.Config, Board.Self.Region);
  Board.CurrentPlacement.update(Board.Self, Board.Members, Board.RegionZones);
  Handover.onPlacementChanged(Sink);
  Upstreams.onPlacementChanged(Sink);
  Flows.onPlacementChanged(Sink);
}

void DecisionEngine::Impl::onInstanceLost(InstanceId LostInstance,
                                          ActionSink &Sink) {
  Handover.onInstanceLost(LostInstance, Sink);
  Flows.onInstanceLost(LostInstance, Sink);
}

void DecisionEngine::Impl::onReset(ActionSink &Sink) {
  Filter.reset();
  Flows.reset();
  Upstreams.reset();
  Handover.reset(Sink);
}

DecisionEngine::DecisionEngine(EngineSettings Settings, const Clock &TimeSource,
                               uint64_t Seed)
    : PImpl(std::make_unique<Impl>(std::move(Settings), TimeSource, Seed)) {}

DecisionEngine::~DecisionEngine() = default;

void DecisionEngine::handle(Event Input, ActionSink &Sink) {
  PImpl->detectPause(Sink);
  std::visit([&](auto &TypedEvent) { PImpl->handle(TypedEvent, Sink); }, Input);
  PImpl->updatePlacement(Sink);
  PImpl->deliverHeldDatagrams(Sink);
  PImpl->deliverLocalMessages(Sink);
}

const Blackboard &DecisionEngine::board() const { return PImpl->Board; }

} // namespace indigopoint
