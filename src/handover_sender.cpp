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

// The pace of a long handover, and what may be sent at once after a quiet
// time. 9,500 records are about 1 MB and take some 8 s; with 2.5 restarts a day
// for each instance this is about 30 bytes/s on average.
constexpr int64_t PaceBytesPerSecond = int64_t{64} * 1024;
constexpr int64_t BurstBytes = int64_t{512} * 1024;

constexpr milliseconds FirstRepeat(100);
constexpr milliseconds LastRepeat(400);

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
uint64_t contentOf(const Pin &P) {
  return hashOf(P.Upstream.value(), P.Removed ? 1 : 0, 1, "");
}
uint64_t keyOf(const RequestRecordCopy &R) {
  return hashOf(R.Flow.value(), R.Service.value(), R.Id.value(), "");
}
uint64_t contentOf(const RequestRecordCopy &R) {
  return hashOf(static_cast<uint64_t>(R.Phase), static_cast<uint64_t>(R.Result),
                R.Holder.value(), R.Payload);
}
size_t sizeOf(const Pin &) { return PinBytes; }
size_t sizeOf(const RequestRecordCopy &R) {
  return RecordBytes + R.Payload.size();
}

// Leaves out what was sent ahead and has not changed since.
template <typename T>
void eraseSent(std::vector<T> &Records,
               const std::unordered_map<uint64_t, uint64_t> &Sent) {
  std::erase_if(Records, [&Sent](const T &Record) {
    const auto It = Sent.find(keyOf(Record));
    return It != Sent.end() && It->second == contentOf(Record);
  });
}

// Moves records from the front of From into To while there is room.
template <typename T>
void moveSome(std::vector<T> &From, std::vector<T> &To, size_t &Used,
              size_t &Count, std::unordered_map<uint64_t, uint64_t> &Sent) {
  size_t Taken = 0;
  while (Taken < From.size() && Count < BatchRecords &&
         (Count == 0 || Used + sizeOf(From[Taken]) <= BatchBytes)) {
    T &Record = From[Taken++];
    Used += sizeOf(Record);
    ++Count;
    Sent[keyOf(Record)] = contentOf(Record);
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
  if (CreditAt == TimePoint())
    Credit = BurstBytes;
  else
    Credit += PaceBytesPerSecond * (Now - CreditAt).count() / 1'000'000;
  Credit = std::min(Credit, BurstBytes);
  CreditAt = Now;
  for (auto &[Receiver, Given] : Transfers)
    if (Given.Waiting && Now - Given.SentAt >= Given.RepeatAfter) {
      Given.RepeatAfter = std::min<Duration>(2 * Given.RepeatAfter, LastRepeat);
      send(Receiver, Given, Sink);
    }
  if (PlanNeeded)
    plan();
  for (auto &[Receiver, Given] : Transfers)
    advance(Receiver, Given, Sink);
}

// Joiners get a transfer even if nothing moves to them, because they wait for
// the final batch of each active member.
void HandoverSender::addJoiners(std::vector<PlacementCandidate> &Joiners) {
  if (Board.Self.State != MemberState::Active)
    return;
  for (const auto &[Id, Known] : Board.Members.ById) {
    if (Known.State != MemberState::Joining)
      continue;
    Joiners.push_back(Board.CurrentPlacement.candidate(Id, Known.Zone));
    Transfer &Given = Transfers[Id];
    Given.Joining = true;
    Given.Boot = Known.MemberIncarnation.Boot;
  }
}

void HandoverSender::plan() {
  PlanNeeded = false;
  for (auto &[Id, Given] : Transfers) {
    Given.Buckets.clear();
    Given.Upstreams.clear();
    Given.SentAhead.clear();
    Given.Joining = false;
  }
  // A joiner keeps what it has received: placement does not count it yet.
  if (Board.Self.State == MemberState::Joining)
    return;
  std::vector<PlacementCandidate> Joiners;
  addJoiners(Joiners);
  const auto Target = [&](InstanceId Id) -> Transfer * {
    const Member *Known = Board.Members.find(Id);
    if (Known == nullptr || !isAlive(Known->State))
      return nullptr;
    Transfer &Given = Transfers[Id];
    Given.Boot = Known->MemberIncarnation.Boot;
    return &Given;
  };
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    if (Tracker.serves(Bucket))
      if (Transfer *To =
              Target(Board.CurrentPlacement.homeIfJoined(Bucket, Joiners)))
        To->Buckets.push_back(Bucket);
  for (const auto &[Id, Service] : Board.Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      if (Tracker.serves(Upstream.Id))
        if (Transfer *To = Target(Board.CurrentPlacement.ownerIfJoined(
                Upstream.Id, Upstream.Zone, Joiners)))
          To->Upstreams.push_back(Upstream.Id);
  std::erase_if(Transfers, [](const auto &Entry) {
    const Transfer &Given = Entry.second;
    return !Given.Waiting && !Given.Joining && Given.Buckets.empty() &&
           Given.Upstreams.empty();
  });
}

void HandoverSender::advance(InstanceId Receiver, Transfer &Given,
                             ActionSink &Sink) {
  if (Given.Waiting || Credit <= 0)
    return;
  const bool Empty = Given.Buckets.empty() && Given.Upstreams.empty();
  if (Empty && (!Given.Joining || Given.FinalSent))
    return;
  Given.Batch = HandoverBatch();
  Given.Batch.Sequence = NextSequence++;
  fill(Receiver, Given, Given.Batch, Sink);
  Given.Batch.Final = Given.Buckets.empty() && Given.Upstreams.empty();
  Given.FinalSent = Given.Batch.Final;
  Given.Waiting = true;
  Given.RepeatAfter = FirstRepeat;
  send(Receiver, Given, Sink);
}

void HandoverSender::fill(InstanceId Receiver, Transfer &Given,
                          HandoverBatch &Batch, ActionSink &Sink) {
  size_t Used = 0;
  while (!Given.Upstreams.empty() && Used + UpstreamBytes <= BatchBytes) {
    const UpstreamId Upstream = Given.Upstreams.front();
    Given.Upstreams.pop_front();
    if (!Tracker.serves(Upstream))
      continue;
    const size_t Before = Batch.Upstreams.size();
    Upstreams.exportUpstream(Upstream, Batch);
    if (Batch.Upstreams.size() == Before)
      Batch.Upstreams.push_back({Upstream, 0, 0, 0});
    Tracker.handOver(Upstream, Receiver);
    Upstreams.dropUpstream(Upstream, Sink);
    Used += UpstreamBytes;
  }
  while (!Given.Buckets.empty() && Used + BucketBytes <= BatchBytes)
    if (!addBucket(Receiver, Given, Batch, Used))
      return;
}

// Adds the front bucket if its records fit. Otherwise some of them are sent
// ahead, while the bucket is still served here; what changes until the rest
// fits is sent again. Returns false if the batch is full.
bool HandoverSender::addBucket(InstanceId Receiver, Transfer &Given,
                               HandoverBatch &Batch, size_t &Used) {
  const uint32_t Bucket = Given.Buckets.front();
  if (!Tracker.serves(Bucket)) {
    Given.Buckets.pop_front();
    Given.SentAhead.clear();
    return true;
  }
  HandoverBatch Records;
  Flows.exportBucket(Bucket, Records);
  eraseSent(Records.Pins, Given.SentAhead);
  eraseSent(Records.Requests, Given.SentAhead);
  const size_t Count = Records.Pins.size() + Records.Requests.size();
  const size_t Present = Batch.Pins.size() + Batch.Requests.size();
  const size_t Bytes = estimatedBytes(Records) + BucketBytes;
  const bool Fits = Present + Count <= BatchRecords &&
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
    Tracker.handOver(Bucket, Receiver);
    Given.Buckets.pop_front();
    Given.SentAhead.clear();
    return true;
  }
  if (Used == 0) {
    size_t Taken = 0;
    moveSome(Records.Pins, Batch.Pins, Used, Taken, Given.SentAhead);
    moveSome(Records.Requests, Batch.Requests, Used, Taken, Given.SentAhead);
  }
  return false;
}

void HandoverSender::send(InstanceId Receiver, Transfer &Given,
                          ActionSink &Sink) {
  Given.SentAt = Board.now();
  Credit -= static_cast<int64_t>(estimatedBytes(Given.Batch));
  Peers.send(Receiver, Given.Batch, Sink);
}

void HandoverSender::onAck(const Sender &From, const HandoverAck &Ack,
                           ActionSink &Sink) {
  const auto It = Transfers.find(From.Instance);
  if (It == Transfers.end())
    return;
  Transfer &Given = It->second;
  if (!Given.Waiting || Given.Batch.Sequence != Ack.Sequence ||
      Given.Boot != From.Boot)
    return;
  Given.Waiting = false;
  for (const BucketCopy &Moved : Given.Batch.Buckets)
    if (!Tracker.serves(Moved.Bucket))
      Flows.dropBucket(Moved.Bucket);
  if (PlanNeeded)
    plan();
  const auto Still = Transfers.find(From.Instance);
  if (Still != Transfers.end())
    advance(From.Instance, Still->second, Sink);
}

// The records of buckets in an unacknowledged batch are still here, so they
// are served here again, or move on to their next home. The receiver may have
// served them already and taken records with it.
void HandoverSender::onInstanceLost(InstanceId Lost) {
  const auto It = Transfers.find(Lost);
  if (It == Transfers.end())
    return;
  if (It->second.Waiting) {
    for (const BucketCopy &Moved : It->second.Batch.Buckets)
      if (Board.CurrentOwnership.homeOf(Moved.Bucket) == Lost)
        Tracker.takeOver(Moved.Bucket);
    for (const UpstreamCopy &Moved : It->second.Batch.Upstreams)
      if (Board.CurrentOwnership.ownerOf(Moved.Upstream) == Lost)
        Tracker.receive(Moved.Upstream);
  }
  Transfers.erase(It);
  PlanNeeded = true;
}

bool HandoverSender::isIdle() const {
  if (PlanNeeded)
    return false;
  return std::all_of(Transfers.begin(), Transfers.end(), [](const auto &Entry) {
    const Transfer &Given = Entry.second;
    return !Given.Waiting && Given.Buckets.empty() && Given.Upstreams.empty();
  });
}

void HandoverSender::reset() { Transfers.clear(); }

} // namespace indigopoint
