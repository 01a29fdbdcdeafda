#include <gtest/gtest.h>

#include "fleet.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;

void setDraining(Fleet &TestFleet, bool Draining) {
  TestFleet.change([Draining](ServiceConfig &Service) {
    Service.Upstreams[1].Draining = Draining;
  });
}

// Sends requests of many flows and returns one that upstream 1 served.
std::optional<FlowKey> flowOfUpstream(Fleet &TestFleet, ServiceId Service) {
  std::vector<Fleet::CallKey> Calls;
  for (uint64_t Flow = 0; Flow < 40; ++Flow)
    Calls.push_back(TestFleet.send(0, FlowKey(Flow), Service, true));
  TestFleet.advance(milliseconds(1000));
  for (const Fleet::CallKey &Key : Calls)
    if (TestFleet.Calls.at(Key).RanOn == TestFleet.upstream(1).Config.Id)
      return Key.first;
  return std::nullopt;
}

// Provides a fleet with a flow that upstream 1 serves.
class FleetDrain : public testing::Test {
protected:
  void SetUp() override {
    TestFleet.advance(milliseconds(2000));
    Service = TestFleet.Config.Services.begin()->first;
    const auto ServedFlow = flowOfUpstream(TestFleet, Service);
    ASSERT_TRUE(ServedFlow);
    Flow = *ServedFlow;
  }

  Fleet TestFleet{7, 1};
  ServiceId Service;
  FlowKey Flow;
};

// Found by the fuzz test (seed 831524687: Drain(1), Undrain(1), Send): the
// check mistook a restored upstream for one that had been draining since the
// epoch, while instances still had its drain in their configuration.
TEST_F(FleetDrain, RestoredUpstreamMayServeAtOnce) {
  setDraining(TestFleet, true);
  TestFleet.advance(milliseconds(1500));
  setDraining(TestFleet, false);
  TestFleet.send(0, Flow, Service, true);
  TestFleet.advance(milliseconds(100));
  EXPECT_EQ(TestFleet.Violations, std::vector<std::string>());
}

// Guards against requests that reach an upstream long after its drain.
TEST_F(FleetDrain, FlowsLeaveADrainedUpstream) {
  setDraining(TestFleet, true);
  TestFleet.advance(milliseconds(6000));
  const uint64_t Before = TestFleet.upstream(1).Delivered;
  TestFleet.send(0, Flow, Service, true);
  TestFleet.advance(milliseconds(500));
  EXPECT_EQ(TestFleet.upstream(1).Delivered, Before);
  EXPECT_EQ(TestFleet.Violations, std::vector<std::string>());
}

} // namespace
} // namespace indigopoint
