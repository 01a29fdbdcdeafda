#include <benchmark/benchmark.h>

#include "blackboard.h"
#include "flow_controller.h"
#include "peer_link.h"

namespace indigopoint {
namespace {

constexpr ServiceId Chat(1);
constexpr Endpoint Caller{0x7f000001, 9000};

class SteppedClock : public Clock {
public:
  TimePoint now() const override { return Now; }
  TimePoint Now{std::chrono::seconds(1000)};
};

Configuration configuration() {
  Configuration Config;
  Config.Version = ConfigVersion(1);
  Config.Zones = {{"lim-a", "lim"}, {"lim-b", "lim"}};
  ServiceConfig &Service = Config.Services[Chat];
  Service.Id = Chat;
  Service.Name = "chat-core";
  Service.Tenant = "andina";
  for (int Index = 0; Index < 14; ++Index) {
    UpstreamConfig Upstream;
    Upstream.Name = "chat-" + std::to_string(Index);
    Upstream.Id = upstreamIdOf(Service.Name, Upstream.Name);
    Upstream.Zone = Index % 2 == 0 ? "lim-a" : "lim-b";
    Service.Upstreams.push_back(Upstream);
  }
  return Config;
}

/// The home instance of all flows: it decides the requests of every hash
/// bucket. Another instance, the owner instance, sends to the upstreams.
struct HomeInstance {
  HomeInstance()
      : Board({"lim-a-1",
               "lim-a",
               "lim",
               {0x7f000001, 7000},
               1,
               BootId(1),
               {},
               "indigopoint/"},
              TimeSource, 1),
        Peers(Board), Controller(Board, Peers) {
    Board.Self.State = MemberState::Active;
    Member &Owner = Board.Members.ById[OwnerSender.Instance];
    Owner.Id = OwnerSender.Instance;
    Owner.Zone = "lim-b";
    Owner.Address = {0x7f000001, 7001};
    Owner.State = MemberState::Active;
    Owner.MemberIncarnation.Boot = OwnerSender.Boot;
    Board.Config = configuration();
    Board.Index = ConfigIndex(Board.Config);
    Board.RegionZones = zonesOfRegion(Board.Config, "lim");
    Board.CurrentPlacement.update(Board.Self, Board.Members, Board.RegionZones);
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      Board.CurrentOwnership.setBucket(Bucket, {Board.Self.Id, TimePoint()});
    for (const UpstreamConfig &Upstream : Board.Config.Services[Chat].Upstreams)
      Board.CurrentOwnership.setOwner(Upstream.Id, Owner.Id);
    Controller.onPlacementChanged(Sink);
  }

  /// Handles one packet of a flow and returns the id of the resulting Submit.
  SubmitId submitRequest(FlowKey Flow, uint64_t Id) {
    Controller.onPacket(Caller,
                        Request{Flow, Chat, RequestId(Id), 0, false,
                                std::chrono::seconds(10), "ask"},
                        0, Sink);
    const auto &Datagram = std::get<SendDatagram>(Sink.Actions.back());
    return std::get<Submit>(Datagram.Body).Id;
  }

  void answerSubmit(SubmitId Id) {
    SubmitResult Result;
    Result.Id = Id;
    Result.Status = SubmitStatus::Answered;
    Result.Payload = "ok";
    Controller.onSubmitResult(OwnerSender, std::move(Result), Sink);
  }

  const Sender OwnerSender{instanceIdOf("lim-b-1"), BootId(2)};
  SteppedClock TimeSource;
  ActionSink Sink;
  Blackboard Board;
  PeerLink Peers;
  FlowController Controller;
};

// Flow keys spread over all buckets, like those of callers.
FlowKey flowKey(uint64_t Index) { return FlowKey(rendezvousScore(Index, 5)); }

void openFlows(HomeInstance &Instance, uint64_t Count) {
  for (uint64_t Index = 0; Index < Count; ++Index) {
    Instance.answerSubmit(Instance.submitRequest(flowKey(Index), 1));
    Instance.Sink.Actions.clear();
  }
  // Lets the deduplication records of the first requests expire, so that only
  // those of the steady load remain.
  Instance.TimeSource.Now += std::chrono::seconds(40);
  Instance.Controller.onTick(Instance.Sink);
  Instance.Sink.Actions.clear();
}

// One request of a randomly chosen open flow, from the packet to the reply, at
// 10,000 requests per second.
void packetDecision(benchmark::State &State) {
  HomeInstance Instance;
  const auto Flows = static_cast<uint64_t>(State.range(0));
  openFlows(Instance, Flows);
  RandomSource Random(3);
  uint64_t Id = 2;
  for (auto Step : State) {
    Instance.answerSubmit(
        Instance.submitRequest(flowKey(Random.below(Flows)), Id++));
    Instance.Sink.Actions.clear();
    Instance.TimeSource.Now += std::chrono::microseconds(100);
    if (Id % 100 == 0)
      Instance.Controller.onTick(Instance.Sink);
  }
  State.counters["bytes_per_flow"] =
      static_cast<double>(Instance.Controller.flowMemoryBytes()) /
      static_cast<double>(Instance.Board.OpenFlows);
}
BENCHMARK(packetDecision)->Arg(10000)->Arg(100000)->Arg(500000);

// One tick of the re-check of open flows that follows a configuration change.
void recheckTick(benchmark::State &State) {
  HomeInstance Instance;
  openFlows(Instance, static_cast<uint64_t>(State.range(0)));
  uint64_t Version = 2;
  for (auto Step : State) {
    if (Version % 100 == 0) {
      State.PauseTiming();
      Instance.Board.Config.Version = ConfigVersion(Version);
      Instance.Controller.onPlacementChanged(Instance.Sink);
      State.ResumeTiming();
    }
    ++Version;
    Instance.TimeSource.Now += TickInterval;
    Instance.Controller.onTick(Instance.Sink);
    Instance.Sink.Actions.clear();
  }
}
BENCHMARK(recheckTick)->Arg(500000);

} // namespace
} // namespace indigopoint
