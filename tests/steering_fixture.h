#pragma once

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "flow_steering.h"
#include "manual_clock.h"

namespace indigopoint {

constexpr Endpoint ChatAddress{0xc6120001, 443};
constexpr Endpoint PhotoAddress{0xc6120001, 8443};
constexpr Endpoint UnknownAddress{0xc6120002, 1};

// One instance in zone "a" with two chat upstreams there, one in zone "b", and
// a photo upstream.
class SteeringFixture : public testing::Test {
protected:
  SteeringFixture() {
    configure(1, {{"chat", ChatAddress, {{"chat", 1}}, false},
                  {"photos", PhotoAddress, {{"photos", 1}}, true}});
    add(11, "chat", "a");
    add(12, "chat", "a");
    add(13, "chat", "b");
    add(21, "photos", "a");
    Upstreams.markComplete();
  }

  void configure(uint64_t Version, std::vector<Route> Given) {
    Routes.apply(
        {ConfigVersion(Version), std::move(Given), std::chrono::seconds(15)});
  }

  UpstreamRegistration registration(uint64_t Id, const std::string &Service,
                                    const std::string &Zone) {
    UpstreamRegistration Out;
    Out.Id = UpstreamId(Id);
    Out.Service = Service;
    Out.Zone = Zone;
    Out.Address = {0x0a000000 + static_cast<uint32_t>(Id), 80};
    Out.Slots = 2;
    return Out;
  }

  void add(uint64_t Id, const std::string &Service, const std::string &Zone) {
    Upstreams.put(registration(Id, Service, Zone), ++Revision,
                  TimeSource.now());
  }

  void drain(uint64_t Id, const std::string &Service, const std::string &Zone) {
    UpstreamRegistration Leaving = registration(Id, Service, Zone);
    Leaving.Draining = true;
    Upstreams.put(Leaving, 1, TimeSource.now());
  }

  static PacketHeader opening(uint16_t Port, Endpoint To = ChatAddress,
                              uint32_t Copy = 0) {
    PacketHeader Packet;
    Packet.Flow = {{0x64400001, Port}, To};
    Packet.Sequence = 1000;
    Packet.AckNumber = Copy;
    Packet.IsOpening = true;
    return Packet;
  }

  static PacketHeader data(uint16_t Port, uint64_t Upstream,
                           uint32_t Acknowledged = 500,
                           Endpoint To = ChatAddress) {
    PacketHeader Packet;
    Packet.Flow = {{0x64400001, Port}, To};
    Packet.Sequence = 1001;
    Packet.AckNumber = Acknowledged;
    Packet.DataBytes = 100;
    if (Upstream != 0)
      Packet.Tag = tagOf(Packet.Flow, UpstreamId(Upstream));
    return Packet;
  }

  static uint64_t idOf(const SteeringDecision &Decision) {
    return Decision.Target == nullptr
               ? 0
               : Decision.Target->Registration.Id.value();
  }

  // Opens a flow and lets its client go on; returns its upstream.
  uint64_t open(uint16_t Port, Endpoint To = ChatAddress) {
    const uint64_t Id = idOf(Steering.steer(opening(Port, To)));
    TimeSource.advance(std::chrono::milliseconds(7));
    EXPECT_EQ(idOf(Steering.steer(data(Port, Id, 500, To))), Id);
    return Id;
  }

  // Opens a flow whose client then repeats in vain, while a check of its
  // upstream fails. Returns the upstream.
  uint64_t openAtDeadUpstream() {
    const uint64_t Dead = open(1);
    open(2);
    TimeSource.advance(std::chrono::milliseconds(300));
    Steering.steer(data(1, Dead, 500));
    Steering.steer(data(1, Dead, 500));
    Steering.recordCheckResult(UpstreamId(Dead), false);
    return Dead;
  }

  ManualClock TimeSource;
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  SteeringMetrics Metrics;
  std::vector<uint64_t> Silent;
  std::vector<uint64_t> Checks;
  FlowSteering Steering{{"a", makeZoneAwareLeastFlowsPolicy("a")},
                        TimeSource,
                        Routes,
                        Upstreams,
                        Metrics,
                        {[this](const FlowAddress &, const Upstream &Given) {
                           Silent.push_back(Given.Registration.Id.value());
                         },
                         [this](const Upstream &Given) {
                           Checks.push_back(Given.Registration.Id.value());
                         }}};
  uint64_t Revision = 0;
};

} // namespace indigopoint
