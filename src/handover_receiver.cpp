#include "handover_receiver.h"

#include <utility>

#include "flow_controller.h"
#include "ownership_updater.h"
#include "peer_link.h"
#include "upstream_controller.h"

namespace indigopoint {

namespace {

// A lost batch is retransmitted after 100 and 300 ms. If none has arrived by
// then, the instance believed to be the home has no records to send.
constexpr std::chrono::seconds MaxHoldTime(1);
constexpr size_t MaxHeldPackets = 1024;

FlowKey flowOf(const CallerPacket &Packet) {
  return std::visit([](const auto &Body) { return Body.Flow; }, Packet);
}

template <typename T>
void moveRecordsOfBucket(std::vector<T> &From, uint32_t Bucket,
                         std::vector<T> &To) {
  std::vector<T> OtherRecords;
  for (T &Record : From)
    (bucketOf(Record.Flow) == Bucket ? To : OtherRecords)
        .push_back(std::move(Record));
  From = std::move(OtherRecords);
}

template <typename T>
void append(std::vector<T> &To, const std::vector<T> &From) {
  To.insert(To.end(), From.begin(), From.end());
}

} // namespace

bool HandoverReceiver::onBatch(const Sender &From, const HandoverBatch &Batch,
                               ActionSink &Sink) {
  SenderState &BatchSource = Sources[From.Instance];
  if (BatchSource.Boot != From.Boot)
    BatchSource = {From.Boot, 0, false, {}};
  Peers.send(From.Instance, HandoverAck{Batch.Sequence}, Sink);
  if (Batch.Sequence <= BatchSource.LastSequence)
    return false;
  BatchSource.LastSequence = Batch.Sequence;
  BatchSource.FinalReceived = BatchSource.FinalReceived || Batch.Final;
  Updater.recordBatchFrom(From.Instance);
  if (Batch.Buckets.empty() && Batch.Upstreams.empty()) {
    append(BatchSource.EarlyRecords.Pins, Batch.Pins);
    append(BatchSource.EarlyRecords.Requests, Batch.Requests);
    return true;
  }
  HandoverBatch MergedBatch;
  for (const BucketCopy &Entry : Batch.Buckets)
    extractEarlyRecords(BatchSource, Entry.Bucket, MergedBatch);
  // Early records come first, because the later state of a record wins.
  append(MergedBatch.Pins, Batch.Pins);
  append(MergedBatch.Requests, Batch.Requests);
  MergedBatch.Upstreams = Batch.Upstreams;
  for (const BucketCopy &Entry : Batch.Buckets)
    Updater.receive(Entry.Bucket, Entry.CompleteFor);
  for (const UpstreamCopy &Entry : Batch.Upstreams)
    Updater.receive(Entry.Upstream);
  Flows.importBatch(MergedBatch, Sink);
  Upstreams.importBatch(MergedBatch);
  for (const BucketCopy &Entry : Batch.Buckets)
    handleHeldPackets(Entry.Bucket, Sink);
  return true;
}

void HandoverReceiver::extractEarlyRecords(SenderState &BatchSource,
                                           uint32_t Bucket,
                                           HandoverBatch &Out) {
  if (BatchSource.EarlyRecords.Pins.empty() &&
      BatchSource.EarlyRecords.Requests.empty())
    return;
  moveRecordsOfBucket(BatchSource.EarlyRecords.Pins, Bucket, Out.Pins);
  moveRecordsOfBucket(BatchSource.EarlyRecords.Requests, Bucket, Out.Requests);
}

bool HandoverReceiver::holdReturnedPacket(const Sender &From,
                                          Relay &RelayedPacket) {
  const uint32_t Bucket = bucketOf(flowOf(RelayedPacket.Packet));
  if (Updater.serves(Bucket) || From.Instance == Board.Self.Id ||
      Board.CurrentOwnership.homeOf(Bucket) != From.Instance ||
      HeldPacketCount >= MaxHeldPackets)
    return false;
  HeldPackets[Bucket].push_back({std::move(RelayedPacket), Board.now()});
  ++HeldPacketCount;
  return true;
}

void HandoverReceiver::onTick(ActionSink &Sink) {
  std::vector<uint32_t> FinishedBuckets;
  for (const auto &[Bucket, Packets] : HeldPackets)
    if (Updater.serves(Bucket) ||
        Board.now() - Packets[0].HeldSince >= MaxHoldTime)
      FinishedBuckets.push_back(Bucket);
  for (uint32_t Bucket : FinishedBuckets) {
    if (!Updater.serves(Bucket) &&
        Board.CurrentPlacement.home(Bucket) == Board.Self.Id) {
      Sink.log(LogLevel::Warning, "handover",
               "bucket " + std::to_string(Bucket) +
                   " has no home instance; taking it over without its request "
                   "records");
      Updater.takeOver(Bucket);
    }
    handleHeldPackets(Bucket, Sink);
  }
}

// Handles the held packets as if they had just arrived.
void HandoverReceiver::handleHeldPackets(uint32_t Bucket, ActionSink &Sink) {
  auto Node = HeldPackets.extract(Bucket);
  if (Node.empty())
    return;
  HeldPacketCount -= Node.mapped().size();
  for (HeldPacket &Entry : Node.mapped())
    Peers.send(Board.Self.Id, std::move(Entry.Packet), Sink);
}

// Early records of a dead sender are imported, because this instance may take
// over the buckets that they belong to.
void HandoverReceiver::onInstanceLost(InstanceId LostInstance,
                                      ActionSink &Sink) {
  const auto It = Sources.find(LostInstance);
  if (It == Sources.end())
    return;
  if (!It->second.EarlyRecords.Pins.empty() ||
      !It->second.EarlyRecords.Requests.empty())
    Flows.importBatch(It->second.EarlyRecords, Sink);
  It->second.EarlyRecords = HandoverBatch();
  It->second.FinalReceived = false;
}

bool HandoverReceiver::hasAllFinalBatches() const {
  for (const auto &[Id, Peer] : Board.Members.ById) {
    if (Peer.State != MemberState::Active && Peer.State != MemberState::Suspect)
      continue;
    const auto It = Sources.find(Id);
    if (It == Sources.end() || !It->second.FinalReceived ||
        It->second.Boot != Peer.MemberIncarnation.Boot)
      return false;
  }
  return true;
}

void HandoverReceiver::reset() {
  for (auto &[Id, BatchSource] : Sources) {
    BatchSource.FinalReceived = false;
    BatchSource.EarlyRecords = HandoverBatch();
  }
  HeldPackets.clear();
  HeldPacketCount = 0;
}

} // namespace indigopoint
