#pragma once

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "flow_steering.h"
#include "manual_clock.h"

namespace indigopoint {

constexpr Endpoint ChatAddress{0xc6120001, 443};
constexpr Endpoint PhotoAddress{0xc6120001, 8443};
constexpr Endpoint UnknownAddress{0xc6120002, 1};

// One instance in zone "a". Upstreams 11 and 12 in zone "a" and 13 in zone "b"
// serve chat; upstream 21 in zone "a" serves photos.
class SteeringFixture : public testing::Test {
protected:
  SteeringFixture() {
    configure(1, {{"chat", ChatAddress, {{"chat", 1}}, true},
                  {"photos", PhotoAddress, {{"photos", 1}}, true}});
    add(11, "chat", "a");
    add(12, "chat", "a");
    add(13, "chat", "b");
    add(21, "photos", "a");
    Upstreams.markComplete();
  }

  void configure(uint64_t Version, std::vector<Route> NewRoutes) {
    Routes.apply({ConfigVersion(Version), std::move(NewRoutes),
                  std::chrono::seconds(15)});
  }

  UpstreamRegistration registration(uint64_t Id, const std::string &Service,
                                    const std::string &Zone) {
    UpstreamRegistration Registration;
    Registration.Id = UpstreamId(Id);
    Registration.Service = Service;
    Registration.Zone = Zone;
    Registration.Address = {0x0a000000 + static_cast<uint32_t>(Id), 80};
    Registration.Slots = 2;
    return Registration;
  }

  void add(uint64_t Id, const std::string &Service, const std::string &Zone) {
    Upstreams.put(registration(Id, Service, Zone), ++Revision,
                  TimeSource.now());
  }

  void drain(uint64_t Id, const std::string &Service, const std::string &Zone) {
    UpstreamRegistration Registration = registration(Id, Service, Zone);
    Registration.Draining = true;
    Upstreams.put(Registration, 1, TimeSource.now());
  }

  static PacketHeader opening(uint16_t Port, Endpoint Destination = ChatAddress,
                              uint32_t CopyCount = 0) {
    PacketHeader Packet;
    Packet.Flow = {{0x64400001, Port}, Destination};
    Packet.Sequence = 1000;
    Packet.AckNumber = CopyCount;
    Packet.IsOpening = true;
    return Packet;
  }

  // A data packet of the client. A higher AckNumber than in the flow's earlier
  // packets means that the upstream has answered since.
  static PacketHeader data(uint16_t Port, uint64_t Upstream,
                           uint32_t AckNumber = 500,
                           Endpoint Destination = ChatAddress) {
    PacketHeader Packet;
    Packet.Flow = {{0x64400001, Port}, Destination};
    Packet.Sequence = 1001;
    Packet.AckNumber = AckNumber;
    Packet.DataBytes = 100;
    if (Upstream != 0)
      Packet.Tag = tagOf(Packet.Flow, UpstreamId(Upstream));
    return Packet;
  }

  // The first data packet of a client to which the upstream repeated the tag of
  // the opening packet.
  static PacketHeader firstData(uint16_t Port, uint64_t Upstream) {
    PacketHeader Packet = data(Port, 0);
    Packet.Tag =
        openingTagOf(Packet.Flow, UpstreamId(Upstream), Packet.Sequence - 1);
    return Packet;
  }

  static uint64_t idOf(const SteeringDecision &Decision) {
    return Decision.Target == nullptr
               ? 0
               : Decision.Target->Registration.Id.value();
  }

  // Opens a flow and sends a first data packet of its client. Returns the id of
  // the flow's upstream.
  uint64_t open(uint16_t Port, Endpoint Destination = ChatAddress) {
    const uint64_t Id = idOf(Steering.steer(opening(Port, Destination)));
    TimeSource.advance(std::chrono::milliseconds(7));
    EXPECT_EQ(idOf(Steering.steer(data(Port, Id, 500, Destination))), Id);
    return Id;
  }

  // Opens a flow whose client then retransmits without an answer, while a check
  // of the flow's upstream fails. Returns the id of that upstream.
  uint64_t openAtDeadUpstream() {
    const uint64_t DeadId = open(1);
    open(2);
    TimeSource.advance(std::chrono::milliseconds(300));
    Steering.steer(data(1, DeadId, 500));
    Steering.steer(data(1, DeadId, 500));
    Steering.recordCheckResult(UpstreamId(DeadId), CheckResult::Refused);
    return DeadId;
  }

  ManualClock TimeSource;
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  SteeringMetrics Metrics;
  std::vector<uint64_t> TimedOutUpstreams;
  std::vector<uint64_t> CheckedUpstreams;
  std::vector<PacketHeader> ResetFlows;
  std::vector<std::pair<PacketHeader, SteeringDecision>> Resets;
  FlowSteering Steering{
      {"a", makeZoneAwareLeastFlowsPolicy("a"), {}, {}, {}, nullptr},
      TimeSource,
      Routes,
      Upstreams,
      Metrics,
      {[this](const FlowAddress &, const Upstream &Target) {
         TimedOutUpstreams.push_back(Target.Registration.Id.value());
       },
       [this](const Upstream &Target) {
         CheckedUpstreams.push_back(Target.Registration.Id.value());
       },
       [this](const PacketHeader &Packet, const SteeringDecision &Decision) {
         ResetFlows.push_back(Packet);
         Resets.emplace_back(Packet, Decision);
       },
       [this] { return IsOutdated; }, [this] { return IsLinkCongested; }}};
  uint64_t Revision = 0;
  bool IsOutdated = false;
  bool IsLinkCongested = false;
};

} // namespace indigopoint
