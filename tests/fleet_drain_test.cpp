#include <gtest/gtest.h>

#include "fleet.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;

void setDraining(Fleet &System, bool Draining) {
  System.change([Draining](ServiceConfig &Service) {
    Service.Upstreams[1].Draining = Draining;
  });
}

// Sends requests of many flows and returns one that upstream 1 served.
std::optional<FlowKey> flowOfUpstream(Fleet &System, ServiceId Service) {
  std::vector<Fleet::CallKey> Sent;
  for (uint64_t Flow = 0; Flow < 40; ++Flow)
    Sent.push_back(System.send(0, FlowKey(Flow), Service, true));
  System.advance(milliseconds(1000));
  for (const Fleet::CallKey &Key : Sent)
    if (System.Calls.at(Key).RanOn == System.upstream(1).Config.Id)
      return Key.first;
  return std::nullopt;
}

// A fleet with a flow that upstream 1 serves.
class FleetDrain : public testing::Test {
protected:
  void SetUp() override {
    System.advance(milliseconds(2000));
    Service = System.Config.Services.begin()->first;
    const auto Found = flowOfUpstream(System, Service);
    ASSERT_TRUE(Found);
    Flow = *Found;
  }

  Fleet System{7, 1};
  ServiceId Service;
  FlowKey Flow;
};

// Found by the fuzz test (seed 831524687: Drain(1), Undrain(1), Send): the
// check took an upstream that the operators had taken back for one that had
// been leaving since the epoch, while instances still had its drain in force.
TEST_F(FleetDrain, AnUpstreamTakenBackMayServeAtOnce) {
  setDraining(System, true);
  System.advance(milliseconds(1500));
  setDraining(System, false);
  System.send(0, Flow, Service, true);
  System.advance(milliseconds(100));
  EXPECT_EQ(System.Violations, std::vector<std::string>());
}

// The check itself has to see an upstream that gets work long after its drain.
TEST_F(FleetDrain, FlowsLeaveADrainedUpstream) {
  setDraining(System, true);
  System.advance(milliseconds(6000));
  const uint64_t Before = System.upstream(1).Delivered;
  System.send(0, Flow, Service, true);
  System.advance(milliseconds(500));
  EXPECT_EQ(System.upstream(1).Delivered, Before);
  EXPECT_EQ(System.Violations, std::vector<std::string>());
}

} // namespace
} // namespace indigopoint
