#include "flow_controller.h"

#include "blackboard.h"
#include "flow_pinning.h"
#include "peer_link.h"
#include "request_lifecycle.h"

namespace indigopoint {

namespace {

// A packet that was relayed this often is answered instead of relayed again.
constexpr uint32_t RelayHopLimit = 4;

constexpr Duration UnreachableRetryAfter = std::chrono::milliseconds(200);

RequestKey keyOf(const Request &Work) {
  return {Work.Flow, Work.Service, Work.Id};
}
RequestKey keyOf(const Cancel &Given) {
  return {Given.Flow, Given.Service, Given.Id};
}

} // namespace

struct FlowController::Impl {
  Impl(Blackboard &Board, PeerLink &Peers);

  void relay(InstanceId To, Endpoint Caller, CallerPacket Packet, uint32_t Hops,
             ActionSink &Sink);
  void answerUnknown(Endpoint Caller, const CallerPacket &Packet,
                     ActionSink &Sink);
  void onRequest(Endpoint Caller, Request Work, uint32_t Hops,
                 ActionSink &Sink);
  void onKnownRequest(RequestRecord &Record, Request Work, uint32_t Hops,
                      ActionSink &Sink);
  void onCancel(Endpoint Caller, const Cancel &Given, uint32_t Hops,
                ActionSink &Sink);
  bool isHomeOf(FlowKey Flow) const {
    return Board.CurrentOwnership.homeOf(bucketOf(Flow)) == Board.Self.Id;
  }
  bool hasRecordHere(const CallerPacket &Packet);
  void importRecord(const RequestRecordCopy &Copy);
  RequestRecordCopy copyOf(const RequestRecord &Record) const;
  void showCounts();

  Blackboard &Board;
  PeerLink &Peers;
  ServiceMetricsCache MetricsCache;
  RequestTable Requests;
  FlowPinning Pins;
  RequestLifecycle Lifecycle;
};

FlowController::Impl::Impl(Blackboard &GivenBoard, PeerLink &GivenPeers)
    : Board(GivenBoard), Peers(GivenPeers), MetricsCache(GivenBoard),
      Pins(GivenBoard, GivenPeers, Requests, MetricsCache),
      Lifecycle(GivenBoard, GivenPeers, Requests, Pins, MetricsCache) {}

FlowController::FlowController(Blackboard &Board, PeerLink &Peers)
    : PImpl(std::make_unique<Impl>(Board, Peers)) {}

FlowController::~FlowController() = default;

void FlowController::onPacket(Endpoint Caller, CallerPacket Packet,
                              uint32_t Hops, ActionSink &Sink) {
  const FlowKey Flow =
      std::visit([](const auto &Given) { return Given.Flow; }, Packet);
  const InstanceId Home = PImpl->Board.CurrentOwnership.homeOf(bucketOf(Flow));
  // A request that was accepted before its bucket moved ends here.
  if (Home != PImpl->Board.Self.Id && !PImpl->hasRecordHere(Packet))
    PImpl->relay(Home, Caller, std::move(Packet), Hops, Sink);
  else if (auto *Work = std::get_if<Request>(&Packet))
    PImpl->onRequest(Caller, std::move(*Work), Hops, Sink);
  else if (const auto *Given = std::get_if<Cancel>(&Packet))
    PImpl->onCancel(Caller, *Given, Hops, Sink);
  else if (const auto *Closed = std::get_if<CloseFlow>(&Packet))
    PImpl->Pins.close(Flow, Closed->Service, Sink);
  PImpl->showCounts();
}

bool FlowController::Impl::hasRecordHere(const CallerPacket &Packet) {
  const RequestRecord *Record = nullptr;
  if (const auto *Work = std::get_if<Request>(&Packet))
    Record = Requests.find(keyOf(*Work));
  else if (const auto *Given = std::get_if<Cancel>(&Packet))
    Record = Requests.find(keyOf(*Given));
  return Record != nullptr && Record->Holder == InstanceId();
}

void FlowController::Impl::relay(InstanceId To, Endpoint Caller,
                                 CallerPacket Packet, uint32_t Hops,
                                 ActionSink &Sink) {
  if (Hops >= RelayHopLimit)
    ++Board.EngineMetrics.HopLimitReached;
  else if (To != InstanceId() && Board.Members.find(To) != nullptr) {
    ++Board.EngineMetrics.Relayed;
    Peers.send(To, Relay{Caller, Hops + 1, std::move(Packet)}, Sink);
    return;
  }
  answerUnknown(Caller, Packet, Sink);
}

// Another instance may have run the request, so it is not refused as not run.
void FlowController::Impl::answerUnknown(Endpoint Caller,
                                         const CallerPacket &Packet,
                                         ActionSink &Sink) {
  if (const auto *Work = std::get_if<Request>(&Packet))
    Sink.send(Caller, Reply{Work->Flow, Work->Id, Outcome::Unknown,
                            UnreachableRetryAfter, ""});
  else if (const auto *Given = std::get_if<Cancel>(&Packet))
    Sink.send(Caller,
              Reply{Given->Flow, Given->Id, Outcome::Unknown, Duration(), ""});
}

void FlowController::Impl::onRequest(Endpoint Caller, Request Work,
                                     uint32_t Hops, ActionSink &Sink) {
  RequestRecord *Record = Requests.find(keyOf(Work));
  if (Record == nullptr) {
    Lifecycle.accept(Caller, std::move(Work), Sink);
    return;
  }
  ++MetricsCache.metricsOf(Work.Service).Duplicates;
  Record->Caller = Caller;
  Requests.extend(*Record, Board.now());
  onKnownRequest(*Record, std::move(Work), Hops, Sink);
}

void FlowController::Impl::onKnownRequest(RequestRecord &Record, Request Work,
                                          uint32_t Hops, ActionSink &Sink) {
  if (Record.Phase == RequestPhase::Finished) {
    if (Record.AnswerEvicted && Record.Idempotent && isHomeOf(Record.Key.Flow))
      Lifecycle.rerun(Record, std::move(Work), Sink);
    else
      Lifecycle.sendReply(Record, Sink);
    return;
  }
  if (Record.ActiveSubmission != nullptr)
    return;
  // Its previous home runs it and answers, as long as it is there.
  const Member *Holder = Board.Members.find(Record.Holder);
  const bool Gone = Holder == nullptr || Holder->State == MemberState::Dead ||
                    Holder->State == MemberState::Left;
  if (!Gone)
    relay(Record.Holder, Record.Caller, std::move(Work), Hops, Sink);
  else
    Lifecycle.rerun(Record, std::move(Work), Sink);
}

void FlowController::Impl::onCancel(Endpoint Caller, const Cancel &Given,
                                    uint32_t Hops, ActionSink &Sink) {
  RequestRecord *Record = Requests.find(keyOf(Given));
  if (Record == nullptr) {
    Lifecycle.cancelUnknown(Caller, Given, Sink);
    return;
  }
  Record->Caller = Caller;
  if (Record->Phase == RequestPhase::InProgress &&
      Record->ActiveSubmission == nullptr)
    relay(Record->Holder, Caller, Given, Hops, Sink);
  else
    Lifecycle.cancel(*Record, Sink);
}

void FlowController::onSubmitResult(const Sender &From, SubmitResult Result,
                                    ActionSink &Sink) {
  PImpl->Lifecycle.onSubmitResult(From, std::move(Result), Sink);
  PImpl->showCounts();
}

void FlowController::onPinReplica(const PinReplica &Replica) {
  PImpl->Pins.onPinReplica(Replica);
}

void FlowController::onTick(ActionSink &Sink) {
  PImpl->Lifecycle.onTick(Sink);
  PImpl->Pins.onTick(Sink);
  PImpl->Requests.expire(PImpl->Board.now());
  PImpl->showCounts();
}

void FlowController::onPlacementChanged(ActionSink &Sink) {
  PImpl->MetricsCache.clear();
  PImpl->Pins.onPlacementChanged(Sink);
  PImpl->Lifecycle.onPlacementChanged();
}

void FlowController::onInstanceLost(InstanceId Lost, ActionSink &Sink) {
  PImpl->Lifecycle.onInstanceLost(Lost, Sink);
  PImpl->Requests.forgetHolder(Lost);
  PImpl->showCounts();
}

void FlowController::exportBucket(uint32_t Bucket, HandoverBatch &Batch) const {
  PImpl->Pins.exportBucket(Bucket, Batch);
  PImpl->Requests.forEachInBucket(Bucket, [&](const RequestRecord &Record) {
    Batch.Requests.push_back(PImpl->copyOf(Record));
  });
}

// A large answer stays here: its record goes out as one that this instance
// holds, so that retransmissions are relayed here.
RequestRecordCopy
FlowController::Impl::copyOf(const RequestRecord &Record) const {
  RequestRecordCopy Copy;
  Copy.Flow = Record.Key.Flow;
  Copy.Service = Record.Key.Service;
  Copy.Id = Record.Key.Id;
  Copy.Idempotent = Record.Idempotent;
  Copy.Phase = Record.Phase;
  Copy.Result = Record.AnswerEvicted ? Outcome::Unknown : Record.Result;
  Copy.RetryAfter = Record.RetryAfter;
  Copy.Age = Board.now() - Record.Arrived;
  if (Record.ActiveSubmission != nullptr ||
      Record.Payload.size() > SmallAnswer) {
    Copy.Phase = RequestPhase::InProgress;
    Copy.Holder = Board.Self.Id;
  } else if (Record.Phase == RequestPhase::InProgress) {
    Copy.Holder = Record.Holder;
  } else {
    Copy.Payload = Record.Payload;
  }
  return Copy;
}

void FlowController::importBatch(const HandoverBatch &Batch, ActionSink &Sink) {
  for (const Pin &Given : Batch.Pins)
    PImpl->Pins.importPin(Given);
  for (const RequestRecordCopy &Copy : Batch.Requests)
    PImpl->importRecord(Copy);
  if (!Batch.Pins.empty() || !Batch.Requests.empty())
    Sink.log(LogLevel::Debug, "flow",
             "took over " + std::to_string(Batch.Pins.size()) + " pins and " +
                 std::to_string(Batch.Requests.size()) +
                 " request records from the previous home");
  PImpl->showCounts();
}

void FlowController::Impl::importRecord(const RequestRecordCopy &Copy) {
  const RequestKey Key{Copy.Flow, Copy.Service, Copy.Id};
  RequestRecord *Known = Requests.find(Key);
  if (Known != nullptr && Known->Holder == InstanceId())
    return;
  if (Copy.Phase == RequestPhase::InProgress) {
    if (Known != nullptr)
      return;
    RequestRecord &Record = Requests.insertHeld(Key, Copy.Holder, Board.now());
    Record.Idempotent = Copy.Idempotent;
    Record.MayHaveRun = true;
    return;
  }
  RequestRecord &Record =
      Known != nullptr ? *Known : Requests.insert(Key, Board.now());
  Record.Idempotent = Copy.Idempotent;
  Record.MayHaveRun = Copy.Result != Outcome::RefusedNotRun;
  Record.Arrived = Board.now() - Copy.Age;
  Requests.finish(Record, Copy.Result, Copy.RetryAfter, Copy.Payload,
                  Board.now());
}

void FlowController::dropBucket(uint32_t Bucket) {
  PImpl->Pins.dropBucket(Bucket);
  PImpl->Requests.forEachInBucket(Bucket, [&](RequestRecord &Record) {
    if (Record.ActiveSubmission == nullptr &&
        Record.Payload.size() <= SmallAnswer)
      PImpl->Requests.erase(Record);
  });
  PImpl->showCounts();
}

void FlowController::reset() {
  PImpl->Lifecycle.clear();
  PImpl->Requests.clear();
  PImpl->Pins.clear();
  PImpl->showCounts();
}

uint32_t FlowController::requestsInProgress() const {
  return PImpl->Lifecycle.inProgress();
}

size_t FlowController::flowMemoryBytes() const {
  return PImpl->Pins.memoryBytes();
}

void FlowController::Impl::showCounts() {
  Board.OpenFlows = Pins.openFlows();
  Board.RequestsInProgress = Lifecycle.inProgress();
}

} // namespace indigopoint
