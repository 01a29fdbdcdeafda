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

constexpr Duration MeanServiceTime = std::chrono::milliseconds(40);
constexpr Duration MinDeadline = std::chrono::milliseconds(200);
constexpr Duration MaxDeadline = std::chrono::milliseconds(1000);
constexpr Duration RunTime = std::chrono::seconds(60);
constexpr Duration LinkDelay = std::chrono::microseconds(250);

// Requests that the upstream queues beyond its slots before it sheds load.
constexpr size_t UpstreamBacklog = 200;

struct RunOptions {
  uint32_t Slots = 2;
  /// ServiceConfig::Saturation, the ratio of requests to slots at which the
  /// upstream counts as saturated; 0 is no limit.
  double Saturation = 1;
  /// Ratio of the offered work to the upstream's capacity.
  double Load = 1;
};

struct Result {
  uint64_t Offered = 0;
  uint64_t AnsweredInTime = 0;
  uint64_t Refused = 0;
  uint64_t Unknown = 0;
  /// Requests that finished after their deadline.
  uint64_t LateRuns = 0;
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

/// Simulates an upstream that serves requests in order of arrival, queues the
/// requests beyond its slots without reporting it, and drops a request whose
/// deadline has passed before service starts.
class Model {
public:
  Model(const RunOptions &Opts, uint64_t Seed);
  Result run();

private:
  struct Job {
    Dispatch Body;
    TimePoint Deadline{};
  };

  static EngineSettings settings();
  Duration exponential(Duration Mean);
  void arrive();
  void executeActions(ActionSink &Sink);
  void onResult(const SubmitResult &Result);
  void receive(const Dispatch &Body);
  void startNext();
  void answer(const Dispatch &Body, DispatchStatus Status);
  void tick();

  const RunOptions Opts;
  VirtualTime Time;
  Blackboard Board;
  PeerLink Peers;
  UpstreamController Owner;
  RandomSource Random;
  UpstreamId Upstream = upstreamIdOf("chat-core", "chat-0");
  uint64_t NextId = 1;
  uint32_t Running = 0;
  std::deque<Job> Waiting;
  std::map<SubmitId, TimePoint> SendTimes;
  TimePoint End{};
  Result Totals;
};

EngineSettings Model::settings() {
  EngineSettings Settings;
  Settings.Name = "owner";
  return Settings;
}

Model::Model(const RunOptions &Opts, uint64_t Seed)
    : Opts(Opts), Board(settings(), Time, Seed), Peers(Board),
      Owner(Board, Peers), Random(Seed) {
  Board.Self.State = MemberState::Active;
  Board.RegionZones = {"lim-a"};
  Member HomeInstance;
  HomeInstance.Id = instanceIdOf("home");
  HomeInstance.Address = {1, 1};
  Board.Members.ById[HomeInstance.Id] = HomeInstance;
  ServiceConfig Service;
  Service.Id = ServiceId(1);
  Service.Name = "chat-core";
  Service.Saturation = Opts.Saturation;
  UpstreamConfig OnlyUpstream;
  OnlyUpstream.Id = Upstream;
  OnlyUpstream.Zone = "lim-a";
  OnlyUpstream.Address = {2, 2};
  OnlyUpstream.Slots = Opts.Slots;
  Service.Upstreams.push_back(OnlyUpstream);
  Board.Config.Version = ConfigVersion(1);
  Board.Config.Services[Service.Id] = Service;
  Board.Index = ConfigIndex(Board.Config);
  Board.CurrentOwnership.setOwner(Upstream, Board.Self.Id);
}

Duration Model::exponential(Duration Mean) {
  return Duration(static_cast<int64_t>(-static_cast<double>(Mean.count()) *
                                       std::log(1 - Random.fraction())));
}

// Draws the service time together with the request, so that all settings get
// the same requests. The payload carries the service time.
void Model::arrive() {
  if (Time.now() >= End)
    return;
  Submit Body;
  Body.Id = SubmitId(NextId++);
  Body.Service = ServiceId(1);
  Body.Upstream = Upstream;
  Body.Flow = FlowKey(Random.below(200));
  Body.Deadline =
      MinDeadline +
      Duration(static_cast<int64_t>(Random.below(
          static_cast<uint64_t>((MaxDeadline - MinDeadline).count()))));
  Body.Payload = std::to_string(exponential(MeanServiceTime).count());
  SendTimes[Body.Id] = Time.now();
  ++Totals.Offered;
  ActionSink Sink;
  Owner.onSubmit({instanceIdOf("home"), BootId(1)}, std::move(Body), Sink);
  executeActions(Sink);
  const double Gap =
      static_cast<double>(MeanServiceTime.count()) / (Opts.Slots * Opts.Load);
  Time.after(exponential(Duration(static_cast<int64_t>(Gap))),
             [this] { arrive(); });
}

void Model::executeActions(ActionSink &Sink) {
  for (Action &CurrentAction : Sink.Actions) {
    auto *Datagram = std::get_if<SendDatagram>(&CurrentAction);
    if (Datagram == nullptr)
      continue;
    if (const auto *Result = std::get_if<SubmitResult>(&Datagram->Body))
      onResult(*Result);
    else if (const auto *Body = std::get_if<Dispatch>(&Datagram->Body))
      Time.after(LinkDelay, [this, Body = *Body] { receive(Body); });
  }
}

void Model::onResult(const SubmitResult &Result) {
  const auto It = SendTimes.find(Result.Id);
  if (It == SendTimes.end())
    return;
  const double Elapsed =
      std::chrono::duration<double, std::milli>(Time.now() - It->second)
          .count();
  SendTimes.erase(It);
  if (Result.Status == SubmitStatus::Answered) {
    ++Totals.AnsweredInTime;
    Totals.Latencies.push_back(Elapsed);
  } else if (Result.Status == SubmitStatus::NotRun) {
    ++Totals.Refused;
    Totals.RefusalTimes.push_back(Elapsed);
  } else {
    ++Totals.Unknown;
  }
}

void Model::receive(const Dispatch &Body) {
  if (Waiting.size() >= UpstreamBacklog) {
    answer(Body, DispatchStatus::Shed);
    return;
  }
  Waiting.push_back({Body, Time.now() + Body.Deadline});
  startNext();
}

void Model::startNext() {
  while (Running < Opts.Slots && !Waiting.empty()) {
    const Job NextJob = std::move(Waiting.front());
    Waiting.pop_front();
    if (NextJob.Deadline <= Time.now()) {
      answer(NextJob.Body, DispatchStatus::Expired);
      continue;
    }
    ++Running;
    const Duration ServiceTime(std::stoll(NextJob.Body.Payload));
    Totals.AllWork += ServiceTime;
    if (Time.now() + ServiceTime > NextJob.Deadline) {
      ++Totals.LateRuns;
      Totals.LateWork += ServiceTime;
    }
    Time.after(ServiceTime, [this, Body = NextJob.Body] {
      --Running;
      answer(Body, DispatchStatus::Done);
      startNext();
    });
  }
}

void Model::answer(const Dispatch &Body, DispatchStatus Status) {
  Time.after(LinkDelay, [this, Body, Status] {
    ActionSink Sink;
    Owner.onDispatchResult({2, 2}, {Body.Connection, Body.Id, Status, ""},
                           Sink);
    executeActions(Sink);
  });
}

void Model::tick() {
  ActionSink Sink;
  Owner.onTick(Sink);
  executeActions(Sink);
  Time.after(TickInterval, [this] { tick(); });
}

Result Model::run() {
  End = Time.now() + RunTime;
  tick();
  arrive();
  Time.runUntil(End + std::chrono::seconds(2));
  return Totals;
}

std::string saturationLabel(double Saturation) {
  if (Saturation <= 0)
    return "unbounded";
  return std::to_string(Saturation).substr(0, 4);
}

void writeHeader(std::ostream &Table) {
  Table
      << "One upstream behind its owner instance; service 40 ms, deadlines 0.2 "
         "to 1 s\n"
      << "slots  saturation  load  seed  offered  in time  refused  unknown"
         "  ran late  late work  p50 ms  p99 ms  refusal p50 ms\n";
}

void write(const RunOptions &Opts, uint64_t Seed, Result &Totals,
           std::ostream &Table, std::ostream &JsonLines) {
  const double Offered = static_cast<double>(Totals.Offered);
  const auto ShareOf = [&](uint64_t Count) {
    return static_cast<double>(Count) / Offered;
  };
  const double LateWork = static_cast<double>(Totals.LateWork.count()) /
                          static_cast<double>(Totals.AllWork.count());
  const double P50 = percentile(Totals.Latencies, 0.5);
  const double P99 = percentile(Totals.Latencies, 0.99);
  const double RefusedP50 = percentile(Totals.RefusalTimes, 0.5);
  Table << std::fixed << std::setprecision(3) << std::setw(5) << Opts.Slots
        << std::setw(12) << saturationLabel(Opts.Saturation)
        << std::setprecision(1) << std::setw(6) << Opts.Load << std::setw(6)
        << Seed << std::setw(9) << Totals.Offered << std::setprecision(3)
        << std::setw(9) << ShareOf(Totals.AnsweredInTime) << std::setw(9)
        << ShareOf(Totals.Refused) << std::setw(9) << ShareOf(Totals.Unknown)
        << std::setw(10) << ShareOf(Totals.LateRuns) << std::setw(11)
        << LateWork << std::setprecision(1) << std::setw(8) << P50
        << std::setw(8) << P99 << std::setw(16) << RefusedP50 << "\n";
  const nlohmann::json Line = {{"measure", "queueing"},
                               {"slots", Opts.Slots},
                               {"saturation", Opts.Saturation},
                               {"load", Opts.Load},
                               {"seed", Seed},
                               {"offered", Totals.Offered},
                               {"in_time", Totals.AnsweredInTime},
                               {"refused", Totals.Refused},
                               {"unknown", Totals.Unknown},
                               {"ran_late", Totals.LateRuns},
                               {"late_work", LateWork},
                               {"p50_ms", P50},
                               {"p99_ms", P99},
                               {"refusal_p50_ms", RefusedP50}};
  JsonLines << Line.dump() << "\n";
}

} // namespace

int measureQueueing(std::ostream &Table, std::ostream &JsonLines) {
  int MissedTargets = 0;
  writeHeader(Table);
  for (uint32_t Slots : {2U, 20U})
    for (double Load : {0.8, 1.2, 2.0})
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        std::map<double, uint64_t> LateRuns;
        for (double Saturation : {1.0, 1.1, 1.5, 0.0}) {
          const RunOptions Opts{Slots, Saturation, Load};
          Result Totals = Model(Opts, Seed).run();
          LateRuns[Saturation] = Totals.LateRuns;
          write(Opts, Seed, Totals, Table, JsonLines);
        }
        MissedTargets += Load > 1 && LateRuns[1.0] > LateRuns[0.0] ? 1 : 0;
      }
  return MissedTargets;
}

} // namespace indigopoint::measure
