#include "simulation.h"

#include <algorithm>
#include <cmath>

#include "placement.h"

namespace indigopoint::measure {

namespace {

constexpr Duration RetransmissionInterval = std::chrono::milliseconds(200);
constexpr Duration RequestDeadline = std::chrono::seconds(3);
constexpr Duration NetworkDelay = std::chrono::microseconds(500);
constexpr uint32_t UpstreamBacklog = 6;

} // namespace

void VirtualTime::after(Duration Delay, std::function<void()> Run) {
  Queue.push({Now + Delay, NextOrder++, std::move(Run)});
}

void VirtualTime::runUntil(TimePoint End) {
  while (!Queue.empty() && Queue.top().DueTime <= End) {
    const Entry NextEntry = Queue.top();
    Queue.pop();
    Now = NextEntry.DueTime;
    NextEntry.Run();
  }
  Now = End;
}

Simulation::Simulation(Strategy &StrategyToTest, Configuration InitialConfig,
                       size_t Count, Load Opts, uint64_t Seed)
    : Random(Seed), Config(std::move(InitialConfig)),
      TestedStrategy(StrategyToTest), InstanceCount(Count), LoadOpts(Opts) {
  for (const auto &[Id, Service] : Config.Services)
    for (const UpstreamConfig &Settings : Service.Upstreams) {
      Upstream &NewUpstream = Upstreams[Settings.Address];
      NewUpstream.Id = Settings.Id;
      NewUpstream.Service = Id;
    }
  const auto FirstService = Config.Services.begin();
  for (size_t Index = 0; Index < LoadOpts.Flows; ++Index) {
    Flow NewFlow;
    NewFlow.Key = FlowKey(Random.next());
    // One flow in eight belongs to the last service, which is the bulk one.
    NewFlow.Service =
        Index % 8 == 0 ? Config.Services.rbegin()->first : FirstService->first;
    FlowIndex[NewFlow.Key] = Index;
    Flows.push_back(NewFlow);
  }
}

Duration Simulation::drawExponential(Duration Mean) {
  const double Factor = -std::log(1.0 - Random.fraction());
  return Duration(
      static_cast<int64_t>(Factor * static_cast<double>(Mean.count())));
}

Tally Simulation::run(const std::function<void(Simulation &)> &Script) {
  TestedStrategy.start(*this, Config, InstanceCount);
  Time.runUntil(Time.now() + std::chrono::seconds(5));
  for (size_t Index = 0; Index < Flows.size(); ++Index)
    Time.after(drawExponential(LoadOpts.RequestGap),
               [this, Index] { sendNext(Index); });
  Script(*this);
  Time.runUntil(Time.now() + LoadOpts.RunTime);
  measureImbalance(CurrentTally);
  for (const auto &[Key, Count] : RunCounts)
    CurrentTally.RanTwice += Count > 1 ? 1 : 0;
  return CurrentTally;
}

void Simulation::sendNext(size_t Index) {
  Flow &CurrentFlow = Flows[Index];
  Request Body;
  Body.Flow = CurrentFlow.Key;
  Body.Service = CurrentFlow.Service;
  Body.Id = RequestId(CurrentFlow.NextRequest++);
  Body.Idempotent = Random.fraction() >= LoadOpts.NonIdempotentShare;
  Body.Deadline = RequestDeadline;
  Body.Payload = std::to_string(Body.Id.value());
  PendingRequests[{CurrentFlow.Key, Body.Id}] = {Body, false};
  ++CurrentTally.Requests;
  transmit(CurrentFlow.Key, Body.Id);
  Time.after(drawExponential(LoadOpts.RequestGap),
             [this, Index] { sendNext(Index); });
}

void Simulation::transmit(FlowKey Key, RequestId Id) {
  const auto It = PendingRequests.find({Key, Id});
  if (It == PendingRequests.end())
    return;
  Request &Body = It->second.Body;
  const size_t FirstChoice = Random.below(InstanceCount);
  size_t ReceivingInstance = FirstChoice;
  for (size_t Step = 0; Step < InstanceCount; ++Step) {
    ReceivingInstance = (FirstChoice + Step) % InstanceCount;
    if (TestedStrategy.isReachable(ReceivingInstance))
      break;
  }
  if (Random.fraction() >= LoadOpts.LossRate)
    Time.after(NetworkDelay, [this, ReceivingInstance, Copy = Body] {
      if (TestedStrategy.isReachable(ReceivingInstance))
        TestedStrategy.onRequest(ReceivingInstance, Endpoint{0x7f000001, 9},
                                 Copy);
    });
  ++Body.Attempt;
  const Duration Wait = RetransmissionInterval * Body.Attempt;
  Body.Deadline -= Wait;
  Body.Age += Wait;
  if (Body.Deadline > Duration())
    Time.after(Wait, [this, Key, Id] { transmit(Key, Id); });
  else
    PendingRequests.erase(It);
}

void Simulation::toUpstream(Endpoint Destination, const Dispatch &Body) {
  Time.after(NetworkDelay, [this, Destination, Body] {
    const auto It = Upstreams.find(Destination);
    if (It == Upstreams.end() || !It->second.Up)
      return;
    Upstream &Receiver = It->second;
    if (Receiver.Service != Body.Service)
      ++CurrentTally.Misdelivered;
    if (Receiver.Running < 2) {
      startRun(Destination, Body);
    } else if (Receiver.Waiting.size() < UpstreamBacklog) {
      Receiver.Waiting.push(Body);
    } else {
      ++CurrentTally.Shed;
      TestedStrategy.onDispatchResult(
          Destination, {Body.Connection, Body.Id, DispatchStatus::Shed, ""});
    }
  });
}

void Simulation::startRun(Endpoint Address, const Dispatch &Body) {
  Upstream &Server = Upstreams[Address];
  ++Server.Running;
  if (Server.FirstUse == TimePoint())
    Server.FirstUse = Time.now();
  if (!Body.Idempotent)
    ++RunCounts[{Body.Flow, Body.Request}];
  const auto It = PendingRequests.find({Body.Flow, Body.Request});
  if (It != PendingRequests.end())
    It->second.Ran = true;
  recordServingUpstream(Server, Body.Flow);
  const Duration ServiceTime = drawExponential(LoadOpts.ServiceTime);
  Server.Busy += ServiceTime;
  Time.after(ServiceTime, [this, Address, Body] { finishRun(Address, Body); });
}

void Simulation::finishRun(Endpoint Address, const Dispatch &Body) {
  Upstream &Server = Upstreams[Address];
  if (!Server.Up)
    return;
  --Server.Running;
  ++Server.Delivered;
  Time.after(NetworkDelay, [this, Address, Body] {
    TestedStrategy.onDispatchResult(
        Address,
        {Body.Connection, Body.Id, DispatchStatus::Done, Body.Payload});
  });
  if (!Server.Waiting.empty()) {
    const Dispatch NextBody = Server.Waiting.front();
    Server.Waiting.pop();
    startRun(Address, NextBody);
  }
}

void Simulation::recordServingUpstream(const Upstream &Server, FlowKey Key) {
  Flow &CurrentFlow = Flows[FlowIndex[Key]];
  if (CurrentFlow.LastUpstream != UpstreamId() &&
      CurrentFlow.LastUpstream != Server.Id) {
    if (MovableUpstreams.count(CurrentFlow.LastUpstream) != 0) {
      ++CurrentTally.MovedFlows;
    } else if (!CurrentFlow.Broken) {
      CurrentFlow.Broken = true;
      ++CurrentTally.BrokenFlows;
    }
  }
  CurrentFlow.LastUpstream = Server.Id;
}

void Simulation::toCaller(const Reply &Answer) {
  const auto It = PendingRequests.find({Answer.Flow, Answer.Id});
  if (It == PendingRequests.end())
    return;
  switch (Answer.Result) {
  case Outcome::Answered:
    ++CurrentTally.Answered;
    break;
  case Outcome::RefusedNotRun:
    ++CurrentTally.Refused;
    if (It->second.Ran)
      ++CurrentTally.RefusedButRan;
    break;
  case Outcome::Unknown:
    ++CurrentTally.Unknown;
    break;
  }
  PendingRequests.erase(It);
}

void Simulation::crashUpstream(size_t Index) {
  const UpstreamConfig &Settings =
      Config.Services.begin()->second.Upstreams[Index];
  Upstreams[Settings.Address].Up = false;
}

void Simulation::measureImbalance(Tally &Result) const {
  uint64_t MaxDelivered = 0;
  uint64_t Delivered = 0;
  Duration MaxBusy{};
  Duration Busy{};
  int64_t Count = 0;
  for (const auto &[Address, Server] : Upstreams) {
    // Upstreams that were added or removed during the run served for less
    // time.
    if (Server.Service != Config.Services.begin()->first || !Server.Up ||
        MovableUpstreams.count(Server.Id) != 0)
      continue;
    ++Count;
    Delivered += Server.Delivered;
    Busy += Server.Busy;
    MaxDelivered = std::max(MaxDelivered, Server.Delivered);
    MaxBusy = std::max(MaxBusy, Server.Busy);
  }
  if (Count == 0 || Delivered == 0)
    return;
  const auto UpstreamCount = static_cast<double>(Count);
  Result.Imbalance = static_cast<double>(MaxDelivered) * UpstreamCount /
                     static_cast<double>(Delivered);
  Result.SlotImbalance = static_cast<double>(MaxBusy.count()) * UpstreamCount /
                         static_cast<double>(Busy.count());
}

} // namespace indigopoint::measure
