// What instances do when the store comes back from an older copy of itself.

#include <gtest/gtest.h>

#include "model_instance.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// An instance that knows configuration 7 and the upstreams 1, 2 and 3 of the
// store. The store's copy was made before the test's changes.
class StoreRestorationTest : public testing::Test {
protected:
  StoreRestorationTest() {
    Store.put("config", "7 chat");
    for (const uint64_t Id : {1, 2, 3})
      Store.put(upstreamKey(Id), "ready 1000");
    Store.copy();
    Instance.follow(Store);
  }

  // The instance learns what was written since the copy; then the store returns
  // to the copy.
  void restore() {
    Instance.follow(Store);
    Store.restore();
    Instance.follow(Store);
  }

  // The instance has had both versions in force; the copy has neither.
  void useTwoVersions() {
    Store.put("config", "12 chat");
    Instance.follow(Store);
    Store.put("config", "17 photos");
    Instance.follow(Store);
  }

  // Time in which the store answers.
  void advance(Duration Time) {
    TimeSource.advance(Time);
    Instance.follow(Store);
    Instance.maintain();
  }

  // Time in which the process is paused, or the store does not answer.
  void advanceWithoutStore(Duration Time) {
    TimeSource.advance(Time);
    Instance.maintain();
  }

  ManualClock TimeSource;
  ModelStore Store;
  ModelInstance Instance{TimeSource};
};

TEST_F(StoreRestorationTest, ConfigurationInForceDoesNotGoBack) {
  Store.put("config", "9 photos");
  restore();
  EXPECT_EQ(Instance.configuration(), 9U);
  advance(60s);
  EXPECT_EQ(Instance.configuration(), 9U);
  EXPECT_EQ(Instance.service(), "photos");
  // The operator writes it again.
  Store.put("config", "9 photos");
  Instance.follow(Store);
  Store.put("config", "10 chat");
  Instance.follow(Store);
  EXPECT_EQ(Instance.configuration(), 10U);
}

// Guards against an instance that waits for a higher revision or version than
// the operator uses after the restoration.
TEST_F(StoreRestorationTest, ReusedVersionWithOtherContentIsApplied) {
  Store.put("config", "9 photos");
  restore();
  Store.put("config", "9 chat");
  Instance.follow(Store);
  EXPECT_EQ(Instance.configuration(), 9U);
  EXPECT_EQ(Instance.service(), "chat");
}

// The same if the operator was faster than the instance's first call.
TEST_F(StoreRestorationTest, ReusedVersionInTheFirstSnapshotIsApplied) {
  Store.put("config", "9 photos");
  Instance.follow(Store);
  Store.restore();
  Store.put("config", "9 chat");
  Instance.follow(Store);
  EXPECT_EQ(Instance.service(), "chat");
}

// Guards against an instance that ignores for ever what an operator writes
// under a version that no instance knows. It may also be a lost one, so it
// waits.
TEST_F(StoreRestorationTest, UnknownLowerVersionIsAppliedAfterAMinute) {
  Store.put("config", "9 photos");
  restore();
  Store.put("config", "8 chat");
  Instance.follow(Store);
  advance(59'900ms);
  EXPECT_EQ(Instance.configuration(), 9U);
  advance(200ms);
  EXPECT_EQ(Instance.configuration(), 8U);
}

// Guards against an instance that goes back for a moment while the operator
// writes all lost versions again.
TEST_F(StoreRestorationTest, VersionsThatAreWrittenAgainInTurnDoNotGoBack) {
  Store.put("config", "8 chat");
  Store.put("config", "9 photos");
  restore();
  Store.put("config", "8 chat");
  Instance.follow(Store);
  advance(500ms);
  Store.put("config", "9 photos");
  Instance.follow(Store);
  advance(2s);
  EXPECT_EQ(Instance.configuration(), 9U);
  EXPECT_EQ(Instance.log().find(R"("version":8,"versionBefore":9)"),
            std::string::npos);
}

// Guards against instances that go back to a lost version because the operator
// takes longer than a second to write the next one again.
TEST_F(StoreRestorationTest, LostVersionThatIsWrittenAgainNeverReverts) {
  for (const Duration Pause : {900ms, 2000ms, 60'000ms}) {
    Store.put("config", "12 chat");
    Instance.follow(Store);
    Store.put("config", "17 photos");
    restore();
    Store.put("config", "12 chat");
    Instance.follow(Store);
    for (Duration Passed{}; Passed < Pause; Passed += 100ms) {
      advance(100ms);
      ASSERT_EQ(Instance.configuration(), 17U) << millisecondsOf(Passed);
    }
    Store.put("config", "17 photos");
    Instance.follow(Store);
    advance(2s);
    EXPECT_EQ(Instance.configuration(), 17U);
    EXPECT_EQ(Instance.service(), "photos");
  }
  EXPECT_EQ(Instance.log().find(R"("version":12,"versionBefore":17)"),
            Instance.log().npos);
}

// A lost version with other content is a decision of the operator.
TEST_F(StoreRestorationTest, LostVersionWithOtherContentIsApplied) {
  useTwoVersions();
  restore();
  Store.put("config", "12 maps");
  Instance.follow(Store);
  advance(1100ms);
  EXPECT_EQ(Instance.configuration(), 12U);
  EXPECT_EQ(Instance.service(), "maps");
}

// The same if the instance was started after the version was in use.
TEST_F(StoreRestorationTest, PeerKnowsThatALostVersionHasOtherContent) {
  useTwoVersions();
  ModelInstance Added(TimeSource);
  Added.follow(Store);
  restore();
  Added.follow(Store);
  Store.put("config", "12 maps");
  Instance.follow(Store);
  Added.follow(Store);
  EXPECT_EQ(Added.undecidedVersion(), ConfigVersion(12));
  Added.askPeer(Instance);
  advance(1100ms);
  Added.follow(Store);
  Added.maintain();
  EXPECT_EQ(Instance.service(), "maps");
  EXPECT_EQ(Added.service(), "maps");
}

// What an instance that knows the version 17 alone goes through while the
// operator writes 12 and 17 again.
struct RewriteCase {
  std::string Name;
  /// Between the two writes.
  Duration Gap{};
  /// Whether it asks an instance that had 12 in force.
  bool AsksPeer = false;
  /// The first part of the gap, in which it does not hear of the store.
  Duration Pause{};
  /// Whether the version of the copy is written again as well.
  bool RewritesCopy = false;
  /// Whether the store was restored before, and both were written again.
  bool HasEarlierDrill = false;
};

class LostVersionTest : public StoreRestorationTest,
                        public testing::WithParamInterface<RewriteCase> {};

// Guards against an instance that goes back to a lost version because it was
// started after that version, or skipped it.
TEST_P(LostVersionTest, InstanceThatNeverSawItDoesNotGoBack) {
  const RewriteCase &Case = GetParam();
  useTwoVersions();
  ModelInstance Added(TimeSource);
  Added.follow(Store);
  const auto Restore = [&] {
    restore();
    Added.follow(Store);
    if (Case.RewritesCopy)
      Store.put("config", "7 chat");
    Store.put("config", "12 chat");
    Instance.follow(Store);
    Added.follow(Store);
  };
  if (Case.HasEarlierDrill) {
    Restore();
    Store.put("config", "17 photos");
    Added.follow(Store);
  }
  Restore();
  if (Case.AsksPeer)
    Added.askPeer(Instance);
  if (Case.Pause > Duration()) {
    TimeSource.advance(Case.Pause);
    Added.maintain();
    ASSERT_EQ(Added.configuration(), 17U) << "after the pause";
  }
  for (Duration Passed = Case.Pause; Passed < Case.Gap; Passed += 100ms) {
    advance(100ms);
    Added.follow(Store);
    Added.maintain();
    ASSERT_EQ(Added.configuration(), 17U) << millisecondsOf(Passed);
  }
  Store.put("config", "17 photos");
  Added.follow(Store);
  advance(120s);
  Added.follow(Store);
  Added.maintain();
  EXPECT_EQ(Added.configuration(), 17U);
  EXPECT_EQ(Added.service(), "photos");
}

INSTANTIATE_TEST_SUITE_P(Rewrites, LostVersionTest,
                         testing::ValuesIn(std::vector<RewriteCase>{
                             {"SoonAlone", 900ms},
                             {"LaterAlone", 2s},
                             {"MuchLaterAlone", 50s},
                             {"SoonWithPeer", 900ms, true},
                             {"MuchLaterWithPeer", 600s, true},
                             {"DuringAPause", 120s, false, 120s},
                             {"WithTheCopysVersion", 50s, false, 0s, true},
                             {"AfterAnEarlierDrill", 600s, false, 0s, false,
                              true}}),
                         [](const auto &Info) { return Info.param.Name; });

// The version of the copy is no decision of the operator either.
TEST_F(StoreRestorationTest, VersionOfTheCopyWrittenAgainIsNeverApplied) {
  Store.put("config", "9 photos");
  Instance.follow(Store);
  ModelInstance Added(TimeSource);
  Added.follow(Store);
  restore();
  Added.follow(Store);
  Store.put("config", "7 chat");
  for (int Count = 0; Count < 3; ++Count) {
    TimeSource.advance(60s);
    Added.follow(Store);
    Added.maintain();
  }
  EXPECT_EQ(Added.configuration(), 9U);
}

// Guards against an instance that goes back by its own clock while it does not
// hear of the version that was written since.
TEST_F(StoreRestorationTest, DeferredVersionWaitsForTheStore) {
  useTwoVersions();
  restore();
  Store.put("config", "12 maps");
  Instance.follow(Store);
  EXPECT_FALSE(Instance.takeConfirmationRequest());
  advanceWithoutStore(1100ms);
  EXPECT_EQ(Instance.configuration(), 17U);
  EXPECT_TRUE(Instance.takeConfirmationRequest());
  EXPECT_FALSE(Instance.takeConfirmationRequest()) << "asked again";
  advanceWithoutStore(60s);
  EXPECT_EQ(Instance.configuration(), 17U);
  Store.put("config", "17 photos");
  advance(100ms);
  EXPECT_EQ(Instance.configuration(), 17U);
}

// Guards against an instance that starts while lost versions are written again
// and gets the earlier one from the store only.
TEST_F(StoreRestorationTest, StartingInstanceGetsTheVersionInForceInBetween) {
  useTwoVersions();
  restore();
  Store.put("config", "12 chat");
  Instance.follow(Store);
  ModelInstance Starting(TimeSource);
  Starting.follow(Store);
  EXPECT_EQ(Starting.configuration(), 12U);
  Starting.askPeer(Instance);
  EXPECT_EQ(Starting.configuration(), 17U);
  ModelInstance Next(TimeSource);
  Next.follow(Store);
  Next.askPeer(Starting);
  EXPECT_EQ(Next.configuration(), 17U);
  // A decision of the operator ends it.
  Store.put("config", "12 maps");
  Instance.follow(Store);
  advance(1100ms);
  EXPECT_EQ(Instance.service(), "maps");
  EXPECT_TRUE(Instance.mirror().retained().empty());
  // After another restoration that one is sent.
  Store.restore();
  Instance.follow(Store);
  Next.follow(Store);
  EXPECT_EQ(Instance.mirror().retained().size(), 1U);
  ModelInstance Last(TimeSource);
  Last.follow(Store);
  Last.askPeer(Instance);
  EXPECT_EQ(Last.service(), "maps");
}

// Guards against upstreams that lose all new flows until they register again.
TEST_F(StoreRestorationTest, LostRegistrationStaysUntilItIsWrittenAgain) {
  Store.put(upstreamKey(4), "ready 1000");
  restore();
  advance(2s);
  EXPECT_EQ(Instance.state(4), UpstreamState::Ready);
  Store.put(upstreamKey(4), "ready 1000");
  Instance.follow(Store);
  advance(10s);
  EXPECT_EQ(Instance.state(4), UpstreamState::Ready);
}

TEST_F(StoreRestorationTest, RegistrationThatIsNotWrittenAgainIsGone) {
  Store.put(upstreamKey(4), "ready 1000");
  restore();
  advance(2600ms);
  EXPECT_EQ(Instance.state(4), UpstreamState::Unregistered);
  EXPECT_EQ(Instance.state(1), UpstreamState::Ready);
}

// Guards against upstreams that are dropped after a pause of the process, or
// while the store is away, although they registered again meanwhile.
TEST_F(StoreRestorationTest, LostRegistrationStaysWhileTheStoreIsNotHeard) {
  Store.put(upstreamKey(4), "ready 1000");
  restore();
  advanceWithoutStore(60s);
  EXPECT_EQ(Instance.state(4), UpstreamState::Ready);
  Store.put(upstreamKey(4), "ready 1000");
  advance(10s);
  EXPECT_EQ(Instance.state(4), UpstreamState::Ready);
}

// Guards against new flows to an upstream that has left and only stands in the
// copy.
TEST_F(StoreRestorationTest, UpstreamThatHasLeftIsNotUsedAgain) {
  Store.remove(upstreamKey(2));
  restore();
  EXPECT_EQ(Instance.state(2), UpstreamState::Unregistered);
  // Its registration expires in the store.
  advance(3s);
  Store.remove(upstreamKey(2));
  Instance.follow(Store);
  advance(60s);
  EXPECT_EQ(Instance.state(2), UpstreamState::Unregistered);
}

// An upstream whose registration lapsed before the gap, and which is running,
// stands in the copy and renews its registration without a change.
TEST_F(StoreRestorationTest, RegistrationThatOutlastsItsLifetimeIsUsed) {
  Store.remove(upstreamKey(2));
  restore();
  advance(ModelRegistrationLifetime - 1ms);
  EXPECT_EQ(Instance.state(2), UpstreamState::Unregistered);
  advance(2ms);
  EXPECT_EQ(Instance.state(2), UpstreamState::Ready);
}

// Guards against a registration that is used although the store removed it
// while the process was paused.
TEST_F(StoreRestorationTest, RegistrationOutlastsItsLifetimeOnlyInTheStore) {
  Store.remove(upstreamKey(2));
  restore();
  advanceWithoutStore(60s);
  EXPECT_EQ(Instance.state(2), UpstreamState::Unregistered);
  Store.remove(upstreamKey(2));
  advance(60s);
  EXPECT_EQ(Instance.state(2), UpstreamState::Unregistered);
}

TEST_F(StoreRestorationTest, UpstreamThatRegistersAgainIsUsedAtOnce) {
  Store.remove(upstreamKey(2));
  restore();
  Store.put(upstreamKey(2), "ready 1000");
  Instance.follow(Store);
  EXPECT_EQ(Instance.state(2), UpstreamState::Ready);
}

TEST_F(StoreRestorationTest, DrainingUpstreamDoesNotBecomeReady) {
  Store.put(upstreamKey(2), "draining 1000");
  restore();
  advance(60s);
  EXPECT_EQ(Instance.state(2), UpstreamState::Draining);
}

TEST_F(StoreRestorationTest, RestartedUpstreamIsNotTakenForItsEarlierProcess) {
  Store.put(upstreamKey(2), "draining 1000");
  Store.put(upstreamKey(2), "ready 2000");
  restore();
  EXPECT_EQ(Instance.state(2), UpstreamState::Ready);
  Store.put(upstreamKey(2), "ready 2000");
  Instance.follow(Store);
  EXPECT_EQ(
      Instance.log().find(
          R"("change":"restarted","state":"ready","service":"chat","address":"0.0.0.2:80","zone":"","revision":3)"),
      std::string::npos);
}

// Guards against an answer of the old era that arrives after one of the new
// era, and against a watch whose revision exists in the new era for other
// content.
TEST_F(StoreRestorationTest, AnswersOfAnEarlierEraAreIgnored) {
  Store.put("config", "9 photos");
  Instance.follow(Store);
  const StoreResult Late = Store.answer(Instance.startCall());
  Instance.finishCall(Late);
  Store.restore();
  Instance.follow(Store);
  const StorePosition Before = Instance.position();
  Instance.startCall();
  StoreResult OldAnswer = Late;
  OldAnswer.Items = {{upstreamKey(5), "ready 1000", 90, 90, false}};
  OldAnswer.Position.Revision = 90;
  Instance.finishCall(OldAnswer);
  EXPECT_EQ(Instance.position(), Before);
  EXPECT_EQ(Instance.state(5), std::nullopt);
}

TEST_F(StoreRestorationTest, WatchOfTheOldEraIsNotContinued) {
  Store.put("config", "9 photos");
  Instance.follow(Store);
  Store.restore();
  // The revision that the instance has is given out again.
  Store.put(upstreamKey(6), "ready 1000");
  Store.put(upstreamKey(7), "ready 1000");
  Instance.follow(Store);
  EXPECT_EQ(Instance.state(6), UpstreamState::Ready);
  EXPECT_EQ(Instance.state(7), UpstreamState::Ready);
}

// Guards against a snapshot whose first pages are of one era and whose last
// ones are of the next.
TEST_F(StoreRestorationTest, SnapshotPagesOfTwoErasAreNotMixed) {
  Store.PageSize = 2;
  Store.put(upstreamKey(4), "ready 1000");
  ModelInstance Starting(TimeSource);
  Starting.callStore(Store);
  Store.restore();
  Store.remove(upstreamKey(1));
  Starting.follow(Store);
  advance(3s);
  Starting.follow(Store);
  Starting.maintain();
  EXPECT_EQ(Starting.state(1), UpstreamState::Unregistered);
  EXPECT_EQ(Starting.state(2), UpstreamState::Ready);
  EXPECT_EQ(Starting.mirror().all().size(), 3U);
}

TEST_F(StoreRestorationTest, TwoRestorationsWithinSecondsKeepWhatIsInForce) {
  Store.put("config", "9 photos");
  Store.put(upstreamKey(4), "ready 1000");
  Store.remove(upstreamKey(2));
  restore();
  advance(1s);
  Store.restore();
  Instance.follow(Store);
  EXPECT_EQ(Instance.configuration(), 9U);
  EXPECT_EQ(Instance.state(4), UpstreamState::Ready);
  EXPECT_EQ(Instance.state(2), UpstreamState::Unregistered);
  Store.put(upstreamKey(4), "ready 1000");
  Instance.follow(Store);
  advance(3s);
  EXPECT_EQ(Instance.state(4), UpstreamState::Ready);
}

// An instance that starts in the gap reads the copy only; the others know more.
TEST_F(StoreRestorationTest, StartingInstanceGetsTheConfigurationFromAPeer) {
  Store.put("config", "9 photos");
  restore();
  ModelInstance Starting(TimeSource);
  Starting.follow(Store);
  EXPECT_EQ(Starting.configuration(), 7U);
  Starting.askPeer(Instance);
  EXPECT_EQ(Starting.configuration(), 9U);
  // And the next one from it.
  ModelInstance Next(TimeSource);
  Next.follow(Store);
  Next.askPeer(Starting);
  EXPECT_EQ(Next.configuration(), 9U);
  Store.put("config", "10 chat");
  Next.follow(Store);
  EXPECT_EQ(Next.configuration(), 10U);
  EXPECT_TRUE(Next.mirror().retained().empty());
}

// Guards against two zones of which one still follows the old era: a peer with
// a higher revision of a lower era has nothing new.
TEST_F(StoreRestorationTest, PeerOfAnEarlierEraChangesNothing) {
  ModelInstance Behind(TimeSource);
  Store.put("config", "9 photos");
  Store.put(upstreamKey(4), "ready 1000");
  Behind.follow(Store);
  restore();
  Store.put("config", "9 chat");
  Instance.follow(Store);
  const StorePosition Before = Instance.position();
  Instance.askPeer(Behind);
  EXPECT_EQ(Instance.position(), Before);
  EXPECT_EQ(Instance.service(), "chat");
  Behind.askPeer(Instance);
  EXPECT_EQ(Behind.position(), Before);
  EXPECT_EQ(Behind.service(), "chat");
}

// Guards against an upstream or a route that had gone before an instance was
// restarted, and is in use again after.
TEST_F(StoreRestorationTest, RestartedInstanceUsesOnlyWhatIsRegistered) {
  Store.remove(upstreamKey(2));
  Store.put("config", "9 photos");
  ModelInstance Behind(TimeSource);
  Behind.follow(Store);
  Store.remove(upstreamKey(3));
  ModelInstance Restarted(TimeSource);
  Restarted.follow(Store);
  // A peer that lags has nothing new.
  Restarted.askPeer(Behind);
  EXPECT_EQ(Restarted.state(1), UpstreamState::Ready);
  EXPECT_EQ(Restarted.state(2), std::nullopt);
  EXPECT_EQ(Restarted.state(3), std::nullopt);
  EXPECT_EQ(Restarted.service(), "photos");
}

// An older store sends no era. It works as before.
TEST_F(StoreRestorationTest, StoreWithoutErasIsFollowed) {
  ModelInstance Other(TimeSource);
  const auto CallWithoutEra = [&] {
    StoreResult Result = Store.answer(Other.startCall());
    Result.Position.Era = 0;
    Other.finishCall(std::move(Result));
  };
  CallWithoutEra();
  Store.put("config", "8 photos");
  CallWithoutEra();
  EXPECT_EQ(Other.configuration(), 8U);
  EXPECT_EQ(Other.position().Era, 0U);
}

} // namespace
} // namespace indigopoint
