#include "caller_pool.h"

#include <algorithm>
#include <cmath>

#include "echo.h"
#include "wire_codec.h"

namespace indigopoint::standin {

CallerPool::CallerPool(TimerLoop &Loop, CallerSettings Settings, uint64_t Seed)
    : Loop(Loop), Settings(std::move(Settings)), Random(Seed) {
  for (uint32_t Index = 0; Index < this->Settings.Sockets; ++Index)
    Sockets.push_back(std::make_unique<UdpSocket>(
        Loop, [this](Endpoint From, std::string_view Bytes) {
          onDatagram(From, Bytes);
        }));
  for (uint32_t Index = 0; Index < this->Settings.Flows; ++Index) {
    const FlowKey Key(this->Settings.FirstFlow + Index);
    FlowState &Flow = Flows[Key];
    Flow.Key = Key;
    Flow.Socket = Sockets[Index % Sockets.size()].get();
  }
}

void CallerPool::start() {
  for (auto &[Key, Flow] : Flows)
    scheduleNext(Flow, Duration(0));
}

void CallerPool::finish(DoneHook Hook) {
  OnDone = std::move(Hook);
  if (OpenCount == 0)
    closeFlows();
}

void CallerPool::closeFlows() {
  for (const auto &[Key, Flow] : Flows)
    send(Flow, CloseFlow{Key, Settings.Service});
  OnDone();
}

void CallerPool::scheduleNext(FlowState &Flow, Duration MinPause) {
  const double Mean = static_cast<double>(Settings.Interval.count());
  const Duration Pause(
      static_cast<int64_t>(-std::log(1.0 - Random.fraction()) * Mean));
  Loop.after(std::max(Pause, MinPause), [this, &Flow] {
    if (!OnDone)
      sendNext(Flow);
  });
}

std::string CallerPool::makePayload() {
  const size_t Size =
      Settings.PayloadSizes[Random.below(Settings.PayloadSizes.size())];
  std::string Payload(Size, '\0');
  for (char &Byte : Payload)
    Byte = static_cast<char>(Random.below(256));
  return Payload;
}

void CallerPool::sendNext(FlowState &Flow) {
  OpenRequest NewRequest;
  NewRequest.Id = RequestId(++Flow.LastRequest);
  NewRequest.Idempotent = Random.below(100) < Settings.IdempotentPercent;
  NewRequest.Payload = makePayload();
  NewRequest.SentAt = Loop.now();
  NewRequest.SentAtWallClock = wallClockMs();
  Flow.CurrentRequest = std::move(NewRequest);
  ++OpenCount;
  transmit(Flow);
  scheduleRetransmission(Flow, Settings.FirstRetransmission);
}

void CallerPool::transmit(FlowState &Flow) {
  const OpenRequest &CurrentRequest = *Flow.CurrentRequest;
  const Duration Elapsed = Loop.now() - CurrentRequest.SentAt;
  Record.countSent(CurrentRequest.Attempt > 0);
  send(Flow,
       Request{Flow.Key, Settings.Service, CurrentRequest.Id,
               CurrentRequest.Attempt, CurrentRequest.Idempotent,
               Settings.Deadline - Elapsed, CurrentRequest.Payload, Elapsed});
}

void CallerPool::scheduleRetransmission(FlowState &Flow, Duration Delay) {
  const RequestId Id = Flow.CurrentRequest->Id;
  const Duration Remaining =
      Flow.CurrentRequest->SentAt + Settings.Deadline - Loop.now();
  Loop.after(std::min(Delay, Remaining), [this, &Flow, Id, Delay] {
    if (!Flow.CurrentRequest || Flow.CurrentRequest->Id != Id)
      return;
    if (Loop.now() >= Flow.CurrentRequest->SentAt + Settings.Deadline) {
      recordLostReply(Flow, "no reply before the deadline");
      endRequest(Flow, "no-reply", Duration(0));
      return;
    }
    ++Flow.CurrentRequest->Attempt;
    transmit(Flow);
    scheduleRetransmission(Flow, 2 * Delay);
  });
}

void CallerPool::send(const FlowState &Flow, const Message &Body) {
  std::string Bytes;
  if (encodeDatagram(Sender(), Body, Bytes))
    throw std::runtime_error("a request exceeds the size of a datagram; give "
                             "smaller payload sizes");
  Flow.Socket->send(Settings.Fabric, Bytes);
}

void CallerPool::onDatagram(Endpoint, std::string_view Bytes) {
  Sender Origin;
  Message Body;
  if (decodeDatagram(Bytes, Origin, Body)) {
    Record.countUndecodable();
    return;
  }
  if (const auto *ReceivedReply = std::get_if<Reply>(&Body))
    onReply(*ReceivedReply);
  else
    Record.countUndecodable();
}

void CallerPool::onReply(const Reply &ReceivedReply) {
  const auto It = Flows.find(ReceivedReply.Flow);
  if (It == Flows.end() || ReceivedReply.Id.value() > It->second.LastRequest) {
    Record.recordWrongReply("reply to " +
                            requestName(ReceivedReply.Flow, ReceivedReply.Id) +
                            ", which was not sent here");
    return;
  }
  FlowState &Flow = It->second;
  if (!Flow.CurrentRequest || Flow.CurrentRequest->Id != ReceivedReply.Id) {
    Record.countLateReply();
    return;
  }
  if (ReceivedReply.Result == Outcome::Answered) {
    onSuccessReply(Flow, ReceivedReply);
    return;
  }
  const bool Refused = ReceivedReply.Result == Outcome::RefusedNotRun;
  if (Refused)
    Record.recordRefused(requestName(Flow.Key, ReceivedReply.Id),
                         wallClockMs());
  recordLostReply(Flow, std::string(nameOf(ReceivedReply.Result)), Refused);
  endRequest(Flow, std::string(nameOf(ReceivedReply.Result)),
             ReceivedReply.RetryAfter);
}

void CallerPool::onSuccessReply(FlowState &Flow, const Reply &ReceivedReply) {
  EchoHead Head;
  std::string_view Payload;
  if (!decodeEcho(ReceivedReply.Payload, Head, Payload) ||
      Head.Flow != Flow.Key || Head.Request != ReceivedReply.Id ||
      Head.Service != Settings.Service ||
      Payload != Flow.CurrentRequest->Payload) {
    Record.recordWrongReply("the answer to " +
                            requestName(Flow.Key, ReceivedReply.Id) +
                            " is malformed or belongs to another request");
    endRequest(Flow, "wrong-reply", Duration(0));
    return;
  }
  Record.countAnswer(Loop.now() - Flow.CurrentRequest->SentAt, Head.Upstream);
  recordUpstream(Flow, Head.Upstream);
  endRequest(Flow, std::string(nameOf(ReceivedReply.Result)),
             ReceivedReply.RetryAfter);
}

void CallerPool::recordUpstream(FlowState &Flow, const std::string &Upstream) {
  const int64_t Now = wallClockMs();
  if (!Flow.Upstream.empty() && Flow.Upstream != Upstream)
    Record.recordDisruption(
        {Flow.Key, Flow.LastAnswer, Now, Flow.Upstream,
         "flow " + std::to_string(Flow.Key.value()) + " went from " +
             Flow.Upstream + " to " + Upstream + " between " +
             std::to_string(Flow.LastAnswer) + " and " + std::to_string(Now)});
  Flow.Upstream = Upstream;
  Flow.LastAnswer = Now;
}

// Only an established flow, which got an answer before, can be disrupted.
void CallerPool::recordLostReply(const FlowState &Flow,
                                 const std::string &Ending, bool Refused) {
  if (Flow.Upstream.empty())
    return;
  const OpenRequest &CurrentRequest = *Flow.CurrentRequest;
  const int64_t Now = wallClockMs();
  Record.recordDisruption(
      {Flow.Key, CurrentRequest.SentAtWallClock, Now, "",
       requestName(Flow.Key, CurrentRequest.Id) + " ended with " + Ending +
           " at attempt " + std::to_string(CurrentRequest.Attempt) + ", sent " +
           std::to_string(CurrentRequest.SentAtWallClock) + ", ended " +
           std::to_string(Now),
       Refused});
}

void CallerPool::endRequest(FlowState &Flow, const std::string &Text,
                            Duration Pause) {
  Record.countEnd(Text);
  Flow.CurrentRequest.reset();
  --OpenCount;
  if (!OnDone)
    scheduleNext(Flow, Pause);
  else if (OpenCount == 0)
    closeFlows();
}

} // namespace indigopoint::standin
