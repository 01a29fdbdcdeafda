#include "handover_receiver.h"

#include <utility>

#include "flow_controller.h"
#include "ownership_updater.h"
#include "peer_link.h"
#include "upstream_controller.h"

namespace indigopoint {

namespace {

// A lost batch is repeated after 100 and 300 ms. When nothing came by then,
// the supposed server has no records to send.
constexpr std::chrono::seconds HoldTime(1);
constexpr size_t HeldLimit = 1024;

FlowKey flowOf(const CallerPacket &Packet) {
  return std::visit([](const auto &Given) { return Given.Flow; }, Packet);
}

template <typename T>
void moveOfBucket(std::vector<T> &From, uint32_t Bucket, std::vector<T> &To) {
  std::vector<T> Rest;
  for (T &Record : From)
    (bucketOf(Record.Flow) == Bucket ? To : Rest).push_back(std::move(Record));
  From = std::move(Rest);
}

template <typename T>
void append(std::vector<T> &To, const std::vector<T> &From) {
  To.insert(To.end(), From.begin(), From.end());
}

} // namespace

bool HandoverReceiver::onBatch(const Sender &From, const HandoverBatch &Batch,
                               ActionSink &Sink) {
  Source &Given = Sources[From.Instance];
  if (Given.Boot != From.Boot)
    Given = {From.Boot, 0, false, {}};
  Peers.send(From.Instance, HandoverAck{Batch.Sequence}, Sink);
  if (Batch.Sequence <= Given.LastSequence)
    return false;
  Given.LastSequence = Batch.Sequence;
  Given.Final = Given.Final || Batch.Final;
  Tracker.recordBatchFrom(From.Instance);
  if (Batch.Buckets.empty() && Batch.Upstreams.empty()) {
    append(Given.Ahead.Pins, Batch.Pins);
    append(Given.Ahead.Requests, Batch.Requests);
    return true;
  }
  HandoverBatch Complete;
  for (const BucketCopy &Moved : Batch.Buckets)
    takeAhead(Given, Moved.Bucket, Complete);
  // What was sent ahead comes first: the later state of a record wins.
  append(Complete.Pins, Batch.Pins);
  append(Complete.Requests, Batch.Requests);
  Complete.Upstreams = Batch.Upstreams;
  for (const BucketCopy &Moved : Batch.Buckets)
    Tracker.receive(Moved.Bucket, Moved.CompleteFor);
  for (const UpstreamCopy &Moved : Batch.Upstreams)
    Tracker.receive(Moved.Upstream);
  Flows.importBatch(Complete, Sink);
  Upstreams.importBatch(Complete);
  for (const BucketCopy &Moved : Batch.Buckets)
    release(Moved.Bucket, Sink);
  return true;
}

void HandoverReceiver::takeAhead(Source &From, uint32_t Bucket,
                                 HandoverBatch &Out) {
  if (From.Ahead.Pins.empty() && From.Ahead.Requests.empty())
    return;
  moveOfBucket(From.Ahead.Pins, Bucket, Out.Pins);
  moveOfBucket(From.Ahead.Requests, Bucket, Out.Requests);
}

bool HandoverReceiver::holdRelayedBack(const Sender &From, Relay &Given) {
  const uint32_t Bucket = bucketOf(flowOf(Given.Packet));
  if (Tracker.serves(Bucket) || From.Instance == Board.Self.Id ||
      Board.CurrentOwnership.homeOf(Bucket) != From.Instance ||
      HeldCount >= HeldLimit)
    return false;
  Held[Bucket].push_back({std::move(Given), Board.now()});
  ++HeldCount;
  return true;
}

void HandoverReceiver::onTick(ActionSink &Sink) {
  std::vector<uint32_t> Over;
  for (const auto &[Bucket, Packets] : Held)
    if (Tracker.serves(Bucket) || Board.now() - Packets[0].Since >= HoldTime)
      Over.push_back(Bucket);
  for (uint32_t Bucket : Over) {
    if (!Tracker.serves(Bucket) &&
        Board.CurrentPlacement.home(Bucket) == Board.Self.Id) {
      Sink.log(LogLevel::Warning, "handover",
               "bucket " + std::to_string(Bucket) +
                   " is served by nobody; taking it over without records");
      Tracker.takeOver(Bucket);
    }
    release(Bucket, Sink);
  }
}

// The packets go on as if they had just arrived.
void HandoverReceiver::release(uint32_t Bucket, ActionSink &Sink) {
  auto Node = Held.extract(Bucket);
  if (Node.empty())
    return;
  HeldCount -= Node.mapped().size();
  for (HeldPacket &Kept : Node.mapped())
    Peers.send(Board.Self.Id, std::move(Kept.Packet), Sink);
}

// What a dead sender sent ahead is of use to whoever takes its buckets over.
void HandoverReceiver::onInstanceLost(InstanceId Lost, ActionSink &Sink) {
  const auto It = Sources.find(Lost);
  if (It == Sources.end())
    return;
  if (!It->second.Ahead.Pins.empty() || !It->second.Ahead.Requests.empty())
    Flows.importBatch(It->second.Ahead, Sink);
  It->second.Ahead = HandoverBatch();
  It->second.Final = false;
}

bool HandoverReceiver::hasAllFinalBatches() const {
  for (const auto &[Id, Known] : Board.Members.ById) {
    if (Known.State != MemberState::Active &&
        Known.State != MemberState::Suspect)
      continue;
    const auto It = Sources.find(Id);
    if (It == Sources.end() || !It->second.Final ||
        It->second.Boot != Known.MemberIncarnation.Boot)
      return false;
  }
  return true;
}

void HandoverReceiver::reset() {
  for (auto &[Id, Given] : Sources) {
    Given.Final = false;
    Given.Ahead = HandoverBatch();
  }
  Held.clear();
  HeldCount = 0;
}

} // namespace indigopoint
