#include "flow_controller.h"

#include "blackboard.h"
#include "flow_pinning.h"
#include "peer_link.h"
#include "request_lifecycle.h"

namespace indigopoint {

namespace {

// A packet that was relayed this many times is answered with Unknown instead
// of being relayed again.
constexpr uint32_t RelayHopLimit = 4;

constexpr Duration UnreachableRetryAfter = std::chrono::milliseconds(200);

RequestKey keyOf(const Request &CallerRequest) {
  return {CallerRequest.Flow, CallerRequest.Service, CallerRequest.Id};
}
RequestKey keyOf(const Cancel &CancelMessage) {
  return {CancelMessage.Flow, CancelMessage.Service, CancelMessage.Id};
}

} // namespace

struct FlowController::Impl {
  Impl(Blackboard &Board, PeerLink &Peers);

  void relay(InstanceId Target, Endpoint Caller, CallerPacket Packet,
             uint32_t Hops, ActionSink &Sink);
  void replyWithOutcomeUnknown(Endpoint Caller, const CallerPacket &Packet,
                               ActionSink &Sink);
  void onRequest(Endpoint Caller, Request CallerRequest, uint32_t Hops,
                 ActionSink &Sink);
  void onKnownRequest(RequestRecord &Record, Request CallerRequest,
                      uint32_t Hops, ActionSink &Sink);
  void onCancel(Endpoint Caller, const Cancel &CancelMessage, uint32_t Hops,
                ActionSink &Sink);
  bool isHomeOf(FlowKey Flow) const {
    return Board.CurrentOwnership.homeOf(bucketOf(Flow)) == Board.Self.Id;
  }
  bool hasRecordHere(const CallerPacket &Packet);
  void importRecord(const RequestRecordCopy &Copy);
  RequestRecordCopy copyOf(const RequestRecord &Record) const;
  void publishCounts();

  Blackboard &Board;
  PeerLink &Peers;
  ServiceMetricsCache MetricsCache;
  RequestTable Requests;
  FlowPinning Pinning;
  RequestLifecycle Lifecycle;
};

FlowController::Impl::Impl(Blackboard &GivenBoard, PeerLink &GivenPeers)
    : Board(GivenBoard), Peers(GivenPeers), MetricsCache(GivenBoard),
      Pinning(GivenBoard, GivenPeers, Requests, MetricsCache),
      Lifecycle(GivenBoard, GivenPeers, Requests, Pinning, MetricsCache) {}

FlowController::FlowController(Blackboard &Board, PeerLink &Peers)
    : PImpl(std::make_unique<Impl>(Board, Peers)) {}

FlowController::~FlowController() = default;

void FlowController::onPacket(Endpoint Caller, CallerPacket Packet,
                              uint32_t Hops, ActionSink &Sink) {
  const FlowKey Flow =
      std::visit([](const auto &Message) { return Message.Flow; }, Packet);
  const InstanceId HomeInstance =
      PImpl->Board.CurrentOwnership.homeOf(bucketOf(Flow));
  // Requests accepted before their bucket moved are completed by this instance.
  if (HomeInstance != PImpl->Board.Self.Id && !PImpl->hasRecordHere(Packet))
    PImpl->relay(HomeInstance, Caller, std::move(Packet), Hops, Sink);
  else if (auto *CallerRequest = std::get_if<Request>(&Packet))
    PImpl->onRequest(Caller, std::move(*CallerRequest), Hops, Sink);
  else if (const auto *CancelMessage = std::get_if<Cancel>(&Packet))
    PImpl->onCancel(Caller, *CancelMessage, Hops, Sink);
  else if (const auto *CloseMessage = std::get_if<CloseFlow>(&Packet))
    PImpl->Pinning.close(Flow, CloseMessage->Service, Sink);
  PImpl->publishCounts();
}

bool FlowController::Impl::hasRecordHere(const CallerPacket &Packet) {
  const RequestRecord *Record = nullptr;
  if (const auto *CallerRequest = std::get_if<Request>(&Packet))
    Record = Requests.find(keyOf(*CallerRequest));
  else if (const auto *CancelMessage = std::get_if<Cancel>(&Packet))
    Record = Requests.find(keyOf(*CancelMessage));
  return Record != nullptr && Record->RunningInstance == InstanceId();
}

void FlowController::Impl::relay(InstanceId Target, Endpoint Caller,
                                 CallerPacket Packet, uint32_t Hops,
                                 ActionSink &Sink) {
  if (Hops >= RelayHopLimit)
    ++Board.EngineMetrics.HopLimitReached;
  else if (Target != InstanceId() && Board.Members.find(Target) != nullptr) {
    ++Board.EngineMetrics.Relayed;
    Peers.send(Target, Relay{Caller, Hops + 1, std::move(Packet)}, Sink);
    return;
  }
  replyWithOutcomeUnknown(Caller, Packet, Sink);
}

// Another instance may have run the request, so the outcome is Unknown rather
// than RefusedNotRun.
void FlowController::Impl::replyWithOutcomeUnknown(Endpoint Caller,
                                                   const CallerPacket &Packet,
                                                   ActionSink &Sink) {
  if (const auto *CallerRequest = std::get_if<Request>(&Packet))
    Sink.send(Caller, Reply{CallerRequest->Flow, CallerRequest->Id,
                            Outcome::Unknown, UnreachableRetryAfter, ""});
  else if (const auto *CancelMessage = std::get_if<Cancel>(&Packet))
    Sink.send(Caller, Reply{CancelMessage->Flow, CancelMessage->Id,
                            Outcome::Unknown, Duration(), ""});
}

void FlowController::Impl::onRequest(Endpoint Caller, Request CallerRequest,
                                     uint32_t Hops, ActionSink &Sink) {
  RequestRecord *Record = Requests.find(keyOf(CallerRequest));
  if (Record == nullptr) {
    Lifecycle.accept(Caller, std::move(CallerRequest), Sink);
    return;
  }
  ++MetricsCache.metricsOf(CallerRequest.Service).Duplicates;
  Record->Caller = Caller;
  Requests.extend(*Record, Board.now());
  onKnownRequest(*Record, std::move(CallerRequest), Hops, Sink);
}

void FlowController::Impl::onKnownRequest(RequestRecord &Record,
                                          Request CallerRequest, uint32_t Hops,
                                          ActionSink &Sink) {
  if (Record.Phase == RequestPhase::Finished) {
    if (Record.AnswerEvicted && Record.Idempotent && isHomeOf(Record.Key.Flow))
      Lifecycle.rerun(Record, std::move(CallerRequest), Sink);
    else
      Lifecycle.sendReply(Record, Sink);
    return;
  }
  if (Record.ActiveSubmission != nullptr)
    return;
  // The previous home instance runs the request and answers it while that
  // instance is a live member.
  if (!Board.isGone(Record.RunningInstance))
    relay(Record.RunningInstance, Record.Caller, std::move(CallerRequest), Hops,
          Sink);
  else
    Lifecycle.rerun(Record, std::move(CallerRequest), Sink);
}

void FlowController::Impl::onCancel(Endpoint Caller,
                                    const Cancel &CancelMessage, uint32_t Hops,
                                    ActionSink &Sink) {
  RequestRecord *Record = Requests.find(keyOf(CancelMessage));
  if (Record == nullptr) {
    Lifecycle.cancelUnrecordedRequest(Caller, CancelMessage, Sink);
    return;
  }
  Record->Caller = Caller;
  if (Record->Phase == RequestPhase::InProgress &&
      Record->ActiveSubmission == nullptr)
    relay(Record->RunningInstance, Caller, CancelMessage, Hops, Sink);
  else
    Lifecycle.cancel(*Record, Sink);
}

void FlowController::onSubmitResult(const Sender &From, SubmitResult Result,
                                    ActionSink &Sink) {
  PImpl->Lifecycle.onSubmitResult(From, std::move(Result), Sink);
  PImpl->publishCounts();
}

void FlowController::onPinReplica(const PinReplica &Replica) {
  PImpl->Pinning.onPinReplica(Replica);
}

void FlowController::onTick(ActionSink &Sink) {
  PImpl->Lifecycle.onTick(Sink);
  PImpl->Pinning.onTick(Sink);
  PImpl->Requests.expire(PImpl->Board.now());
  PImpl->publishCounts();
}

void FlowController::onPlacementChanged(ActionSink &Sink) {
  PImpl->MetricsCache.clear();
  PImpl->Pinning.onPlacementChanged(Sink);
  PImpl->Lifecycle.onPlacementChanged();
}

void FlowController::onInstanceLost(InstanceId LostInstance, ActionSink &Sink) {
  PImpl->Lifecycle.onInstanceLost(LostInstance, Sink);
  PImpl->Requests.clearRunningInstance(LostInstance);
  PImpl->publishCounts();
}

void FlowController::exportBucket(uint32_t Bucket, HandoverBatch &Batch) const {
  PImpl->Pinning.exportBucket(Bucket, Batch);
  PImpl->Requests.forEachInBucket(Bucket, [&](const RequestRecord &Record) {
    Batch.Requests.push_back(PImpl->copyOf(Record));
  });
}

// A large answer is not copied: its record is exported as in progress at this
// instance, so that retransmissions of the request are relayed here.
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
  Copy.Age = Board.now() - Record.ArrivedAt;
  if (Record.ActiveSubmission != nullptr ||
      Record.Payload.size() > MaxSmallAnswerSize) {
    Copy.Phase = RequestPhase::InProgress;
    Copy.Holder = Board.Self.Id;
  } else if (Record.Phase == RequestPhase::InProgress) {
    Copy.Holder = Record.RunningInstance;
  } else {
    Copy.Payload = Record.Payload;
  }
  return Copy;
}

void FlowController::importBatch(const HandoverBatch &Batch, ActionSink &Sink) {
  for (const Pin &ImportedPin : Batch.Pins)
    PImpl->Pinning.importPin(ImportedPin);
  for (const RequestRecordCopy &Copy : Batch.Requests)
    PImpl->importRecord(Copy);
  if (!Batch.Pins.empty() || !Batch.Requests.empty())
    Sink.log(LogLevel::Debug, "flow",
             "took over " + std::to_string(Batch.Pins.size()) + " pins and " +
                 std::to_string(Batch.Requests.size()) +
                 " request records from the previous home instance");
  PImpl->publishCounts();
}

void FlowController::Impl::importRecord(const RequestRecordCopy &Copy) {
  const RequestKey Key{Copy.Flow, Copy.Service, Copy.Id};
  RequestRecord *ExistingRecord = Requests.find(Key);
  if (ExistingRecord != nullptr &&
      ExistingRecord->RunningInstance == InstanceId())
    return;
  if (Copy.Phase == RequestPhase::InProgress) {
    if (ExistingRecord != nullptr)
      return;
    RequestRecord &Record =
        Requests.insertRunningElsewhere(Key, Copy.Holder, Board.now());
    Record.Idempotent = Copy.Idempotent;
    Record.MayHaveRun = true;
    return;
  }
  RequestRecord &Record = ExistingRecord != nullptr
                              ? *ExistingRecord
                              : Requests.insert(Key, Board.now());
  Record.Idempotent = Copy.Idempotent;
  Record.MayHaveRun = Copy.Result != Outcome::RefusedNotRun;
  Record.ArrivedAt = Board.now() - Copy.Age;
  Requests.finish(Record, Copy.Result, Copy.RetryAfter, Copy.Payload,
                  Board.now());
}

void FlowController::dropBucket(uint32_t Bucket) {
  PImpl->Pinning.dropBucket(Bucket);
  PImpl->Requests.forEachInBucket(Bucket, [&](RequestRecord &Record) {
    if (Record.ActiveSubmission == nullptr &&
        Record.Payload.size() <= MaxSmallAnswerSize)
      PImpl->Requests.erase(Record);
  });
  PImpl->publishCounts();
}

void FlowController::reset() {
  PImpl->Lifecycle.clear();
  PImpl->Requests.clear();
  PImpl->Pinning.clear();
  PImpl->publishCounts();
}

uint32_t FlowController::requestsInProgress() const {
  return PImpl->Lifecycle.inProgress();
}

size_t FlowController::flowMemoryBytes() const {
  return PImpl->Pinning.memoryBytes();
}

void FlowController::Impl::publishCounts() {
  Board.OpenFlows = Pinning.openFlows();
  Board.RequestsInProgress = Lifecycle.inProgress();
}

} // namespace indigopoint
