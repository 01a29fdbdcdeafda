#include <functional>
#include <map>

#include <gtest/gtest.h>

#include "change_set.h"
#include "config_codec.h"
#include "config_publisher.h"

namespace indigopoint {
namespace {

using Status = StoreReply::Status;

class FakeStore : public KeyValueStore {
public:
  struct Entry {
    std::string Value;
    uint64_t Revision = 0;
  };
  enum class Fault { None, RequestLost, AnswerLost };

  std::map<std::string, Entry> Entries;
  uint64_t Calls = 0;
  /// Returns the fault for each call, given its method and key.
  std::function<Fault(const std::string &Method, const std::string &Key)>
      ChooseFault;

  StoreReply get(const std::string &Key) override {
    return run("get", Key, [&] { return read(Key, Status::Done); });
  }
  StoreReply put(const std::string &Key, const std::string &Value,
                 uint64_t Revision) override {
    return run("put", Key, [&] {
      const auto It = Entries.find(Key);
      if (Revision != (It == Entries.end() ? 0 : It->second.Revision))
        return read(Key, Status::Conflict);
      if (Value.size() > size_t{1024} * 1024)
        return StoreReply{Status::TooLarge, 0, "", {}, ""};
      Entries[Key] = {Value, ++LastRevision};
      return StoreReply{Status::Done, LastRevision, "", {}, ""};
    });
  }
  StoreReply remove(const std::string &Key) override {
    return run("remove", Key, [&] {
      return StoreReply{Entries.erase(Key) > 0 ? Status::Done : Status::Absent,
                        0,
                        "",
                        {},
                        ""};
    });
  }
  StoreReply list(const std::string &Prefix) override {
    return run("list", Prefix, [&] {
      StoreReply Reply{Status::Done, 0, "", {}, ""};
      for (const auto &[Key, Value] : Entries)
        if (Key.starts_with(Prefix))
          Reply.Keys.push_back(Key);
      return Reply;
    });
  }

private:
  StoreReply read(const std::string &Key, Status FoundStatus) const {
    const auto It = Entries.find(Key);
    if (It == Entries.end())
      return {Status::Absent, 0, "", {}, ""};
    return {FoundStatus, It->second.Revision, It->second.Value, {}, ""};
  }
  StoreReply run(const std::string &Method, const std::string &Key,
                 const std::function<StoreReply()> &Call) {
    ++Calls;
    const Fault CallFault =
        ChooseFault ? ChooseFault(Method, Key) : Fault::None;
    if (CallFault == Fault::RequestLost)
      return {};
    const StoreReply Reply = Call();
    return CallFault == Fault::AnswerLost ? StoreReply() : Reply;
  }

  uint64_t LastRevision = 0;
};

ServiceConfig service(uint32_t Id, uint32_t UpstreamCount = 1) {
  ServiceConfig Service;
  Service.Id = ServiceId(Id);
  Service.Name = "service-" + std::to_string(Id);
  for (uint32_t Index = 0; Index < UpstreamCount; ++Index) {
    UpstreamConfig Upstream;
    Upstream.Name = "upstream-" + std::to_string(Index);
    Upstream.Id = upstreamIdOf(Service.Name, Upstream.Name);
    Upstream.Address = {Index, 1};
    Service.Upstreams.push_back(Upstream);
  }
  return Service;
}

class ConfigPublisherTest : public ::testing::Test {
protected:
  ConfigChange change(uint64_t Version, uint32_t ServiceNumber) {
    ConfigChange Change;
    Change.Version = ConfigVersion(Version);
    Change.ChangeId = "id-" + std::to_string(ServiceNumber);
    Change.Author = "operator-" + std::to_string(ServiceNumber);
    Change.ChangedServices = {service(ServiceNumber)};
    return Change;
  }
  Configuration readStore() {
    Configuration Config;
    EXPECT_EQ(Publisher.readCurrent(Config), PublishStatus::Done)
        << Publisher.detail();
    return Config;
  }
  size_t keyCount(const std::string &Prefix) {
    return Store.list("indigopoint/" + Prefix).Keys.size();
  }

  FakeStore Store;
  Duration Waited{};
  ConfigPublisher Publisher{Store, "indigopoint/",
                            [this](Duration Time) { Waited += Time; }};
};

// Guards against an operator who silently overwrites the change of another
// operator.
TEST_F(ConfigPublisherTest, ConflictReportsOtherAuthor) {
  Store.ChooseFault = [&](const std::string &Method, const std::string &Key) {
    if (Method == "put" && Key == "indigopoint/change/1") {
      Store.ChooseFault = nullptr;
      Store.put(Key, encodeChange(change(1, 2)), 0);
    }
    return FakeStore::Fault::None;
  };
  EXPECT_EQ(Publisher.publish(change(1, 1)), PublishStatus::LostRace);
  EXPECT_NE(Publisher.detail().find("operator-2"), std::string::npos);
  EXPECT_TRUE(readStore().Services.contains(ServiceId(2)));
  EXPECT_FALSE(readStore().Services.contains(ServiceId(1)));
}

// Guards against publishing a change twice after the answer to the first write
// was lost.
TEST_F(ConfigPublisherTest, LostAnswerIsReportedAsDone) {
  Store.ChooseFault = [&](const std::string &Method, const std::string &) {
    return Method == "put" ? FakeStore::Fault::AnswerLost
                           : FakeStore::Fault::None;
  };
  EXPECT_EQ(Publisher.publish(change(1, 1)), PublishStatus::Done);
  EXPECT_EQ(keyCount("change/"), 1U);
}

// Guards against a lost write that is treated as accepted.
TEST_F(ConfigPublisherTest, LostWriteIsRetried) {
  int WritesToLose = 2;
  Store.ChooseFault = [&](const std::string &Method, const std::string &) {
    return Method == "put" && WritesToLose-- > 0 ? FakeStore::Fault::RequestLost
                                                 : FakeStore::Fault::None;
  };
  EXPECT_EQ(Publisher.publish(change(1, 1)), PublishStatus::Done);
  EXPECT_EQ(readStore().Version, ConfigVersion(1));
}

// Guards against an unanswered write that is treated as accepted although the
// change of another operator is stored under the version.
TEST_F(ConfigPublisherTest, OtherStoredChangeIsReportedAsConflict) {
  Store.Entries["indigopoint/change/1"] = {encodeChange(change(1, 2)), 1};
  Store.ChooseFault = [&](const std::string &Method, const std::string &) {
    return Method == "put" ? FakeStore::Fault::RequestLost
                           : FakeStore::Fault::None;
  };
  EXPECT_EQ(Publisher.publish(change(1, 1)), PublishStatus::LostRace);
}

// Guards against endless retries, and against a claim that an unanswered write
// failed.
TEST_F(ConfigPublisherTest, OutcomeIsUnknownAfterLimitedRetries) {
  Store.ChooseFault = [&](const std::string &, const std::string &) {
    return FakeStore::Fault::RequestLost;
  };
  EXPECT_EQ(Publisher.publish(change(1, 1)), PublishStatus::Unclear);
  EXPECT_LE(Store.Calls, 10U);
  EXPECT_LE(Waited, std::chrono::seconds(5));
}

// Guards against an accepted change whose parts are missing, and against parts
// of an earlier attempt that make a retry fail.
TEST_F(ConfigPublisherTest, OutageWhileWritingPartsHasNoEffect) {
  ConfigChange Large = change(1, 1);
  for (uint32_t Id = 2; Id < 30; ++Id)
    Large.ChangedServices.push_back(service(Id, 600));
  bool Down = true;
  Store.ChooseFault = [&](const std::string &, const std::string &Key) {
    return Down && Key.ends_with("/1") ? FakeStore::Fault::RequestLost
                                       : FakeStore::Fault::None;
  };
  EXPECT_EQ(Publisher.publish(Large), PublishStatus::Unreachable);
  EXPECT_EQ(keyCount("change/"), 0U);
  EXPECT_EQ(keyCount("part/"), 1U);
  Down = false;
  EXPECT_EQ(Publisher.publish(Large), PublishStatus::Done);
  EXPECT_GT(keyCount("part/"), 1U);
  EXPECT_EQ(readStore().Services.size(), 29U);
}

TEST_F(ConfigPublisherTest, ServiceAboveValueSizeIsRejected) {
  ConfigChange Large = change(1, 1);
  Large.ChangedServices.push_back(service(2, 10000));
  EXPECT_EQ(Publisher.publish(Large), PublishStatus::TooLarge);
  EXPECT_EQ(Store.Entries.size(), 0U);
}

// Guards against a store that grows without bound, and against a snapshot that
// removes changes which instances still need.
TEST_F(ConfigPublisherTest, SnapshotsReplaceOldChanges) {
  for (uint64_t Version = 1; Version <= 350; ++Version) {
    ASSERT_EQ(Publisher.publish(change(Version, Version % 7 + 1)),
              PublishStatus::Done);
    if (Version > 90 && Version % 10 == 0) {
      ASSERT_TRUE(Publisher.writeSnapshotIfDue(readStore()));
    }
  }
  const Configuration Config = readStore();
  EXPECT_EQ(Config.Version, ConfigVersion(350));
  EXPECT_EQ(Config.Services.size(), 7U);
  // The newest snapshot has version 300, the previous one version 200.
  EXPECT_EQ(keyCount("change/"), 150U);
  EXPECT_FALSE(Store.Entries.contains("indigopoint/change/200"));
  EXPECT_TRUE(Store.Entries.contains("indigopoint/snapshot/200/0"));
  EXPECT_FALSE(Store.Entries.contains("indigopoint/snapshot/100/0"));
}

} // namespace
} // namespace indigopoint
