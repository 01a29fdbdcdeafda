#include <gtest/gtest.h>

#include "change_set.h"

namespace indigopoint {
namespace {

ServiceConfig makeService(uint32_t Id, const std::string &Name, uint16_t Port) {
  ServiceConfig Service;
  Service.Id = ServiceId(Id);
  Service.Name = Name;
  UpstreamConfig Upstream;
  Upstream.Name = Name + "-1";
  Upstream.Id = upstreamIdOf(Name, Upstream.Name);
  Upstream.Address = {0x7f000001, Port};
  Service.Upstreams.push_back(Upstream);
  return Service;
}

class BreakingChangesTest : public testing::Test {
protected:
  BreakingChangesTest() {
    Old.Services[ServiceId(1)] = makeService(1, "chat-core", 7001);
    Old.Services[ServiceId(2)] = makeService(2, "media-shelf", 7002);
    New = Old;
  }

  Configuration Old;
  Configuration New;
};

// Guards against broken flows: removing an upstream without draining it ends
// its flows.
TEST_F(BreakingChangesTest, RemovalWithoutDrainIsReported) {
  New.Services[ServiceId(1)].Upstreams.clear();
  const std::vector<std::string> Problems = breakingChanges(Old, New);
  ASSERT_EQ(Problems.size(), 1U);
  EXPECT_NE(Problems[0].find("chat-core/chat-core-1"), std::string::npos);
}

TEST_F(BreakingChangesTest, RemovalAfterDrainIsAllowed) {
  Old.Services[ServiceId(1)].Upstreams[0].Draining = true;
  New.Services.erase(ServiceId(1));
  EXPECT_TRUE(breakingChanges(Old, New).empty());
}

// Guards against requests that reach another service: an instance with the old
// configuration would send requests of the old service to the address.
TEST_F(BreakingChangesTest, AddressMoveBetweenServicesIsReported) {
  Old.Services[ServiceId(1)].Upstreams[0].Draining = true;
  New.Services[ServiceId(1)].Upstreams.clear();
  New.Services[ServiceId(2)].Upstreams[0].Address = {0x7f000001, 7001};
  const std::vector<std::string> Problems = breakingChanges(Old, New);
  ASSERT_EQ(Problems.size(), 1U);
  EXPECT_NE(Problems[0].find("127.0.0.1:7001"), std::string::npos);
}

TEST_F(BreakingChangesTest, AdditionsAndDrainsAreAllowed) {
  New.Services[ServiceId(1)].Upstreams[0].Draining = true;
  New.Services[ServiceId(3)] = makeService(3, "gallery", 7003);
  EXPECT_TRUE(breakingChanges(Old, New).empty());
}

} // namespace
} // namespace indigopoint
