#include "simulation.h"

#include <algorithm>
#include <cmath>

#include "placement.h"

namespace indigopoint::measure {

namespace {

constexpr Duration RepeatAfter = std::chrono::milliseconds(200);
constexpr Duration RequestDeadline = std::chrono::seconds(3);
constexpr Duration NetworkDelay = std::chrono::microseconds(500);
constexpr uint32_t UpstreamBacklog = 6;

} // namespace

void VirtualTime::after(Duration Delay, std::function<void()> Run) {
  Queue.push({Now + Delay, NextOrder++, std::move(Run)});
}

void VirtualTime::runUntil(TimePoint End) {
  while (!Queue.empty() && Queue.top().At <= End) {
    const Entry Next = Queue.top();
    Queue.pop();
    Now = Next.At;
    Next.Run();
  }
  Now = End;
}

Simulation::Simulation(Strategy &GivenSubject, Configuration GivenConfig,
                       size_t GivenInstances, Load GivenLoad, uint64_t Seed)
    : Random(Seed), Config(std::move(GivenConfig)), Subject(GivenSubject),
      Instances(GivenInstances), Given(GivenLoad) {
  for (const auto &[Id, Service] : Config.Services)
    for (const UpstreamConfig &Target : Service.Upstreams) {
      Upstream &Made = Upstreams[Target.Address];
      Made.Id = Target.Id;
      Made.Service = Id;
    }
  const auto First = Config.Services.begin();
  for (size_t Index = 0; Index < Given.Flows; ++Index) {
    Flow Made;
    Made.Key = FlowKey(Random.next());
    // One flow in eight belongs to the last service, which is the bulk one.
    Made.Service =
        Index % 8 == 0 ? Config.Services.rbegin()->first : First->first;
    FlowIndex[Made.Key] = Index;
    Flows.push_back(Made);
  }
}

Duration Simulation::jittered(Duration Mean) {
  const double Factor = -std::log(1.0 - Random.fraction());
  return Duration(
      static_cast<int64_t>(Factor * static_cast<double>(Mean.count())));
}

Tally Simulation::run(const std::function<void(Simulation &)> &Script) {
  Subject.start(*this, Config, Instances);
  Time.runUntil(Time.now() + std::chrono::seconds(5));
  for (size_t Index = 0; Index < Flows.size(); ++Index)
    Time.after(jittered(Given.RequestGap), [this, Index] { sendNext(Index); });
  Script(*this);
  Time.runUntil(Time.now() + Given.RunTime);
  measureImbalance(Counted);
  for (const auto &[Key, Count] : Runs)
    Counted.Doubled += Count > 1 ? 1 : 0;
  return Counted;
}

void Simulation::sendNext(size_t Index) {
  Flow &Of = Flows[Index];
  Request Content;
  Content.Flow = Of.Key;
  Content.Service = Of.Service;
  Content.Id = RequestId(Of.NextRequest++);
  Content.Idempotent = Random.fraction() >= Given.NonIdempotentShare;
  Content.Deadline = RequestDeadline;
  Content.Payload = std::to_string(Content.Id.value());
  Open[{Of.Key, Content.Id}] = {Content, false};
  ++Counted.Requests;
  transmit(Of.Key, Content.Id);
  Time.after(jittered(Given.RequestGap), [this, Index] { sendNext(Index); });
}

void Simulation::transmit(FlowKey Key, RequestId Id) {
  const auto It = Open.find({Key, Id});
  if (It == Open.end())
    return;
  Request &Content = It->second.Content;
  const size_t First = Random.below(Instances);
  size_t Ingress = First;
  for (size_t Step = 0; Step < Instances; ++Step) {
    Ingress = (First + Step) % Instances;
    if (Subject.isReachable(Ingress))
      break;
  }
  if (Random.fraction() >= Given.LossRate)
    Time.after(NetworkDelay, [this, Ingress, Copy = Content] {
      if (Subject.isReachable(Ingress))
        Subject.onRequest(Ingress, Endpoint{0x7f000001, 9}, Copy);
    });
  ++Content.Attempt;
  const Duration Wait = RepeatAfter * Content.Attempt;
  Content.Deadline -= Wait;
  Content.Age += Wait;
  if (Content.Deadline > Duration())
    Time.after(Wait, [this, Key, Id] { transmit(Key, Id); });
  else
    Open.erase(It);
}

void Simulation::toUpstream(Endpoint To, const Dispatch &Work) {
  Time.after(NetworkDelay, [this, To, Work] {
    const auto It = Upstreams.find(To);
    if (It == Upstreams.end() || !It->second.Up)
      return;
    Upstream &At = It->second;
    if (At.Service != Work.Service)
      ++Counted.Misdelivered;
    if (At.Running < 2) {
      startWork(To, Work);
    } else if (At.Waiting.size() < UpstreamBacklog) {
      At.Waiting.push(Work);
    } else {
      ++Counted.Shed;
      Subject.onDispatchResult(
          To, {Work.Connection, Work.Id, DispatchStatus::Shed, ""});
    }
  });
}

void Simulation::startWork(Endpoint At, const Dispatch &Work) {
  Upstream &By = Upstreams[At];
  ++By.Running;
  if (By.FirstUse == TimePoint())
    By.FirstUse = Time.now();
  if (!Work.Idempotent)
    ++Runs[{Work.Flow, Work.Request}];
  const auto It = Open.find({Work.Flow, Work.Request});
  if (It != Open.end())
    It->second.Ran = true;
  noteServed(By, Work.Flow);
  const Duration Takes = jittered(Given.ServiceTime);
  By.Busy += Takes;
  Time.after(Takes, [this, At, Work] { finishWork(At, Work); });
}

void Simulation::finishWork(Endpoint At, const Dispatch &Work) {
  Upstream &By = Upstreams[At];
  if (!By.Up)
    return;
  --By.Running;
  ++By.Delivered;
  Time.after(NetworkDelay, [this, At, Work] {
    Subject.onDispatchResult(
        At, {Work.Connection, Work.Id, DispatchStatus::Done, Work.Payload});
  });
  if (!By.Waiting.empty()) {
    const Dispatch Next = By.Waiting.front();
    By.Waiting.pop();
    startWork(At, Next);
  }
}

void Simulation::noteServed(const Upstream &By, FlowKey Key) {
  Flow &Of = Flows[FlowIndex[Key]];
  if (Of.Seen != UpstreamId() && Of.Seen != By.Id) {
    if (Departing.count(Of.Seen) != 0) {
      ++Counted.MovedFlows;
    } else if (!Of.Broken) {
      Of.Broken = true;
      ++Counted.BrokenFlows;
    }
  }
  Of.Seen = By.Id;
}

void Simulation::toCaller(const Reply &Answer) {
  const auto It = Open.find({Answer.Flow, Answer.Id});
  if (It == Open.end())
    return;
  switch (Answer.Result) {
  case Outcome::Answered:
    ++Counted.Answered;
    break;
  case Outcome::RefusedNotRun:
    ++Counted.Refused;
    if (It->second.Ran)
      ++Counted.FalseNotRun;
    break;
  case Outcome::Unknown:
    ++Counted.Unknown;
    break;
  }
  Open.erase(It);
}

void Simulation::crashUpstream(size_t Index) {
  const UpstreamConfig &Target =
      Config.Services.begin()->second.Upstreams[Index];
  Upstreams[Target.Address].Up = false;
}

void Simulation::measureImbalance(Tally &Result) const {
  uint64_t MostDelivered = 0;
  uint64_t Delivered = 0;
  Duration MostBusy{};
  Duration Busy{};
  int64_t Count = 0;
  for (const auto &[At, Target] : Upstreams) {
    // Upstreams that came or went during the run had less time to serve.
    if (Target.Service != Config.Services.begin()->first || !Target.Up ||
        Departing.count(Target.Id) != 0)
      continue;
    ++Count;
    Delivered += Target.Delivered;
    Busy += Target.Busy;
    MostDelivered = std::max(MostDelivered, Target.Delivered);
    MostBusy = std::max(MostBusy, Target.Busy);
  }
  if (Count == 0 || Delivered == 0)
    return;
  const auto Upstream = static_cast<double>(Count);
  Result.Imbalance = static_cast<double>(MostDelivered) * Upstream /
                     static_cast<double>(Delivered);
  Result.SlotImbalance = static_cast<double>(MostBusy.count()) * Upstream /
                         static_cast<double>(Busy.count());
}

} // namespace indigopoint::measure
