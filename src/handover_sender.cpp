#include "handover_sender.h"

#include <algorithm>

#include <xxhash.h>

#include "flow_controller.h"
#include "ownership_updater.h"
#include "peer_link.h"
#include "upstream_controller.h"

namespace indigopoint {

namespace {

using std::chrono::milliseconds;

// One batch fits into an Ethernet frame.
constexpr size_t BatchBytes = 1100;
constexpr size_t BatchRecords = 50;

// Sustained rate of a long handover, and the burst that may be sent at once
// after an idle time. 9,500 records are about 1 MB: the burst covers half of
// it, the rest takes about 8 s. If each instance restarts 2.5 times a day, a
// transfer of 1 MB per restart is about 30 bytes/s on average.
constexpr int64_t SustainedBytesPerSecond = int64_t{64} * 1024;
constexpr int64_t BurstBytes = int64_t{512} * 1024;

constexpr milliseconds FirstRetransmitDelay(100);
constexpr milliseconds MaxRetransmitDelay(400);

constexpr size_t PinBytes = 24;
constexpr size_t RecordBytes = 48;
constexpr size_t BucketBytes = 11;
constexpr size_t UpstreamBytes = 20;

uint64_t hashOf(uint64_t A, uint64_t B, uint64_t C, std::string_view Text) {
  const uint64_t Parts[3] = {A, B, C};
  return XXH64(Text.data(), Text.size(), XXH64(Parts, sizeof(Parts), 0));
}

uint64_t keyOf(const Pin &P) {
  return hashOf(P.Flow.value(), P.Service.value(), 1, "");
}
uint64_t contentHash(const Pin &P) {
  return hashOf(P.Upstream.value(), P.Removed ? 1 : 0, 1, "");
}
uint64_t keyOf(const RequestRecordCopy &R) {
  return hashOf(R.Flow.value(), R.Service.value(), R.Id.value(), "");
}
uint64_t contentHash(const RequestRecordCopy &R) {
  return hashOf(static_cast<uint64_t>(R.Phase), static_cast<uint64_t>(R.Result),
                R.Holder.value(), R.Payload);
}
size_t sizeOf(const Pin &) { return PinBytes; }
size_t sizeOf(const RequestRecordCopy &R) {
  return RecordBytes + R.Payload.size();
}

// Erases records that were sent before and have not changed since.
template <typename T>
void eraseUnchangedRecords(
    std::vector<T> &Records,
    const std::unordered_map<uint64_t, uint64_t> &SentHashes) {
  std::erase_if(Records, [&SentHashes](const T &Record) {
    const auto It = SentHashes.find(keyOf(Record));
    return It != SentHashes.end() && It->second == contentHash(Record);
  });
}

// Moves records from the front of From into To until the batch is full.
template <typename T>
void moveRecordsThatFit(std::vector<T> &From, std::vector<T> &To, size_t &Used,
                        size_t &Count,
                        std::unordered_map<uint64_t, uint64_t> &SentHashes) {
  size_t MovedCount = 0;
  while (MovedCount < From.size() && Count < BatchRecords &&
         (Count == 0 || Used + sizeOf(From[MovedCount]) <= BatchBytes)) {
    T &Record = From[MovedCount++];
    Used += sizeOf(Record);
    ++Count;
    SentHashes[keyOf(Record)] = contentHash(Record);
    To.push_back(std::move(Record));
  }
}

} // namespace

size_t estimatedBytes(const HandoverBatch &Batch) {
  size_t Bytes = 40 + Batch.Buckets.size() * BucketBytes +
                 Batch.Pins.size() * PinBytes +
                 Batch.Upstreams.size() * UpstreamBytes;
  for (const RequestRecordCopy &Record : Batch.Requests)
    Bytes += sizeOf(Record);
  return Bytes;
}

void HandoverSender::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  if (CreditUpdatedAt == TimePoint())
    Credit = BurstBytes;
  else
    Credit +=
        SustainedBytesPerSecond * (Now - CreditUpdatedAt).count() / 1'000'000;
  Credit = std::min(Credit, BurstBytes);
  CreditUpdatedAt = Now;
  for (auto &[Receiver, CurrentTransfer] : Transfers)
    if (CurrentTransfer.AwaitingAck &&
        Now - CurrentTransfer.SentAt >= CurrentTransfer.RetransmitAfter) {
      CurrentTransfer.RetransmitAfter = std::min<Duration>(
          2 * CurrentTransfer.RetransmitAfter, MaxRetransmitDelay);
      send(Receiver, CurrentTransfer, Sink);
    }
  if (PlanNeeded)
    plan();
  for (auto &[Receiver, CurrentTransfer] : Transfers)
    sendNextBatch(Receiver, CurrentTransfer, Sink);
}

// Joining members get a transfer even if nothing moves to them, because they
// wait for the final batch of each active member.
void HandoverSender::addJoiningMembers(
    std::vector<PlacementCandidate> &Joiners) {
  if (Board.Self.State != MemberState::Active)
    return;
  for (const auto &[Id, Peer] : Board.Members.ById) {
    if (Peer.State != MemberState::Joining)
      continue;
    Joiners.push_back(Board.CurrentPlacement.candidate(Id, Peer.Zone));
    Transfer &CurrentTransfer = Transfers[Id];
    CurrentTransfer.Joining = true;
    CurrentTransfer.Boot = Peer.MemberIncarnation.Boot;
  }
}

void HandoverSender::plan() {
  PlanNeeded = false;
  for (auto &[Id, CurrentTransfer] : Transfers) {
    CurrentTransfer.Buckets.clear();
    CurrentTransfer.Upstreams.clear();
    CurrentTransfer.EarlyRecordHashes.clear();
    CurrentTransfer.Joining = false;
  }
  // While this instance is joining, it hands nothing over: placement does not
  // count it yet and would assign everything to other instances.
  if (Board.Self.State == MemberState::Joining)
    return;
  std::vector<PlacementCandidate> Joiners;
  addJoiningMembers(Joiners);
  const auto TransferTo = [&](InstanceId Id) -> Transfer * {
    const Member *Peer = Board.Members.find(Id);
    if (Peer == nullptr || !isAlive(Peer->State))
      return nullptr;
    Transfer &CurrentTransfer = Transfers[Id];
    CurrentTransfer.Boot = Peer->MemberIncarnation.Boot;
    return &CurrentTransfer;
  };
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    if (Updater.serves(Bucket))
      if (Transfer *CurrentTransfer =
              TransferTo(Board.CurrentPlacement.homeIfJoined(Bucket, Joiners)))
        CurrentTransfer->Buckets.push_back(Bucket);
  for (const auto &[Id, Service] : Board.Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      if (Updater.serves(Upstream.Id))
        if (Transfer *CurrentTransfer =
                TransferTo(Board.CurrentPlacement.ownerIfJoined(
                    Upstream.Id, Upstream.Zone, Joiners)))
          CurrentTransfer->Upstreams.push_back(Upstream.Id);
  std::erase_if(Transfers, [](const auto &Entry) {
    const Transfer &CurrentTransfer = Entry.second;
    return !CurrentTransfer.AwaitingAck && !CurrentTransfer.Joining &&
           CurrentTransfer.Buckets.empty() && CurrentTransfer.Upstreams.empty();
  });
}

void HandoverSender::sendNextBatch(InstanceId Receiver,
                                   Transfer &CurrentTransfer,
                                   ActionSink &Sink) {
  if (CurrentTransfer.AwaitingAck || Credit <= 0)
    return;
  const bool NothingToMove =
      CurrentTransfer.Buckets.empty() && CurrentTransfer.Upstreams.empty();
  if (NothingToMove && (!CurrentTransfer.Joining || CurrentTransfer.FinalSent))
    return;
  CurrentTransfer.Batch = HandoverBatch();
  CurrentTransfer.Batch.Sequence = NextSequence++;
  fillBatch(Receiver, CurrentTransfer, CurrentTransfer.Batch, Sink);
  CurrentTransfer.Batch.Final =
      CurrentTransfer.Buckets.empty() && CurrentTransfer.Upstreams.empty();
  CurrentTransfer.FinalSent = CurrentTransfer.Batch.Final;
  CurrentTransfer.AwaitingAck = true;
  CurrentTransfer.RetransmitAfter = FirstRetransmitDelay;
  send(Receiver, CurrentTransfer, Sink);
}

void HandoverSender::fillBatch(InstanceId Receiver, Transfer &CurrentTransfer,
                               HandoverBatch &Batch, ActionSink &Sink) {
  size_t Used = 0;
  while (!CurrentTransfer.Upstreams.empty() &&
         Used + UpstreamBytes <= BatchBytes) {
    const UpstreamId Upstream = CurrentTransfer.Upstreams.front();
    CurrentTransfer.Upstreams.pop_front();
    if (!Updater.serves(Upstream))
      continue;
    const size_t PreviousCount = Batch.Upstreams.size();
    Upstreams.exportUpstream(Upstream, Batch);
    if (Batch.Upstreams.size() == PreviousCount)
      Batch.Upstreams.push_back({Upstream, 0, 0, 0});
    Updater.handOver(Upstream, Receiver);
    Upstreams.dropUpstream(Upstream, Sink);
    Used += UpstreamBytes;
  }
  while (!CurrentTransfer.Buckets.empty() && Used + BucketBytes <= BatchBytes)
    if (!addBucket(Receiver, CurrentTransfer, Batch, Used))
      return;
}

// Adds the front bucket if all of its records fit. Otherwise some of them are
// sent early, while this instance still serves the bucket. Records that change
// before the bucket itself is sent are sent again. Returns false if the batch
// is full.
bool HandoverSender::addBucket(InstanceId Receiver, Transfer &CurrentTransfer,
                               HandoverBatch &Batch, size_t &Used) {
  const uint32_t Bucket = CurrentTransfer.Buckets.front();
  if (!Updater.serves(Bucket)) {
    CurrentTransfer.Buckets.pop_front();
    CurrentTransfer.EarlyRecordHashes.clear();
    return true;
  }
  HandoverBatch Records;
  Flows.exportBucket(Bucket, Records);
  eraseUnchangedRecords(Records.Pins, CurrentTransfer.EarlyRecordHashes);
  eraseUnchangedRecords(Records.Requests, CurrentTransfer.EarlyRecordHashes);
  const size_t Count = Records.Pins.size() + Records.Requests.size();
  const size_t PresentCount = Batch.Pins.size() + Batch.Requests.size();
  const size_t Bytes = estimatedBytes(Records) + BucketBytes;
  const bool Fits = PresentCount + Count <= BatchRecords &&
                    (Count <= 1 || Used + Bytes <= BatchBytes);
  if (Fits && (Count == 0 || Used == 0 || Used + Bytes <= BatchBytes)) {
    std::move(Records.Pins.begin(), Records.Pins.end(),
              std::back_inserter(Batch.Pins));
    std::move(Records.Requests.begin(), Records.Requests.end(),
              std::back_inserter(Batch.Requests));
    const Duration CompleteFor =
        Board.now() - Board.CurrentOwnership.completeSince(Bucket);
    Batch.Buckets.push_back({Bucket, CompleteFor});
    Used += Count == 0 ? BucketBytes : Bytes;
    Updater.handOver(Bucket, Receiver);
    CurrentTransfer.Buckets.pop_front();
    CurrentTransfer.EarlyRecordHashes.clear();
    return true;
  }
  if (Used == 0) {
    size_t MovedCount = 0;
    moveRecordsThatFit(Records.Pins, Batch.Pins, Used, MovedCount,
                       CurrentTransfer.EarlyRecordHashes);
    moveRecordsThatFit(Records.Requests, Batch.Requests, Used, MovedCount,
                       CurrentTransfer.EarlyRecordHashes);
  }
  return false;
}

void HandoverSender::send(InstanceId Receiver, Transfer &CurrentTransfer,
                          ActionSink &Sink) {
  CurrentTransfer.SentAt = Board.now();
  Credit -= static_cast<int64_t>(estimatedBytes(CurrentTransfer.Batch));
  Peers.send(Receiver, CurrentTransfer.Batch, Sink);
}

void HandoverSender::onAck(const Sender &From, const HandoverAck &Ack,
                           ActionSink &Sink) {
  const auto It = Transfers.find(From.Instance);
  if (It == Transfers.end())
    return;
  Transfer &CurrentTransfer = It->second;
  if (!CurrentTransfer.AwaitingAck ||
      CurrentTransfer.Batch.Sequence != Ack.Sequence ||
      CurrentTransfer.Boot != From.Boot)
    return;
  CurrentTransfer.AwaitingAck = false;
  for (const BucketCopy &Entry : CurrentTransfer.Batch.Buckets)
    if (!Updater.serves(Entry.Bucket))
      Flows.dropBucket(Entry.Bucket);
  if (PlanNeeded)
    plan();
  const auto TransferAfterPlan = Transfers.find(From.Instance);
  if (TransferAfterPlan != Transfers.end())
    sendNextBatch(From.Instance, TransferAfterPlan->second, Sink);
}

// This instance still has the records of the buckets in an unacknowledged
// batch, so it serves the buckets again or hands them to their next home. They
// count as taken over, because the receiver may already have served them and
// its newer records are lost.
void HandoverSender::onInstanceLost(InstanceId LostInstance) {
  const auto It = Transfers.find(LostInstance);
  if (It == Transfers.end())
    return;
  if (It->second.AwaitingAck) {
    for (const BucketCopy &Entry : It->second.Batch.Buckets)
      if (Board.CurrentOwnership.homeOf(Entry.Bucket) == LostInstance)
        Updater.takeOver(Entry.Bucket);
    for (const UpstreamCopy &Entry : It->second.Batch.Upstreams)
      if (Board.CurrentOwnership.ownerOf(Entry.Upstream) == LostInstance)
        Updater.receive(Entry.Upstream);
  }
  Transfers.erase(It);
  PlanNeeded = true;
}

bool HandoverSender::isIdle() const {
  if (PlanNeeded)
    return false;
  return std::all_of(Transfers.begin(), Transfers.end(), [](const auto &Entry) {
    const Transfer &CurrentTransfer = Entry.second;
    return !CurrentTransfer.AwaitingAck && CurrentTransfer.Buckets.empty() &&
           CurrentTransfer.Upstreams.empty();
  });
}

void HandoverSender::reset() { Transfers.clear(); }

} // namespace indigopoint
