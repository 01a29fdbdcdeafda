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
  void deliverForwarded(Endpoint From, Forward &Wrapped, ActionSink &Sink);
  void deliverLocal(ActionSink &Sink);
  void deliverHeld(ActionSink &Sink);
  void noticePause(ActionSink &Sink);
  void updatePlacement(ActionSink &Sink);
  void onInstanceLost(InstanceId Lost, ActionSink &Sink);
  void onReset(ActionSink &Sink);

  Blackboard Board;
  PeerLink Peers;
  MembershipController Members;
  DatagramFilter Gate;
  ConfigController Config;
  FlowController Flows;
  UpstreamController Upstreams;
  HandoverController Handover;
  uint64_t SeenMembers = 0;
  uint64_t SeenConfig = 0;
  MemberState SeenState = MemberState::Joining;
  TimePoint LastEvent{};
};

DecisionEngine::Impl::Impl(EngineSettings Settings, const Clock &TimeSource,
                           uint64_t Seed)
    : Board(std::move(Settings), TimeSource, Seed), Peers(Board),
      Members(Board), Gate(Board, Members), Config(Board, Peers),
      Flows(Board, Peers), Upstreams(Board, Peers),
      Handover(Board, Peers, Flows, Upstreams, Members) {
  Members.setInstanceLostHook([this](InstanceId Lost, ActionSink &Sink) {
    onInstanceLost(Lost, Sink);
  });
  Members.setResetHook([this](ActionSink &Sink) { onReset(Sink); });
}

void DecisionEngine::Impl::handle(DatagramReceived &Input, ActionSink &Sink) {
  if (Gate.admit(Input))
    deliver(Input.From, Input.Origin, Input.Body, Sink);
}

// Any event can be the first one after a pause; datagrams that arrived during
// it are usually read before the timer of the next tick fires.
void DecisionEngine::Impl::noticePause(ActionSink &Sink) {
  const TimePoint Since = LastEvent;
  LastEvent = Board.now();
  if (Members.noticePause(Sink))
    Gate.onPause(Since);
}

void DecisionEngine::Impl::handle(const Tick &, ActionSink &Sink) {
  Members.onTick(Sink);
  updatePlacement(Sink);
  Config.onTick(Sink);
  // A stale instance starts nothing: its place may have been taken.
  if (Board.Self.Stale)
    return;
  Handover.onTick(Sink);
  Upstreams.onTick(Sink);
  Flows.onTick(Sink);
}

void DecisionEngine::Impl::handle(const StoreAnswer &Input, ActionSink &Sink) {
  Config.onStoreAnswer(Input, Sink);
}

void DecisionEngine::Impl::handle(const HealthObserved &Input,
                                  ActionSink &Sink) {
  Upstreams.onHealthObserved(Input, Sink);
}

void DecisionEngine::Impl::handle(const InstanceListObserved &Input,
                                  ActionSink &Sink) {
  Members.onInstanceList(Input, Sink);
}

void DecisionEngine::Impl::handle(const DrainRequested &Input,
                                  ActionSink &Sink) {
  Members.onDrainRequested(Input, Sink);
}

void DecisionEngine::Impl::deliver(Endpoint From, const Sender &Origin,
                                   Message &Body, ActionSink &Sink) {
  std::visit(
      Overloaded{
          [&](Request &M) { Flows.onPacket(From, std::move(M), 0, Sink); },
          [&](Cancel &M) { Flows.onPacket(From, M, 0, Sink); },
          [&](CloseFlow &M) { Flows.onPacket(From, M, 0, Sink); },
          [&](Relay &M) {
            if (Handover.holdRelayedBack(Origin, M))
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
            Members.onProbe(From, Origin, M, Sink);
            Config.onPeerVersion(Origin.Instance, M.Version, Sink);
          },
          [&](ProbeAck &M) {
            Members.onProbeAck(From, Origin, M, Sink);
            Config.onPeerVersion(Origin.Instance, M.Version, Sink);
          },
          [&](IndirectProbe &M) {
            Members.onIndirectProbe(From, Origin, M, Sink);
          },
          [&](Forward &M) { deliverForwarded(From, M, Sink); },
          [&](HandoverBatch &M) { Handover.onHandoverBatch(Origin, M, Sink); },
          [&](HandoverAck &M) { Handover.onHandoverAck(Origin, M, Sink); },
          [&](ConfigPull &M) { Config.onConfigPull(Origin, From, M, Sink); },
          [&](ConfigChunk &M) { Config.onConfigChunk(Origin, M, Sink); },
          // Messages that only callers and upstreams receive.
          [&](auto &) { ++Board.EngineMetrics.UnexpectedMessages; }},
      Body);
}

void DecisionEngine::Impl::deliverForwarded(Endpoint From, Forward &Wrapped,
                                            ActionSink &Sink) {
  if (Wrapped.Target != Board.Self.Id) {
    Peers.passOn(Wrapped, Sink);
    return;
  }
  DatagramReceived Inner{From, Wrapped.Origin, Wrapped.Body->Body};
  const Member *Origin = Board.Members.find(Wrapped.Origin.Instance);
  if (Origin != nullptr)
    Inner.From = Origin->Address;
  if (std::holds_alternative<Forward>(Inner.Body))
    ++Board.EngineMetrics.UnexpectedMessages;
  else if (Gate.admit(Inner))
    deliver(Inner.From, Inner.Origin, Inner.Body, Sink);
}

void DecisionEngine::Impl::deliverLocal(ActionSink &Sink) {
  const Sender Own{Board.Self.Id, Board.Self.OwnIncarnation.Boot};
  Message Body;
  while (Peers.takeLocal(Body))
    deliver(Board.Self.Address, Own, Body, Sink);
}

void DecisionEngine::Impl::deliverHeld(ActionSink &Sink) {
  DatagramReceived Held;
  while (Gate.popHeld(Held)) {
    if (Members.isCurrent(Held.Origin) || Held.Origin == Sender())
      deliver(Held.From, Held.Origin, Held.Body, Sink);
    else
      ++Board.EngineMetrics.OutdatedSenders;
  }
}

// Members and configuration may change in any event; homes and owners follow
// before the event ends, so that no controller sees the two disagree.
void DecisionEngine::Impl::updatePlacement(ActionSink &Sink) {
  if (Board.Members.Generation == SeenMembers &&
      Config.generation() == SeenConfig && Board.Self.State == SeenState)
    return;
  const bool ConfigChanged = Config.generation() != SeenConfig;
  SeenMembers = Board.Members.Generation;
  SeenConfig = Config.generation();
  SeenState = Board.Self.State;
  if (ConfigChanged)
    Board.Index = ConfigIndex(Board.Config);
  Board.RegionZones = zonesOfRegion(Board.Config, Board.Self.Region);
  Board.CurrentPlacement.update(Board.Self, Board.Members, Board.RegionZones);
  Handover.onPlacementChanged(Sink);
  Upstreams.onPlacementChanged(Sink);
  Flows.onPlacementChanged(Sink);
}

void DecisionEngine::Impl::onInstanceLost(InstanceId Lost, ActionSink &Sink) {
  Handover.onInstanceLost(Lost, Sink);
  Flows.onInstanceLost(Lost, Sink);
}

void DecisionEngine::Impl::onReset(ActionSink &Sink) {
  Gate.reset();
  Flows.reset();
  Upstreams.reset();
  Handover.reset(Sink);
}

DecisionEngine::DecisionEngine(EngineSettings Settings, const Clock &TimeSource,
                               uint64_t Seed)
    : PImpl(std::make_unique<Impl>(std::move(Settings), TimeSource, Seed)) {}

DecisionEngine::~DecisionEngine() = default;

void DecisionEngine::handle(Event Input, ActionSink &Sink) {
  PImpl->noticePause(Sink);
  std::visit([&](auto &Given) { PImpl->handle(Given, Sink); }, Input);
  PImpl->updatePlacement(Sink);
  PImpl->deliverHeld(Sink);
  PImpl->deliverLocal(Sink);
}

const Blackboard &DecisionEngine::board() const { return PImpl->Board; }

} // namespace indigopoint
