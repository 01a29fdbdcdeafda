// Which key registers an upstream if several keys end in its id.

#include <sstream>

#include <gtest/gtest.h>

#include "manual_clock.h"
#include "store_update_applier.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;
using Content = StoreSync::Update::Content;

// "config" holds a version and the services that are named. All other keys end
// in a hyphen and the id of an upstream, and hold a service and the last byte
// of an address.
DecodedItem decode(const StoreItem &Item) {
  std::istringstream Value(Item.Value);
  if (Item.Key == "config") {
    RouteConfiguration Out;
    uint64_t Version = 0;
    Value >> Version;
    Out.Version = ConfigVersion(Version);
    for (std::string Name; Value >> Name;)
      Out.Services[Name] = {};
    return Out;
  }
  UpstreamRegistration Out;
  Out.Id = UpstreamId(
      std::stoul(Item.Key.substr(Item.Key.rfind('-') + 1), nullptr, 16));
  if (Item.Deleted)
    return UpstreamRemoval{Out.Id};
  if (Item.Value == "bad")
    return UnreadableItem{"broken", Out.Id};
  Value >> Out.Service >> Out.Address.Address;
  return Out;
}

const StoreItem Config = {"config", "7 chat", 1, 1, false};
const StoreItem WiderConfig = {"config", "8 chat archive", 40, 1, false};
const StoreItem OtherConfig = {"config", "8 maps", 40, 1, false};
const StoreItem Own = {"i-b", "chat 1", 5, 5, false};
const StoreItem OwnDeleted = {"i-b", "", 20, 0, true};
const StoreItem OwnUnreadable = {"i-b", "bad", 20, 5, false};
const StoreItem OwnOfUnnamedService = {"i-b", "archive 1", 20, 5, false};
const StoreItem OwnCreatedAgain = {"i-b", "chat 1", 30, 30, false};
// An entry of another writer, whose key sorts before or after that of the
// upstream.
const StoreItem Foreign = {"a-b", "archive 9", 8, 8, false};
const StoreItem ForeignAfter = {"x-b", "archive 9", 8, 8, false};
const StoreItem ForeignDeleted = {"a-b", "", 20, 0, true};
const StoreItem ForeignUnreadable = {"a-b", "bad", 20, 8, false};
// The same with a service that the configuration names.
const StoreItem Copy = {"a-b", "chat 9", 8, 8, false};

// Another upstream with the address of the first one.
const StoreItem Other = {"i-c", "chat 1", 25, 25, false};

// The address of an upstream that is not known.
constexpr uint32_t None = 0;

struct Step {
  Content Kind = Content::Changes;
  std::vector<StoreItem> Items;
  /// Time that passes after the step.
  Duration Time{};
};

struct KeyCase {
  std::string Name;
  std::vector<Step> Steps;
  uint32_t Address = None;
  UpstreamState State = UpstreamState::Ready;
  /// Whether open flows of the upstream are given up for another one that has
  /// its address.
  bool IsAddressReused = false;
};

class RegistrationKeyTest : public testing::TestWithParam<KeyCase> {
protected:
  void play(const Step &Next) {
    StoreSync::Update Update;
    Update.ContentKind = Next.Kind;
    Update.Items = Next.Items;
    Applier.apply(Update);
    TimeSource.advance(Next.Time);
    Upstreams.recordStoreSync(TimeSource.now());
    Upstreams.expire(TimeSource.now(), 120s);
    Applier.applyDue();
  }

  ManualClock TimeSource;
  EventLog Log{{}, TimeSource};
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  StoreUpdateApplier Applier{decode, TimeSource, Log, Routes, Upstreams, 5s};
};

// Guards against packets of open flows, or new flows, that go to the address in
// an entry of another writer.
TEST_P(RegistrationKeyTest, UpstreamHasTheAddressOfItsOwnEntry) {
  for (const Step &Next : GetParam().Steps)
    play(Next);
  const Upstream *Known = Upstreams.find(UpstreamId(0xb));
  EXPECT_EQ(Known == nullptr ? None : Known->Registration.Address.Address,
            GetParam().Address);
  if (Known != nullptr) {
    EXPECT_EQ(Known->State, GetParam().State);
    EXPECT_EQ(Upstreams.isAddressReused(*Known), GetParam().IsAddressReused);
  }
}

constexpr auto Gone = UpstreamState::Unregistered;
constexpr auto Snapshot = Content::Snapshot;
constexpr auto Changes = Content::Changes;

INSTANTIATE_TEST_SUITE_P(
    Cases, RegistrationKeyTest,
    testing::ValuesIn(std::vector<KeyCase>{
        {"StartWithForeignBefore", {{Snapshot, {Config, Foreign, Own}}}, 1},
        {"StartWithForeignAfter", {{Snapshot, {Config, Own, ForeignAfter}}}, 1},
        {"StartWithCopyBefore", {{Snapshot, {Config, Copy, Own}}}, 1},
        {"StartWithPages",
         {{Content::FirstPage, {Config, Foreign}}, {Content::LastPage, {Own}}},
         1},
        {"StartWithPagesOfACopy",
         {{Content::FirstPage, {Config, Copy}}, {Content::LastPage, {Own}}},
         1},
        {"StartBeforeTheConfiguration",
         {{Snapshot, {Foreign, Own}}, {Changes, {Config}}},
         1},
        {"ForeignAlone", {{Snapshot, {Config, Foreign}}}, None},
        {"OwnAfterForeign",
         {{Snapshot, {Config, Foreign}}, {Changes, {Own}}},
         1},
        {"ChangesReadTogether",
         {{Snapshot, {Config}}, {Changes, {Copy, Own}}},
         1},
        {"LaterForeign", {{Snapshot, {Config, Own}}, {Changes, {Foreign}}}, 1},
        {"LaterCopy", {{Snapshot, {Config, Own}}, {Changes, {Copy}}}, 1},
        {"OwnVanishes",
         {{Snapshot, {Config, Own}}, {Changes, {Foreign, OwnDeleted}}},
         1,
         Gone},
        {"OwnVanishesBesideACopy",
         {{Snapshot, {Config, Own}},
          {Changes, {OwnDeleted}},
          {Changes, {Copy}}},
         1,
         Gone},
        {"OwnUnreadable",
         {{Snapshot, {Config, Own}}, {Changes, {OwnUnreadable, Foreign}}},
         1,
         Gone},
        {"OwnMissingFromASnapshot",
         {{Snapshot, {Config, Own}}, {Snapshot, {Config, Copy}}},
         1,
         Gone},
        {"OwnReturns",
         {{Snapshot, {Config, Own}},
          {Changes, {OwnDeleted}},
          {Changes, {Copy}},
          {Changes, {OwnCreatedAgain}}},
         1},
        {"OwnNamesAnUnnamedService",
         {{Snapshot, {Config, Own}}, {Changes, {OwnOfUnnamedService}}},
         1,
         Gone},
        {"ForeignVanishes",
         {{Snapshot, {Config, Foreign, Own}}, {Changes, {ForeignDeleted}}},
         1},
        {"ForeignUnreadable",
         {{Snapshot, {Config, Own}}, {Changes, {ForeignUnreadable}}},
         1},
        {"ForeignServiceIsNamedLater",
         {{Snapshot, {Config, Foreign, Own}}, {Changes, {WiderConfig}}},
         1},
        // An upstream of a new service may register before the configuration
        // names the service.
        {"NewServiceIsNamedLater",
         {{Snapshot, {Config, Foreign}}, {Changes, {WiderConfig}}},
         9},
        {"NewServiceIsNamedAfterTheEntryVanished",
         {{Snapshot, {Config, Foreign}},
          {Changes, {ForeignDeleted}},
          {Changes, {WiderConfig}}},
         None},
        {"NewServiceIsNamedAfterASnapshotWithoutTheEntry",
         {{Snapshot, {Config, Foreign}},
          {Snapshot, {Config}},
          {Changes, {WiderConfig}}},
         None},
        {"OtherTakesTheAddress",
         {{Snapshot, {Config, Own}}, {Changes, {OwnDeleted, Other}}},
         1,
         Gone,
         true},
        // Another writer names the address of an upstream that lives.
        {"OtherWhileOwnIsUnreadable",
         {{Snapshot, {Config, Own}}, {Changes, {OwnUnreadable, Other}}},
         1,
         Gone},
        {"OtherWhileOwnNamesAnUnnamedService",
         {{Snapshot, {Config, Own}}, {Changes, {OwnOfUnnamedService, Other}}},
         1,
         Gone},
        {"OtherAfterAnUnreadableOneVanished",
         {{Snapshot, {Config, Own}},
          {Changes, {OwnUnreadable, Other}},
          {Changes, {OwnDeleted}}},
         1,
         Gone,
         true},
        // Open flows stay at the upstream.
        {"ServiceIsNoLongerNamed",
         {{Snapshot, {Config, Own}},
          {Changes, {OtherConfig}},
          {Changes, {OwnCreatedAgain}}},
         1},
        // No flow can be left at the forgotten upstream.
        {"CopyAfterTheUpstreamWasForgotten",
         {{Snapshot, {Config, Own}},
          {Changes, {Copy, OwnDeleted}, 121s},
          {Changes, {}}},
         9}}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace indigopoint
