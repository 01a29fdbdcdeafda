// Every order of up to five events around a restoration of the store: three
// instances, of which one reads the store, one asks the reader and one asks
// that; two upstreams; an operator. A cut is the absence of an instance's call.

#include <array>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "model_instance.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

enum class Event : uint8_t {
  OperatorWrites,
  UpstreamLeavesOrStarts,
  StoreIsCopied,
  StoreIsRestored,
  /// The operator and the upstreams write what the store has lost.
  LostIsWrittenAgain,
  ReaderCallsStore,
  SecondAsksReader,
  ThirdAsksSecond,
  ThirdRestarts,
  SecondPasses
};

constexpr size_t EventCount = 10;
constexpr size_t Depth = 5;
constexpr size_t InstanceCount = 3;
constexpr std::array<uint64_t, 2> UpstreamIds = {1, 2};

// The store removes the registration of a stopped upstream after this time.
constexpr Duration ExpiryTime = 3s;
// An upstream registers again within this time after the store's return.
constexpr Duration RewriteTime = 2s;

class World {
public:
  World();

  void play(Event Next);

  // Everybody does what they do in time without further faults.
  void settle();

  /// What can be seen of the world, to count the states.
  std::string describe();

private:
  struct ModelUpstream {
    bool IsRunning = true;
    uint64_t Starts = 1;
    /// When its registration was last lost or left behind.
    TimePoint StoppedAt{};
  };

  struct Knowledge {
    uint64_t Version = 0;
    std::array<std::optional<UpstreamState>, 2> States;
    /// Number of starts of each upstream when the state was seen.
    std::array<uint64_t, 2> Starts{};
  };

  void writeConfiguration() {
    Store.put("config", std::to_string(LastVersion) + " chat");
  }
  void registerUpstream(size_t Index) {
    Store.put(upstreamKey(UpstreamIds[Index]),
              "ready " + std::to_string(Upstreams[Index].Starts));
  }
  void leaveOrStart();
  void writeAgain();
  void restart();
  void passSecond();
  void checkPromises();
  void check(ModelInstance &Instance, Knowledge &Known);

  ManualClock TimeSource;
  ModelStore Store;
  uint64_t LastVersion = 1;
  TimePoint RestoredAt{};
  std::array<ModelUpstream, 2> Upstreams;
  std::array<std::unique_ptr<ModelInstance>, InstanceCount> Instances;
  std::array<Knowledge, InstanceCount> Known;
};

World::World() {
  // The first copy lacks the second upstream.
  writeConfiguration();
  registerUpstream(0);
  Store.copy();
  registerUpstream(1);
  for (auto &Instance : Instances) {
    Instance = std::make_unique<ModelInstance>(TimeSource);
    Instance->follow(Store);
  }
  checkPromises();
}

void World::leaveOrStart() {
  ModelUpstream &Upstream = Upstreams[0];
  Upstream.IsRunning = !Upstream.IsRunning;
  if (Upstream.IsRunning) {
    ++Upstream.Starts;
    registerUpstream(0);
  } else {
    Upstream.StoppedAt = TimeSource.now();
    Store.remove(upstreamKey(UpstreamIds[0]));
  }
}

void World::writeAgain() {
  writeConfiguration();
  for (size_t Index = 0; Index < Upstreams.size(); ++Index)
    if (Upstreams[Index].IsRunning)
      registerUpstream(Index);
}

void World::restart() {
  Known[2] = {};
  Instances[2] = std::make_unique<ModelInstance>(TimeSource);
  Instances[2]->follow(Store);
}

void World::passSecond() {
  TimeSource.advance(1s);
  for (size_t Index = 0; Index < Upstreams.size(); ++Index)
    if (!Upstreams[Index].IsRunning &&
        TimeSource.now() - std::max(Upstreams[Index].StoppedAt, RestoredAt) >=
            ExpiryTime)
      Store.remove(upstreamKey(UpstreamIds[Index]));
  for (const auto &Instance : Instances)
    Instance->maintain();
}

void World::play(Event Next) {
  switch (Next) {
  case Event::OperatorWrites:
    ++LastVersion;
    writeConfiguration();
    break;
  case Event::UpstreamLeavesOrStarts:
    leaveOrStart();
    break;
  case Event::StoreIsCopied:
    Store.copy();
    break;
  case Event::StoreIsRestored:
    Store.restore();
    RestoredAt = TimeSource.now();
    break;
  case Event::LostIsWrittenAgain:
    writeAgain();
    break;
  case Event::ReaderCallsStore:
    Instances[0]->follow(Store);
    break;
  case Event::SecondAsksReader:
    Instances[1]->askPeer(*Instances[0]);
    break;
  case Event::ThirdAsksSecond:
    Instances[2]->askPeer(*Instances[1]);
    break;
  case Event::ThirdRestarts:
    restart();
    break;
  case Event::SecondPasses:
    passSecond();
    break;
  }
  checkPromises();
}

void World::checkPromises() {
  for (size_t Index = 0; Index < InstanceCount; ++Index)
    check(*Instances[Index], Known[Index]);
}

void World::check(ModelInstance &Instance, Knowledge &Before) {
  // The operator never writes a lower version in this model.
  EXPECT_GE(Instance.configuration(), Before.Version);
  Before.Version = Instance.configuration();
  for (size_t Index = 0; Index < UpstreamIds.size(); ++Index) {
    const auto State = Instance.state(UpstreamIds[Index]);
    const ModelUpstream &Upstream = Upstreams[Index];
    const bool WasReady = Before.States[Index] == UpstreamState::Ready;
    const bool WasGone = Before.States[Index] == UpstreamState::Unregistered;
    // An upstream that is known to have left takes no new flows on the word of
    // an old copy.
    if (WasGone && !Upstream.IsRunning) {
      EXPECT_NE(State, UpstreamState::Ready);
    }
    // A running upstream is not dropped while it may still register again.
    const bool IsInGap = RestoredAt != TimePoint() &&
                         TimeSource.now() - RestoredAt <= RewriteTime;
    if (WasReady && Upstream.IsRunning && IsInGap &&
        Before.Starts[Index] == Upstream.Starts) {
      EXPECT_EQ(State, UpstreamState::Ready);
    }
    if (State != Before.States[Index])
      Before.Starts[Index] = Upstream.Starts;
    Before.States[Index] = State;
  }
}

void World::settle() {
  writeAgain();
  for (int Count = 0; Count < 6; ++Count) {
    for (const auto &Instance : Instances)
      Instance->follow(Store);
    passSecond();
  }
  for (const auto &Instance : Instances) {
    EXPECT_EQ(Instance->configuration(), LastVersion);
    for (size_t Index = 0; Index < UpstreamIds.size(); ++Index)
      EXPECT_EQ(Instance->state(UpstreamIds[Index]) == UpstreamState::Ready,
                Upstreams[Index].IsRunning);
  }
}

std::string World::describe() {
  std::string Out = std::to_string(Store.position().Era) + "." +
                    std::to_string(Store.position().Revision) + "." +
                    std::to_string(Upstreams[0].Starts) +
                    (Upstreams[0].IsRunning ? "+" : "-");
  for (const auto &Instance : Instances) {
    Out += " " + std::to_string(Instance->position().Era) + "." +
           std::to_string(Instance->position().Revision) + "v" +
           std::to_string(Instance->configuration());
    for (const uint64_t Id : UpstreamIds) {
      const auto State = Instance->state(Id);
      Out += State ? nameOf(*State).substr(0, 1) : "?";
    }
  }
  return Out;
}

std::string nameOfSequence(size_t Number) {
  std::string Out;
  for (size_t Step = 0; Step < Depth; ++Step, Number /= EventCount)
    Out += std::to_string(Number % EventCount) + " ";
  return Out;
}

// Guards against an order of events that no other test thought of. Each
// sequence is played from the start, since instances cannot be copied; its
// prefixes are the shorter sequences.
TEST(RestorationModelTest, NoOrderOfEventsBreaksAPromise) {
  size_t Sequences = 1;
  for (size_t Step = 0; Step < Depth; ++Step)
    Sequences *= EventCount;
  std::set<std::string> States;
  for (size_t Number = 0; Number < Sequences; ++Number) {
    World Played;
    size_t Rest = Number;
    for (size_t Step = 0; Step < Depth; ++Step, Rest /= EventCount) {
      Played.play(static_cast<Event>(Rest % EventCount));
      States.insert(Played.describe());
    }
    Played.settle();
    ASSERT_FALSE(testing::Test::HasFailure())
        << "events " << nameOfSequence(Number) << ": " << Played.describe();
  }
  RecordProperty("sequences", static_cast<int>(Sequences));
  RecordProperty("states", static_cast<int>(States.size()));
  std::cout << Sequences << " sequences, " << States.size() << " states\n";
}

} // namespace
} // namespace indigopoint
