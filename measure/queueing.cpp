#include "queueing.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iomanip>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "blackboard.h"
#include "peer_link.h"
#include "simulation.h"
#include "upstream_controller.h"

namespace indigopoint::measure {

namespace {

constexpr Duration MeanService = std::chrono::milliseconds(40);
constexpr Duration ShortestDeadline = std::chrono::milliseconds(200);
constexpr Duration LongestDeadline = std::chrono::milliseconds(1000);
constexpr Duration RunTime = std::chrono::seconds(60);
constexpr Duration LinkDelay = std::chrono::microseconds(250);

// Requests that the upstream itself holds beyond its slots before it sheds.
constexpr size_t UpstreamBacklog = 200;

struct Setting {
  uint32_t Slots = 2;
  double Saturation = 1;
  /// Offered work over the upstream's capacity.
  double Load = 1;
};

struct Result {
  uint64_t Offered = 0;
  uint64_t InTime = 0;
  uint64_t Refused = 0;
  uint64_t Unknown = 0;
  /// Runs that ended after the deadline of their request.
  uint64_t RunLate = 0;
  Duration LateWork{};
  Duration AllWork{};
  std::vector<double> Latencies;
  std::vector<double> RefusalTimes;
};

double percentile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  const auto Rank =
      static_cast<ptrdiff_t>(Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + Rank, Values.end());
  return Values[static_cast<size_t>(Rank)];
}

/// An upstream that runs requests in the order of arrival, queues those beyond
/// its slots without telling, and drops what is past its deadline at the start.
class Model {
public:
  Model(const Setting &Given, uint64_t Seed);
  Result run();

private:
  struct Job {
    Dispatch Work;
    TimePoint Deadline{};
  };

  static EngineSettings settings();
  Duration exponential(Duration Mean);
  void arrive();
  void carry(ActionSink &Sink);
  void onResult(const SubmitResult &Given);
  void receive(const Dispatch &Work);
  void startNext();
  void answer(const Dispatch &Work, DispatchStatus Status);
  void tick();

  const Setting Given;
  VirtualTime Time;
  Blackboard Board;
  PeerLink Peers;
  UpstreamController Owner;
  RandomSource Random;
  UpstreamId Upstream = upstreamIdOf("chat-core", "chat-0");
  uint64_t NextId = 1;
  uint32_t Running = 0;
  std::deque<Job> Waiting;
  std::map<SubmitId, TimePoint> Sent;
  TimePoint End{};
  Result Done;
};

EngineSettings Model::settings() {
  EngineSettings Made;
  Made.Name = "owner";
  return Made;
}

Model::Model(const Setting &Given, uint64_t Seed)
    : Given(Given), Board(settings(), Time, Seed), Peers(Board),
      Owner(Board, Peers), Random(Seed) {
  Board.Self.State = MemberState::Active;
  Board.RegionZones = {"lim-a"};
  Member Home;
  Home.Id = instanceIdOf("home");
  Home.Address = {1, 1};
  Board.Members.ById[Home.Id] = Home;
  ServiceConfig Service;
  Service.Id = ServiceId(1);
  Service.Name = "chat-core";
  Service.Saturation = Given.Saturation;
  UpstreamConfig Only;
  Only.Id = Upstream;
  Only.Zone = "lim-a";
  Only.Address = {2, 2};
  Only.Slots = Given.Slots;
  Service.Upstreams.push_back(Only);
  Board.Config.Version = ConfigVersion(1);
  Board.Config.Services[Service.Id] = Service;
  Board.Index = ConfigIndex(Board.Config);
  Board.CurrentOwnership.setOwner(Upstream, Board.Self.Id);
}

Duration Model::exponential(Duration Mean) {
  return Duration(static_cast<int64_t>(-static_cast<double>(Mean.count()) *
                                       std::log(1 - Random.fraction())));
}

// The service time is drawn with the request, so that all settings see equal
// requests; it travels in the payload.
void Model::arrive() {
  if (Time.now() >= End)
    return;
  Submit Body;
  Body.Id = SubmitId(NextId++);
  Body.Service = ServiceId(1);
  Body.Upstream = Upstream;
  Body.Flow = FlowKey(Random.below(200));
  Body.Deadline =
      ShortestDeadline +
      Duration(static_cast<int64_t>(Random.below(static_cast<uint64_t>(
          (LongestDeadline - ShortestDeadline).count()))));
  Body.Payload = std::to_string(exponential(MeanService).count());
  Sent[Body.Id] = Time.now();
  ++Done.Offered;
  ActionSink Sink;
  Owner.onSubmit({instanceIdOf("home"), BootId(1)}, std::move(Body), Sink);
  carry(Sink);
  const double Gap =
      static_cast<double>(MeanService.count()) / (Given.Slots * Given.Load);
  Time.after(exponential(Duration(static_cast<int64_t>(Gap))),
             [this] { arrive(); });
}

void Model::carry(ActionSink &Sink) {
  for (Action &Each : Sink.Actions) {
    auto *Out = std::get_if<SendDatagram>(&Each);
    if (Out == nullptr)
      continue;
    if (const auto *Result = std::get_if<SubmitResult>(&Out->Body))
      onResult(*Result);
    else if (const auto *Work = std::get_if<Dispatch>(&Out->Body))
      Time.after(LinkDelay, [this, Work = *Work] { receive(Work); });
  }
}

void Model::onResult(const SubmitResult &Result) {
  const auto It = Sent.find(Result.Id);
  if (It == Sent.end())
    return;
  const double Taken =
      std::chrono::duration<double, std::milli>(Time.now() - It->second)
          .count();
  Sent.erase(It);
  if (Result.Status == SubmitStatus::Answered) {
    ++Done.InTime;
    Done.Latencies.push_back(Taken);
  } else if (Result.Status == SubmitStatus::NotRun) {
    ++Done.Refused;
    Done.RefusalTimes.push_back(Taken);
  } else {
    ++Done.Unknown;
  }
}

void Model::receive(const Dispatch &Work) {
  if (Waiting.size() >= UpstreamBacklog) {
    answer(Work, DispatchStatus::Shed);
    return;
  }
  Waiting.push_back({Work, Time.now() + Work.Deadline});
  startNext();
}

void Model::startNext() {
  while (Running < Given.Slots && !Waiting.empty()) {
    const Job Next = std::move(Waiting.front());
    Waiting.pop_front();
    if (Next.Deadline <= Time.now()) {
      answer(Next.Work, DispatchStatus::Expired);
      continue;
    }
    ++Running;
    const Duration Takes(std::stoll(Next.Work.Payload));
    Done.AllWork += Takes;
    if (Time.now() + Takes > Next.Deadline) {
      ++Done.RunLate;
      Done.LateWork += Takes;
    }
    Time.after(Takes, [this, Work = Next.Work] {
      --Running;
      answer(Work, DispatchStatus::Done);
      startNext();
    });
  }
}

void Model::answer(const Dispatch &Work, DispatchStatus Status) {
  Time.after(LinkDelay, [this, Work, Status] {
    ActionSink Sink;
    Owner.onDispatchResult({2, 2}, {Work.Connection, Work.Id, Status, ""},
                           Sink);
    carry(Sink);
  });
}

void Model::tick() {
  ActionSink Sink;
  Owner.onTick(Sink);
  carry(Sink);
  Time.after(TickInterval, [this] { tick(); });
}

Result Model::run() {
  End = Time.now() + RunTime;
  tick();
  arrive();
  Time.runUntil(End + std::chrono::seconds(2));
  return Done;
}

std::string nameOf(double Saturation) {
  if (Saturation <= 0)
    return "unbounded";
  return std::to_string(Saturation).substr(0, 4);
}

void writeHeader(std::ostream &Table) {
  Table
      << "One upstream behind its owner; service 40 ms, deadlines 0.2 to 1 s\n"
      << "slots  saturation  load  seed  offered  in time  refused  unknown"
         "  ran late  late work  p50 ms  p99 ms  refusal p50 ms\n";
}

void write(const Setting &Given, uint64_t Seed, Result &Done,
           std::ostream &Table, std::ostream &JsonLines) {
  const double Offered = static_cast<double>(Done.Offered);
  const auto ShareOf = [&](uint64_t Count) {
    return static_cast<double>(Count) / Offered;
  };
  const double LateWork = static_cast<double>(Done.LateWork.count()) /
                          static_cast<double>(Done.AllWork.count());
  const double P50 = percentile(Done.Latencies, 0.5);
  const double P99 = percentile(Done.Latencies, 0.99);
  const double RefusedP50 = percentile(Done.RefusalTimes, 0.5);
  Table << std::fixed << std::setprecision(3) << std::setw(5) << Given.Slots
        << std::setw(12) << nameOf(Given.Saturation) << std::setprecision(1)
        << std::setw(6) << Given.Load << std::setw(6) << Seed << std::setw(9)
        << Done.Offered << std::setprecision(3) << std::setw(9)
        << ShareOf(Done.InTime) << std::setw(9) << ShareOf(Done.Refused)
        << std::setw(9) << ShareOf(Done.Unknown) << std::setw(10)
        << ShareOf(Done.RunLate) << std::setw(11) << LateWork
        << std::setprecision(1) << std::setw(8) << P50 << std::setw(8) << P99
        << std::setw(16) << RefusedP50 << "\n";
  const nlohmann::json Line = {{"measure", "queueing"},
                               {"slots", Given.Slots},
                               {"saturation", Given.Saturation},
                               {"load", Given.Load},
                               {"seed", Seed},
                               {"offered", Done.Offered},
                               {"in_time", Done.InTime},
                               {"refused", Done.Refused},
                               {"unknown", Done.Unknown},
                               {"ran_late", Done.RunLate},
                               {"late_work", LateWork},
                               {"p50_ms", P50},
                               {"p99_ms", P99},
                               {"refusal_p50_ms", RefusedP50}};
  JsonLines << Line.dump() << "\n";
}

} // namespace

int measureQueueing(std::ostream &Table, std::ostream &JsonLines) {
  int Worse = 0;
  writeHeader(Table);
  for (uint32_t Slots : {2U, 20U})
    for (double Load : {0.8, 1.2, 2.0})
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        std::map<double, uint64_t> RunLate;
        for (double Saturation : {1.0, 1.1, 1.5, 0.0}) {
          const Setting Given{Slots, Saturation, Load};
          Result Done = Model(Given, Seed).run();
          RunLate[Saturation] = Done.RunLate;
          write(Given, Seed, Done, Table, JsonLines);
        }
        Worse += Load > 1 && RunLate[1.0] > RunLate[0.0] ? 1 : 0;
      }
  return Worse;
}

} // namespace indigopoint::measure
