// Load on a zone in which some upstreams leave requests unanswered: 16
// instances, 30 upstreams with two slots and eight queue places, and clients
// that open a flow for each request. The work of a request is log-normal, and
// some requests take seven times as long.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "flow_steering.h"
#include "manual_clock.h"
#include "random_source.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr Endpoint ServiceAddress{0xc6120001, 443};
constexpr size_t UpstreamCount = 30;
constexpr size_t Slots = 2;
constexpr size_t QueuePlaces = 8;
constexpr double MedianWorkMs = 24;
constexpr double WorkSpread = 0.5;
constexpr Duration RoundTrip = 7ms;
constexpr Duration TimeLimit = 1s;
constexpr Duration FaultFrom = 4s;
constexpr Duration FaultTo = 10s;
constexpr Duration End = 14s;
constexpr Duration PeerDelay = 1ms;
constexpr Duration MinReportInterval = 100ms;

struct Scenario {
  size_t Instances = 16;
  bool IsAvoiding = true;
  bool IsSharing = true;
  Duration Aim = 300ms;
  double RequestsPerSecond = 800;
  double LongShare = 0.03;
  // The upstreams with a fault, and their share of unanswered requests.
  size_t FaultyUpstreams = 0;
  double UnansweredShare = 0.45;
  // Whether one instance reports all upstreams ten times a second.
  bool HasFalseReporter = false;
  uint64_t Seed = 1;
};

struct Outcomes {
  int Sent = 0;
  int InTarget = 0;
  int Late = 0;
  int Lost = 0;
  size_t MaxUnresponsive = 0;
};

class ZoneLoad {
public:
  explicit ZoneLoad(Scenario Case);

  // Returns what the clients got whose requests were sent during the fault.
  Outcomes run();

private:
  struct Instance {
    RouteTable Routes;
    UpstreamRegistry Upstreams;
    SteeringMetrics Metrics;
    std::unique_ptr<FlowSteering> Steering;
    std::set<UpstreamId> Found;
    uint64_t Sequence = 0;
    TimePoint NextReport{};
  };

  void addInstance(size_t Index);
  void scheduleReport(size_t Index, UpstreamId Target);
  void sendReport(size_t Index);
  void sendFalseReport();
  void sendNextRequest();
  void sendRequest(Instance &Via, PacketHeader Packet, size_t Upstream);
  // When the upstream finishes a request that arrives now; nothing if it never
  // answers.
  std::optional<TimePoint> serve(size_t Upstream);
  bool isFaulty() const {
    const Duration Time = TimeSource.now() - Start;
    return Time >= FaultFrom && Time < FaultTo;
  }
  void after(Duration Delay, std::function<void()> Callback) {
    Timers.emplace(TimeSource.now() + Delay, std::move(Callback));
  }
  void every(Duration Interval, const std::function<void()> &Callback) {
    after(Interval, [this, Interval, Callback] {
      Callback();
      every(Interval, Callback);
    });
  }

  Scenario Case;
  ManualClock TimeSource;
  RandomSource Random;
  TimePoint Start;
  std::vector<std::unique_ptr<Instance>> Instances;
  // The times at which the accepted requests of each upstream end.
  std::vector<std::vector<TimePoint>> Accepted{UpstreamCount};
  std::multimap<TimePoint, std::function<void()>> Timers;
  uint32_t NextClient = 0x64400001;
  Outcomes Seen;
};

ZoneLoad::ZoneLoad(Scenario Case)
    : Case(Case), Random(Case.Seed), Start(TimeSource.now()) {
  for (size_t Index = 0; Index < Case.Instances; ++Index)
    addInstance(Index);
}

void ZoneLoad::addInstance(size_t Index) {
  Instances.push_back(std::make_unique<Instance>());
  Instance &Added = *Instances.back();
  Route Served{"chat", ServiceAddress, {{"chat", 1}}, true};
  Served.Aim = Case.Aim;
  Served.TimeLimit = TimeLimit;
  Added.Routes.apply({ConfigVersion(1), {Served}, 15s});
  for (size_t Number = 0; Number < UpstreamCount; ++Number) {
    UpstreamRegistration Registration;
    Registration.Id = UpstreamId(Number + 1);
    Registration.Service = "chat";
    Registration.Zone = "a";
    Registration.Address = {static_cast<uint32_t>(Number + 1), 80};
    Registration.Slots = Slots;
    Added.Upstreams.put(Registration, Number + 1, TimeSource.now());
  }
  Added.Upstreams.markComplete();
  PlacementOptions Placement;
  Placement.AvoidUnresponsive = Case.IsAvoiding;
  FlowSteering::Hooks Hooks;
  Hooks.OnUnresponsive = [this, Index](const Upstream &Target) {
    if (Case.IsSharing)
      scheduleReport(Index, Target.Registration.Id);
  };
  FlowSteering::Options Opts{"a", makeZoneAwareLeastFlowsPolicy("a", Placement),
                             Placement};
  Opts.Self = {static_cast<uint32_t>(Index + 1), 7000};
  Added.Steering = std::make_unique<FlowSteering>(
      Opts, TimeSource, Added.Routes, Added.Upstreams, Added.Metrics, Hooks);
}

void ZoneLoad::scheduleReport(size_t Index, UpstreamId Target) {
  Instance &Sender = *Instances[Index];
  Sender.Found.insert(Target);
  if (Sender.Found.size() > 1)
    return;
  const TimePoint At =
      std::max(TimeSource.now() + PeerDelay, Sender.NextReport);
  Sender.NextReport = At + MinReportInterval;
  after(At - TimeSource.now(), [this, Index] { sendReport(Index); });
}

void ZoneLoad::sendReport(size_t Index) {
  Instance &Sender = *Instances[Index];
  PeerReport Report{
      {static_cast<uint32_t>(Index + 1), 7000}, "a", ++Sender.Sequence, {}};
  for (const UpstreamId Id : Sender.Found)
    Report.Evidence.push_back({Id, 0, PeerDelay});
  Sender.Found.clear();
  for (size_t Other = 0; Other < Instances.size(); ++Other)
    if (Other != Index)
      Instances[Other]->Steering->recordPeerEvidence(Report);
}

void ZoneLoad::sendFalseReport() {
  for (size_t Number = 0; Number < UpstreamCount; ++Number)
    Instances[0]->Found.insert(UpstreamId(Number + 1));
  sendReport(0);
}

std::optional<TimePoint> ZoneLoad::serve(size_t Upstream) {
  std::vector<TimePoint> &Ends = Accepted[Upstream];
  std::erase_if(Ends, [this](TimePoint E) { return E <= TimeSource.now(); });
  if (Ends.size() >= Slots + QueuePlaces)
    return std::nullopt;
  if (Upstream < Case.FaultyUpstreams && isFaulty() &&
      Random.fraction() < Case.UnansweredShare)
    return std::nullopt;
  // A slot is free when all but Slots - 1 of the accepted requests have ended.
  TimePoint Begin = TimeSource.now();
  if (Ends.size() >= Slots) {
    std::sort(Ends.begin(), Ends.end());
    Begin = Ends[Ends.size() - Slots];
  }
  const double Normal = std::sqrt(-2 * std::log(1 - Random.fraction())) *
                        std::cos(2 * M_PI * Random.fraction());
  const double WorkMs = MedianWorkMs * std::exp(WorkSpread * Normal) *
                        (Random.fraction() < Case.LongShare ? 7 : 1);
  Ends.push_back(Begin + Duration(static_cast<int64_t>(WorkMs * 1000)));
  return Ends.back();
}

void ZoneLoad::sendRequest(Instance &Via, PacketHeader Packet,
                           size_t Upstream) {
  Packet.DataBytes = 100;
  Via.Steering->steer(Packet);
  const auto Finished = serve(Upstream);
  const Duration ResponseTime =
      Finished ? *Finished - TimeSource.now() + RoundTrip : TimeLimit;
  const bool IsLost = ResponseTime >= TimeLimit;
  if (isFaulty()) {
    ++Seen.Sent;
    ++(IsLost                     ? Seen.Lost
       : ResponseTime <= Case.Aim ? Seen.InTarget
                                  : Seen.Late);
  }
  Packet.Sequence += Packet.DataBytes;
  Packet.DataBytes = 0;
  Packet.AckNumber += IsLost ? 0 : 100;
  Packet.IsFinal = true;
  after(std::min(ResponseTime, TimeLimit),
        [&Via, Packet] { Via.Steering->steer(Packet); });
}

void ZoneLoad::sendNextRequest() {
  const double Gap = -std::log(1 - Random.fraction()) / Case.RequestsPerSecond;
  after(Duration(static_cast<int64_t>(Gap * 1e6)),
        [this] { sendNextRequest(); });
  Instance &Via = *Instances[Random.below(Instances.size())];
  PacketHeader Packet;
  Packet.Flow = {{++NextClient, 40000}, ServiceAddress};
  Packet.IsOpening = true;
  const SteeringDecision Decision = Via.Steering->steer(Packet);
  const UpstreamId Id = Decision.Target->Registration.Id;
  Packet.IsOpening = false;
  Packet.Sequence = 1;
  Packet.AckNumber = 1;
  Packet.Tag = tagOf(Packet.Flow, Id);
  after(RoundTrip,
        [this, &Via, Packet, Id] { sendRequest(Via, Packet, Id.value() - 1); });
}

Outcomes ZoneLoad::run() {
  sendNextRequest();
  if (Case.HasFalseReporter)
    every(MinReportInterval, [this] { sendFalseReport(); });
  every(1s, [this] {
    for (const auto &Each : Instances)
      Each->Steering->sweep();
  });
  every(10ms, [this] {
    for (const auto &Each : Instances)
      Seen.MaxUnresponsive =
          std::max(Seen.MaxUnresponsive,
                   Each->Upstreams.countUnresponsive(TimeSource.now()));
  });
  while (Timers.begin()->first - Start < End) {
    const auto Timer = Timers.extract(Timers.begin());
    TimeSource.Now = Timer.key();
    Timer.mapped()();
  }
  return Seen;
}

// The sum of three runs, and the largest number of unresponsive upstreams.
Outcomes sumOfSeeds(Scenario Case) {
  Outcomes Sum;
  for (Case.Seed = 1; Case.Seed <= 3; ++Case.Seed) {
    const Outcomes Seen = ZoneLoad(Case).run();
    Sum.Sent += Seen.Sent;
    Sum.InTarget += Seen.InTarget;
    Sum.Late += Seen.Late;
    Sum.Lost += Seen.Lost;
    Sum.MaxUnresponsive = std::max(Sum.MaxUnresponsive, Seen.MaxUnresponsive);
  }
  return Sum;
}

Scenario faultScenario() {
  Scenario Case;
  Case.FaultyUpstreams = 6;
  return Case;
}

void print(const char *Name, const Outcomes &Seen) {
  std::printf("%s: sent %d, in target %d, late %d, lost %d, unresponsive %zu\n",
              Name, Seen.Sent, Seen.InTarget, Seen.Late, Seen.Lost,
              Seen.MaxUnresponsive);
}

// The largest number of upstreams that may be avoided at once.
constexpr size_t MaxAvoided = UpstreamCount * 4 / 10;

// Guards against requests that are sent to upstreams which leave them
// unanswered, and against sharing evidence without an effect.
TEST(UnresponsiveLoadTest, SharedEvidenceAvoidsMostOfTheLoss) {
  Scenario Case = faultScenario();
  const Outcomes Shared = sumOfSeeds(Case);
  Case.IsSharing = false;
  const Outcomes Alone = sumOfSeeds(Case);
  Case.IsAvoiding = false;
  const Outcomes Off = sumOfSeeds(Case);
  print("off", Off);
  print("each instance alone", Alone);
  print("shared", Shared);
  EXPECT_LE(Shared.Lost * 3, Off.Lost);
  EXPECT_LT(Alone.Lost * 4, Off.Lost * 3);
  EXPECT_LE(Shared.Late, Off.Late + Off.Sent / 200);
  EXPECT_LE(Shared.MaxUnresponsive, MaxAvoided);
}

// Guards against an instance without peers that finds evidence of more and more
// upstreams and overloads the others.
TEST(UnresponsiveLoadTest, OneInstanceAloneLosesLess) {
  Scenario Case = faultScenario();
  Case.Instances = 1;
  const Outcomes On = sumOfSeeds(Case);
  Case.IsAvoiding = false;
  const Outcomes Off = sumOfSeeds(Case);
  print("one instance, off", Off);
  print("one instance, on", On);
  EXPECT_LE(On.Lost * 2, Off.Lost);
  EXPECT_LE(On.MaxUnresponsive, MaxAvoided);
}

// Guards against requests that merely take long, which are evidence with this
// target, and against one instance that reports all upstreams.
TEST(UnresponsiveLoadTest, FalseEvidenceCostsLittle) {
  for (const bool HasFalseReporter : {false, true}) {
    Scenario Case;
    Case.Aim = 150ms;
    Case.HasFalseReporter = HasFalseReporter;
    const Outcomes On = sumOfSeeds(Case);
    Case.IsAvoiding = false;
    const Outcomes Off = sumOfSeeds(Case);
    print(HasFalseReporter ? "false reporter, off" : "long requests, off", Off);
    print(HasFalseReporter ? "false reporter, on" : "long requests, on", On);
    EXPECT_EQ(On.Lost, 0);
    EXPECT_GE(On.InTarget / double(On.Sent),
              Off.InTarget / double(Off.Sent) - 0.01);
    EXPECT_LE(On.MaxUnresponsive, MaxAvoided);
  }
}

} // namespace
} // namespace indigopoint
