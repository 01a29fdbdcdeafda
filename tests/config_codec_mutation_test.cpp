// Changes and snapshots of another writer: valid ones with one field changed.

#include <gtest/gtest.h>

#include "config_codec.h"
#include "json_mutations.h"
#include "store_format.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

ConfigChange validChange() {
  ServiceConfig Service;
  Service.Id = ServiceId(7);
  Service.Name = "chat";
  Service.Tenant = "andina";
  UpstreamConfig Upstream;
  Upstream.Name = "chat-1";
  Upstream.Id = upstreamIdOf(Service.Name, Upstream.Name);
  Upstream.Zone = "lim-a";
  Upstream.Address = {0x0a000001, 80};
  Service.Upstreams = {Upstream};
  ConfigChange Change;
  Change.Version = ConfigVersion(2);
  Change.ChangeId = "c-2";
  Change.Author = "operator";
  Change.Zones = std::vector<ZoneConfig>{{"lim-a", "lim"}};
  Change.ChangedServices = {Service};
  Change.RemovedServices = {ServiceId(9)};
  Change.Parts = 1;
  return Change;
}

bool isSound(const ServiceConfig &Service) {
  const bool HasSoundTimes =
      Service.Warmup >= 0s && Service.DrainGrace >= 0s &&
      Service.IdleTimeout >= 0s && Service.Warmup <= 9000h &&
      Service.DrainGrace <= 9000h && Service.IdleTimeout <= 9000h;
  bool HasSoundUpstreams = true;
  for (const UpstreamConfig &Upstream : Service.Upstreams)
    HasSoundUpstreams &= Upstream.Slots <= 1'000'000 &&
                         Upstream.Connections <= 1'000'000 &&
                         Upstream.Name.size() <= 256;
  return HasSoundTimes && HasSoundUpstreams && Service.Saturation >= 0 &&
         Service.Saturation <= 1e6;
}

// Guards against a number that does not fit its type, or a time that overflows
// when it is added to the clock, in a stored change that the instances read.
TEST(ConfigCodecMutationTest, OddChangeIsRefusedOrSound) {
  size_t Refused = 0;
  size_t Sound = 0;
  forEachMutation(Json::parse(encodeChange(validChange())),
                  [&](const Json &Document, const auto &At) {
                    ConfigChange Change;
                    if (decodeChange(Document.dump(), Change)) {
                      ++Refused;
                      return;
                    }
                    ++Sound;
                    for (const ServiceConfig &Service : Change.ChangedServices)
                      EXPECT_TRUE(isSound(Service)) << At.to_string();
                  });
  EXPECT_GT(Refused, 200U);
  EXPECT_GT(Sound, 20U);
}

TEST(ConfigCodecMutationTest, OddSnapshotHeaderIsRefused) {
  SnapshotHeader Header;
  ASSERT_FALSE(decodeSnapshotHeader(R"({"version":3,"parts":1})", Header));
  for (const std::string Text :
       {"", "[]", "7", R"({"version":-1,"parts":1})",
        R"({"version":1e300,"parts":1})", R"({"version":3,"parts":4294967296})",
        R"({"version":3,"parts":1.5})", R"({"version":3,"parts":true})"})
    EXPECT_TRUE(decodeSnapshotHeader(Text, Header)) << Text;
}

TEST(ConfigCodecMutationTest, DeeplyNestedChangeIsRefused) {
  ConfigChange Change;
  for (const std::string Head : {"[", "{\"x\":"}) {
    std::string Text = R"({"version":2,"zones":)";
    for (int Level = 0; Level < 100'000; ++Level)
      Text += Head;
    EXPECT_TRUE(decodeChange(Text, Change));
  }
}

} // namespace
} // namespace indigopoint
