#include <benchmark/benchmark.h>

#include "flow_steering.h"

namespace indigopoint {
namespace {

constexpr Endpoint ServiceAddress{0xc6120001, 443};

class SteppedClock : public Clock {
public:
  TimePoint now() const override { return Now; }
  TimePoint Now{std::chrono::seconds(1000)};
};

/// One instance of a zone, with the upstreams of four zones and open flows.
struct SteeringInstance {
  explicit SteeringInstance(int UpstreamCount) {
    Route Served{"chat", ServiceAddress, {{"chat", 1}}, true};
    Served.Aim = std::chrono::milliseconds(300);
    Routes.apply({ConfigVersion(1), {Served}, std::chrono::seconds(60)});
    for (int Index = 0; Index < UpstreamCount; ++Index) {
      UpstreamRegistration Registration;
      Registration.Id = UpstreamId(0x9e3779b97f4a7c15U * (Index + 1));
      Registration.Service = "chat";
      Registration.Zone = std::string(1, static_cast<char>('a' + Index % 4));
      Registration.Address = {0x0a000000 + static_cast<uint32_t>(Index), 80};
      Registration.Slots = 2;
      Upstreams.put(Registration, Index + 1, TimeSource.now());
    }
    Upstreams.markComplete();
  }

  PacketHeader opening(uint32_t Client) {
    PacketHeader Packet;
    Packet.Flow = {{Client, 40000}, ServiceAddress};
    Packet.Sequence = 1000;
    Packet.IsOpening = true;
    return Packet;
  }

  /// The next request of a client, which acknowledges the answer before.
  PacketHeader request(uint32_t Client, uint32_t Number, FlowTag Tag) {
    PacketHeader Packet = opening(Client);
    Packet.IsOpening = false;
    Packet.Sequence = 1001 + Number * 100;
    Packet.AckNumber = 500 + Number * 100;
    Packet.DataBytes = 100;
    Packet.Tag = Tag;
    return Packet;
  }

  SteppedClock TimeSource;
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  SteeringMetrics Metrics;
  FlowSteering Steering{{"a", makeZoneAwareLeastFlowsPolicy("a")},
                        TimeSource,
                        Routes,
                        Upstreams,
                        Metrics,
                        {}};
};

/// Nanoseconds for the opening packet of a new flow.
void steerOpening(benchmark::State &State) {
  SteeringInstance Instance(static_cast<int>(State.range(0)));
  uint32_t Client = 0x64400000;
  for (auto Step : State) {
    benchmark::DoNotOptimize(
        Instance.Steering.steer(Instance.opening(++Client)));
    if (Client % 1000 == 0) {
      State.PauseTiming();
      Instance.TimeSource.Now += std::chrono::minutes(2);
      Instance.Steering.sweep();
      State.ResumeTiming();
    }
  }
}

/// Nanoseconds for a request packet of one of 1,000 open flows.
void steerRequest(benchmark::State &State) {
  SteeringInstance Instance(static_cast<int>(State.range(0)));
  constexpr uint32_t Clients = 1000;
  std::vector<FlowTag> Tags;
  for (uint32_t Client = 0; Client < Clients; ++Client) {
    const PacketHeader Packet = Instance.opening(Client);
    const SteeringDecision Decision = Instance.Steering.steer(Packet);
    Tags.push_back(tagOf(Packet.Flow, Decision.Target->Registration.Id));
  }
  uint32_t Count = 0;
  for (auto Step : State) {
    const uint32_t Client = Count % Clients;
    benchmark::DoNotOptimize(Instance.Steering.steer(
        Instance.request(Client, Count / Clients, Tags[Client])));
    Instance.TimeSource.Now += std::chrono::microseconds(100);
    ++Count;
  }
}

BENCHMARK(steerOpening)->Arg(14)->Arg(120)->Arg(600);
BENCHMARK(steerRequest)->Arg(14)->Arg(120)->Arg(600);

} // namespace
} // namespace indigopoint
