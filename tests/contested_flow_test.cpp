// Flows whose opening packet reached several upstreams, of which one serves the
// flow. The others repeat their answers, and the client repeats their tags.

#include <array>
#include <map>
#include <memory>

#include <gtest/gtest.h>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr size_t X = 0;
constexpr size_t Y = 1;
constexpr uint32_t RequestBytes = 100;
constexpr uint32_t AnswerBytes = 50;

// Two instances of a zone, three upstreams of it and one client with one flow.
// Reports between the instances arrive at once.
class ContestedFlowWorld {
public:
  ContestedFlowWorld() {
    for (size_t Number : {X, Y})
      restart(Number);
  }

  // Stops an instance as planned and starts it again.
  void restartAsPlanned(size_t Number) {
    for (const FlowPlacement &Placement :
         Instances[Number]->Steering.recentPlacements(100))
      report(Number, Placement);
    restart(Number);
  }

  // Kills an instance and starts it again.
  void restart(size_t Number) {
    Instances[Number] = std::make_unique<Instance>(*this, Number);
  }

  // The instance gets a copy of the opening packet and sends it to an upstream.
  uint64_t open(size_t Number, uint32_t CopyCount) {
    PacketHeader Packet = packet();
    Packet.Sequence = InitialSequence;
    Packet.AckNumber = CopyCount;
    Packet.IsOpening = true;
    const SteeringDecision Decision = Instances[Number]->Steering.steer(Packet);
    if (Decision.Action != SteeringAction::Forward)
      return 0;
    const uint64_t Id = Decision.Target->Registration.Id.value();
    Server &Target = Servers[Id];
    Target.Tag = Decision.Tag;
    return Id;
  }

  // Opens a flow of another client, so that the next one goes elsewhere.
  void openOtherFlow(size_t Number) {
    PacketHeader Packet = packet();
    ++Packet.Flow.Client.Port;
    Packet.IsOpening = true;
    Instances[Number]->Steering.steer(Packet);
  }

  // The client receives the answer of an upstream to the opening.
  void answerOpening(uint64_t Id) {
    ClientTag = Servers[Id].Tag;
    if (Serving != 0)
      return;
    Serving = Id;
    AckNumber = 7000 + static_cast<uint32_t>(Id);
  }

  // The client sends a packet without data.
  void acknowledge(size_t Number) { send(Number, 0); }

  // The client sends a request that the instance gets. Returns the upstream
  // that runs it; 0 if none received it.
  uint64_t request(size_t Number) {
    const uint64_t Id = send(Number, RequestBytes);
    if (Id == Serving)
      answerRequest();
    return Id;
  }

  // The client sends a packet that is not answered. Returns the upstream that
  // gets it.
  uint64_t send(size_t Number, uint16_t DataBytes) {
    TimeSource.advance(1ms);
    PacketHeader Packet = packet();
    Packet.Sequence = NextSequence;
    Packet.AckNumber = AckNumber;
    Packet.DataBytes = DataBytes;
    Packet.Tag = ClientTag;
    const SteeringDecision Decision = Instances[Number]->Steering.steer(Packet);
    if (Decision.Action != SteeringAction::Forward)
      return 0;
    const uint64_t Id = Decision.Target->Registration.Id.value();
    Servers[Id].Tag = Decision.Tag;
    return Id;
  }

  void evacuate(const std::string &Zone) {
    for (const auto &Node : Instances)
      Node->Upstreams.evacuations().start(Zone, TimeSource.now());
  }

  void wait(Duration Time) { TimeSource.advance(Time); }
  // Stops reports between the instances.
  void cutReports() { HasReports = false; }
  uint64_t serving() const { return Serving; }
  // An upstream other than the one given, which the router of a third instance
  // has sent a copy of the opening packet.
  uint64_t openElsewhere(uint64_t Id) {
    const uint64_t Other = Id == 11 ? 12 : 11;
    Servers[Other].Tag =
        openingTagOf(packet().Flow, UpstreamId(Other), InitialSequence);
    return Other;
  }

private:
  struct Server {
    /// The last tag that the upstream received.
    FlowTag Tag;
  };

  struct Instance {
    Instance(ContestedFlowWorld &World, size_t Number)
        : Steering({"a", makeZoneAwareLeastFlowsPolicy("a")}, World.TimeSource,
                   Routes, Upstreams, Metrics,
                   {.OnPlacement =
                        [&World, Number](const FlowPlacement &Placement) {
                          World.report(Number, Placement);
                        },
                    .OnUnidentifiedFlow =
                        [&World, Number](const FlowAddress &Flow) {
                          World.query(Number, Flow);
                        }}) {
      Routes.apply({ConfigVersion(1),
                    {{"chat", ChatAddress, {{"chat", 1}}, false}},
                    15s});
      for (const auto &[Id, Zone] :
           std::map<uint64_t, std::string>{{11, "a"}, {12, "a"}, {13, "b"}}) {
        UpstreamRegistration Registration;
        Registration.Id = UpstreamId(Id);
        Registration.Service = "chat";
        Registration.Zone = Zone;
        Registration.Address = {0x0a000000 + static_cast<uint32_t>(Id), 80};
        Upstreams.put(Registration, Id, World.TimeSource.now());
      }
      Upstreams.markComplete();
    }

    RouteTable Routes;
    UpstreamRegistry Upstreams;
    SteeringMetrics Metrics;
    FlowSteering Steering;
  };

  static PacketHeader packet() {
    PacketHeader Packet;
    Packet.Flow = {{0x64400001, 30007}, ChatAddress};
    return Packet;
  }

  void report(size_t Sender, const FlowPlacement &Placement) {
    for (size_t Number = 0; HasReports && Number < Instances.size(); ++Number)
      if (Number != Sender)
        Instances[Number]->Steering.recordPlacement(Placement);
  }

  void query(size_t Sender, const FlowAddress &Flow) {
    for (size_t Number = 0; HasReports && Number < Instances.size(); ++Number)
      if (Number != Sender)
        if (const auto Placement =
                Instances[Number]->Steering.placementOf(Flow))
          Instances[Sender]->Steering.recordPlacement(*Placement);
  }

  void answerRequest() {
    NextSequence += RequestBytes;
    AckNumber += AnswerBytes;
    ClientTag = Servers[Serving].Tag;
  }

  static constexpr uint32_t InitialSequence = 1000;

  ManualClock TimeSource;
  std::array<std::unique_ptr<Instance>, 2> Instances;
  std::map<uint64_t, Server> Servers;
  bool HasReports = true;
  FlowTag ClientTag;
  uint64_t Serving = 0;
  uint32_t NextSequence = InitialSequence + 1;
  uint32_t AckNumber = 0;
};

// Opens a flow whose first opening packet is answered late: the copy opens it
// at another upstream, which runs a first request, and the first upstream then
// repeats its answer. Returns the upstream that does not serve the flow.
uint64_t openMoved(ContestedFlowWorld &World) {
  const uint64_t First = World.open(X, 0);
  World.wait(200ms);
  World.answerOpening(World.open(X, 1));
  World.acknowledge(X);
  EXPECT_EQ(World.request(X), World.serving());
  World.answerOpening(First);
  return First;
}

struct Case {
  const char *Name;
  // Returns the upstream that gets the next request; 0 for none.
  uint64_t (*Run)(ContestedFlowWorld &World);
  // Whether the request must be served, and not only kept from others.
  bool IsServed;
};

const Case Cases[] = {
    {"MovedOpeningInPlace",
     [](ContestedFlowWorld &World) {
       openMoved(World);
       return World.request(X);
     },
     true},
    {"MovedOpeningAtAnotherInstance",
     [](ContestedFlowWorld &World) {
       openMoved(World);
       World.restart(X);
       return World.request(Y);
     },
     true},
    // The second of the client's copies gets what the first one asked for.
    {"MovedOpeningAtARestartedInstance",
     [](ContestedFlowWorld &World) {
       openMoved(World);
       World.restart(X);
       EXPECT_EQ(World.send(X, RequestBytes), 0U);
       return World.request(X);
     },
     true},
    // The client chose the first upstream; the answer of the second came late.
    {"AnswerOfTheFirstUpstreamWins",
     [](ContestedFlowWorld &World) {
       const uint64_t First = World.open(X, 0);
       World.wait(200ms);
       const uint64_t Second = World.open(X, 1);
       EXPECT_NE(First, Second);
       World.answerOpening(First);
       World.acknowledge(X);
       EXPECT_EQ(World.request(X), First);
       World.answerOpening(Second);
       World.restart(X);
       return World.request(Y);
     },
     true},
    // Each instance loses what it knew when it is restarted, in turn.
    {"AllInstancesRestartedInTurn",
     [](ContestedFlowWorld &World) {
       openMoved(World);
       World.restartAsPlanned(Y);
       World.restartAsPlanned(X);
       World.restart(X);
       return World.request(Y);
     },
     true},
    {"AllInstancesKilled",
     [](ContestedFlowWorld &World) {
       openMoved(World);
       World.restart(X);
       World.restart(Y);
       World.send(X, RequestBytes);
       return World.request(X);
     },
     false},
    {"NoReportsArrive",
     [](ContestedFlowWorld &World) {
       World.cutReports();
       openMoved(World);
       World.restart(X);
       World.send(Y, RequestBytes);
       return World.request(Y);
     },
     false},
    // The instance that took the first copy died, so another one took the next.
    {"CopiesAtTwoInstances",
     [](ContestedFlowWorld &World) {
       const uint64_t First = World.open(X, 0);
       const uint64_t Other = World.openElsewhere(First);
       World.wait(200ms);
       World.restart(X);
       const uint64_t Second = World.open(Y, 1);
       World.answerOpening(Second);
       World.acknowledge(Y);
       EXPECT_EQ(World.request(Y), Second);
       World.answerOpening(Second == First ? Other : First);
       World.restart(Y);
       return World.request(X);
     },
     true},
    // The first copy was delayed until the flow was open through another
    // instance, which is restarted then.
    {"LateCopyAtTheNextInstance",
     [](ContestedFlowWorld &World) {
       World.answerOpening(World.open(X, 1));
       World.acknowledge(X);
       EXPECT_EQ(World.request(X), World.serving());
       World.openElsewhere(World.serving());
       World.answerOpening(World.serving() == 11 ? 12 : 11);
       World.restart(X);
       return World.request(Y);
     },
     true},
    {"LateCopyThatNoInstanceKnows",
     [](ContestedFlowWorld &World) {
       World.answerOpening(World.open(X, 0));
       World.acknowledge(X);
       EXPECT_EQ(World.request(X), World.serving());
       World.openOtherFlow(Y);
       const uint64_t Late = World.open(Y, 0);
       EXPECT_NE(Late, World.serving());
       World.answerOpening(Late);
       World.restart(X);
       World.send(Y, RequestBytes);
       return World.request(Y);
     },
     false},
    // A copy of the opening must not overwrite the tag of the open flow.
    {"LateCopyAtTheSameInstance",
     [](ContestedFlowWorld &World) {
       World.answerOpening(World.open(X, 0));
       World.acknowledge(X);
       World.open(X, 1);
       EXPECT_EQ(World.request(X), World.serving());
       World.restart(X);
       return World.request(X);
     },
     true},
    {"LateCopyOfAnAdoptedFlow",
     [](ContestedFlowWorld &World) {
       World.answerOpening(World.open(X, 0));
       World.acknowledge(X);
       EXPECT_EQ(World.request(X), World.serving());
       World.restart(X);
       EXPECT_EQ(World.request(X), World.serving());
       EXPECT_EQ(World.open(X, 2), World.serving());
       return World.request(X);
     },
     true},
    // A copy of the opening went to another zone, since the first one's is
    // evacuated.
    {"Evacuation",
     [](ContestedFlowWorld &World) {
       const uint64_t First = World.open(X, 0);
       World.evacuate("a");
       const uint64_t Second = World.open(X, 0);
       EXPECT_EQ(Second, 13U);
       World.answerOpening(Second);
       World.acknowledge(X);
       EXPECT_EQ(World.request(X), Second);
       World.answerOpening(First);
       World.restart(X);
       return World.request(Y);
     },
     true},
    // The client's first data was lost, and the tag changed until it was
    // repeated through another instance.
    {"RepeatedFirstDataAtAnotherInstance",
     [](ContestedFlowWorld &World) {
       const uint64_t First = World.open(X, 0);
       World.wait(200ms);
       World.answerOpening(World.open(X, 1));
       World.acknowledge(X);
       World.answerOpening(First);
       return World.request(Y);
     },
     true},
    // A flow that is not contested moves between its opening and its first
    // answer.
    {"FirstDataAtAnotherInstance",
     [](ContestedFlowWorld &World) {
       World.answerOpening(World.open(X, 0));
       World.restart(X);
       return World.request(Y);
     },
     true},
};

class ContestedFlowTest : public testing::TestWithParam<Case> {};

// Guards against sending a client's packet to an upstream that does not serve
// the flow, which resets the open flow: the client had repeated the tag of a
// late answer to the opening.
TEST_P(ContestedFlowTest, RequestReachesNoOtherUpstream) {
  ContestedFlowWorld World;
  const uint64_t Id = GetParam().Run(World);
  ASSERT_NE(World.serving(), 0U);
  if (GetParam().IsServed || Id != 0) {
    EXPECT_EQ(Id, World.serving());
  }
}

INSTANTIATE_TEST_SUITE_P(AllPaths, ContestedFlowTest, testing::ValuesIn(Cases),
                         [](const auto &Info) { return Info.param.Name; });

// Guards against giving a client's new flow to the upstream of the earlier one
// with the same address.
TEST_F(SteeringFixture, PlacementOfAnEarlierFlowIsNotUsed) {
  PacketHeader Packet = firstData(1, 11);
  Steering.recordPlacement({Packet.Flow, UpstreamId(12), Packet.Sequence + 1});
  EXPECT_EQ(idOf(Steering.steer(Packet)), 11U);
}

// An engineer sees from the log that an open flow would be sent elsewhere by an
// instance that does not know it.
TEST_F(SteeringFixture, TagConflictIsCountedOnce) {
  const uint64_t Id = open(1);
  for (int Count = 0; Count < 3; ++Count)
    EXPECT_EQ(idOf(Steering.steer(data(1, Id == 11 ? 12 : 11, 600))), Id);
  EXPECT_EQ(Metrics.TagConflicts, 1U);
}

// Guards against a table that grows without bound, and against a placement that
// outlives its flow.
TEST(FlowPlacementTableTest, OldestPlacementsAreRemoved) {
  FlowPlacementTable Table;
  TimePoint Now{};
  const auto FlowOf = [](uint32_t Number) {
    return FlowAddress{{Number, 1}, ChatAddress};
  };
  for (uint32_t Number = 0; Number < 20'000; ++Number)
    Table.record({FlowOf(Number), UpstreamId(11), 0}, Now += 1ms);
  EXPECT_LT(Table.size(), 10'000U);
  EXPECT_FALSE(Table.find(FlowOf(0)));
  ASSERT_TRUE(Table.find(FlowOf(19'999)));
  Table.record({FlowOf(19'999), UpstreamId(12), 0}, Now += 1s);
  EXPECT_EQ(Table.newest(2),
            (std::vector<FlowPlacement>{{FlowOf(19'999), UpstreamId(12), 0},
                                        {FlowOf(19'998), UpstreamId(11), 0}}));
  Table.expireBefore(Now);
  EXPECT_EQ(Table.size(), 1U);
  EXPECT_EQ(Table.find(FlowOf(19'999))->Upstream, UpstreamId(12));
}

} // namespace
} // namespace indigopoint
