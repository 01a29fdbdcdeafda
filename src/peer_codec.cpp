#include "peer_codec.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <zlib.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "gen/protocol_types.h"
#include "http_client.h"
#include "json_fields.h"

namespace indigopoint {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol =
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

// Upper limit of the wait in a request and of the ages in an answer.
constexpr int64_t MaxMilliseconds = 3'600'000;

// Twice the size of the largest installation's items: 43,000 upstreams of 300
// bytes and a configuration of 1 MB.
constexpr size_t MaxUncompressedBytes = size_t{32} * 1024 * 1024;

// Registrations are compressed to a fifth, long configurations to a sixteenth.
// A value of the largest size that the store takes may be more repetitive.
constexpr size_t MaxCompressionRatio = 32;
constexpr size_t AnyRatioBytes = size_t{2} * 1024 * 1024;

// The number of items stands before them, and the memory for them is allocated
// at once. An item without any content has ten bytes.
constexpr size_t MinItemBytes = 10;

// Larger than the numbers of instances and versions in any answer.
constexpr size_t MaxAnswerEntries = 1024;

constexpr size_t UncompressStepBytes = size_t{16} * 1024;

bool readNumber(const std::map<std::string, std::string> &Query,
                const char *Name, uint64_t &Out) {
  const auto It = Query.find(Name);
  if (It == Query.end())
    return false;
  const char *End = It->second.data() + It->second.size();
  const auto Result = std::from_chars(It->second.data(), End, Out);
  return Result.ec == std::errc() && Result.ptr == End;
}

wire::PeerItem toWire(const StoreItem &Item) {
  wire::PeerItem Out;
  Out.key = Item.Key;
  Out.value = Item.Value;
  Out.revision = static_cast<int64_t>(Item.Revision);
  Out.createdRevision = static_cast<int64_t>(Item.CreatedRevision);
  Out.deleted = Item.Deleted;
  return Out;
}

StoreItem fromWire(wire::PeerItem &Item) {
  return {std::move(Item.key), std::move(Item.value),
          static_cast<uint64_t>(Item.revision),
          static_cast<uint64_t>(Item.createdRevision), Item.deleted};
}

wire::PeerEntry toWire(const PeerInfo &Peer) {
  wire::PeerEntry Out;
  Out.address = static_cast<int32_t>(Peer.Address.Address);
  Out.port = Peer.Address.Port;
  Out.zone = Peer.Zone;
  Out.age = Peer.Age.count();
  Out.linkMbps = static_cast<int32_t>(Peer.LinkMbps);
  return Out;
}

PeerInfo fromWire(wire::PeerEntry &Entry) {
  return {
      {static_cast<uint32_t>(Entry.address), static_cast<uint16_t>(Entry.port)},
      std::move(Entry.zone),
      Duration(Entry.age),
      static_cast<uint32_t>(Entry.linkMbps)};
}

wire::LostConfiguration toWire(const LostConfiguration &Known) {
  wire::LostConfiguration Out;
  Out.version = static_cast<int64_t>(Known.Version.value());
  Out.contentHash = static_cast<int64_t>(Known.ContentHash);
  return Out;
}

LostConfiguration fromWire(const wire::LostConfiguration &Known) {
  return {ConfigVersion(static_cast<uint64_t>(Known.version)),
          static_cast<uint64_t>(Known.contentHash)};
}

template <typename Struct> std::string write(const Struct &Value) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

template <typename Struct>
bool read(const std::string &Bytes, size_t MaxEntries, Struct &Out) {
  try {
    const auto Buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data())),
        static_cast<uint32_t>(Bytes.size()));
    // A text is no longer than the bytes, whatever its length field says.
    CompactProtocol Protocol(Buffer, static_cast<int32_t>(Bytes.size()),
                             static_cast<int32_t>(MaxEntries));
    Out.read(&Protocol);
  } catch (const std::exception &) {
    return false;
  }
  return true;
}

// The memory grows with what was unpacked, not with what the sender states.
std::optional<std::string> uncompressItems(const std::string &Bytes,
                                           size_t StatedBytes) {
  std::string Out;
  z_stream Stream{};
  const size_t MaxBytes = std::min(
      MaxUncompressedBytes, AnyRatioBytes + MaxCompressionRatio * Bytes.size());
  if (StatedBytes > MaxBytes || inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  std::array<char, UncompressStepBytes> Step{};
  int Status = Z_OK;
  while (Status == Z_OK && Out.size() <= StatedBytes) {
    Stream.next_out = reinterpret_cast<Bytef *>(Step.data());
    Stream.avail_out = Step.size();
    Status = inflate(&Stream, Z_NO_FLUSH);
    Out.append(Step.data(), Step.size() - Stream.avail_out);
  }
  inflateEnd(&Stream);
  if (Status != Z_STREAM_END || Out.size() != StatedBytes)
    return std::nullopt;
  return Out;
}

bool unpackItems(const std::string &Bytes, int32_t UnpackedBytes,
                 std::vector<StoreItem> &Out) {
  if (Bytes.empty())
    return true;
  if (UnpackedBytes <= 0)
    return false;
  const auto UncompressedBytes =
      uncompressItems(Bytes, static_cast<size_t>(UnpackedBytes));
  wire::PeerItems Content;
  if (!UncompressedBytes ||
      !read(*UncompressedBytes, UncompressedBytes->size() / MinItemBytes,
            Content))
    return false;
  Out.reserve(Content.items.size());
  for (wire::PeerItem &Item : Content.items)
    Out.push_back(fromWire(Item));
  return true;
}

bool isAgeValid(int64_t Age) {
  return Age >= 0 &&
         Age <= Duration(std::chrono::milliseconds(MaxMilliseconds)).count();
}

} // namespace

std::string encodePeerRequest(const PeerRequest &Request) {
  std::string Out =
      std::string(PeerPath) + "?era=" + std::to_string(Request.After.Era) +
      "&after=" + std::to_string(Request.After.Revision) +
      "&configuration=" + std::to_string(Request.Configuration.value()) +
      "&wait_ms=" + std::to_string(millisecondsOf(Request.Wait)) +
      "&from=" + encodePath(toString(Request.Sender.Address)) +
      "&zone=" + encodePath(Request.Sender.Zone) +
      "&link_mbps=" + std::to_string(Request.Sender.LinkMbps);
  if (Request.UndecidedVersion)
    Out += "&undecided=" + std::to_string(Request.UndecidedVersion->value());
  return Out;
}

std::optional<PeerRequest>
decodePeerRequest(const std::map<std::string, std::string> &Query) {
  PeerRequest Out;
  uint64_t WaitMs = 0;
  uint64_t LinkMbps = 0;
  uint64_t Configuration = 0;
  const auto Address = Query.find("from");
  const auto Zone = Query.find("zone");
  if (!readNumber(Query, "era", Out.After.Era) ||
      !readNumber(Query, "after", Out.After.Revision) ||
      !readNumber(Query, "configuration", Configuration) ||
      !readNumber(Query, "wait_ms", WaitMs) || WaitMs > MaxMilliseconds ||
      !readNumber(Query, "link_mbps", LinkMbps) || LinkMbps > UINT32_MAX ||
      Address == Query.end() || Zone == Query.end() ||
      Zone->second.size() > MaxNameBytes ||
      !parseEndpoint(Address->second, Out.Sender.Address))
    return std::nullopt;
  Out.Configuration = ConfigVersion(Configuration);
  uint64_t Undecided = 0;
  if (readNumber(Query, "undecided", Undecided))
    Out.UndecidedVersion = ConfigVersion(Undecided);
  Out.Wait = std::chrono::milliseconds(WaitMs);
  Out.Sender.Zone = Zone->second;
  Out.Sender.LinkMbps = static_cast<uint32_t>(LinkMbps);
  return Out;
}

PackedItems packItems(const std::vector<StoreItem> &Items) {
  if (Items.empty())
    return {};
  wire::PeerItems Content;
  for (const StoreItem &Item : Items)
    Content.items.push_back(toWire(Item));
  const std::string UncompressedBytes = write(Content);
  PackedItems Out;
  Out.UnpackedBytes = UncompressedBytes.size();
  uLongf Length = compressBound(UncompressedBytes.size());
  Out.Bytes.resize(Length);
  compress2(reinterpret_cast<Bytef *>(Out.Bytes.data()), &Length,
            reinterpret_cast<const Bytef *>(UncompressedBytes.data()),
            UncompressedBytes.size(), Z_BEST_SPEED);
  Out.Bytes.resize(Length);
  Out.Bytes.shrink_to_fit();
  return Out;
}

std::string encodePeerAnswer(const PeerAnswer &Answer,
                             const PackedItems &Packed) {
  wire::PeerState State;
  State.era = static_cast<int64_t>(Answer.Changes.Position.Era);
  State.revision = static_cast<int64_t>(Answer.Changes.Position.Revision);
  State.age = Answer.Changes.Age.count();
  State.complete = Answer.Changes.Complete;
  State.packedItems = Packed.Bytes;
  State.unpackedBytes = static_cast<int32_t>(Packed.UnpackedBytes);
  PackedItems Retained = packItems(Answer.Changes.Retained);
  State.packedRetainedItems = std::move(Retained.Bytes);
  State.unpackedRetainedBytes = static_cast<int32_t>(Retained.UnpackedBytes);
  for (const LostConfiguration &Known : Answer.Changes.Lost)
    State.lost.push_back(toWire(Known));
  for (const PeerInfo &Peer : Answer.Peers)
    State.peers.push_back(toWire(Peer));
  return write(State);
}

std::optional<PeerAnswer> decodePeerAnswer(const std::string &Bytes) {
  wire::PeerState State;
  PeerAnswer Out;
  if (!read(Bytes, MaxAnswerEntries, State) || !isAgeValid(State.age) ||
      !unpackItems(State.packedItems, State.unpackedBytes, Out.Changes.Items) ||
      !unpackItems(State.packedRetainedItems, State.unpackedRetainedBytes,
                   Out.Changes.Retained))
    return std::nullopt;
  Out.Changes.ResultStatus = StoreResult::Status::Answered;
  Out.Changes.Position = {static_cast<uint64_t>(State.era),
                          static_cast<uint64_t>(State.revision)};
  Out.Changes.Age = Duration(State.age);
  Out.Changes.Complete = State.complete;
  for (const wire::LostConfiguration &Known : State.lost)
    Out.Changes.Lost.push_back(fromWire(Known));
  for (wire::PeerEntry &Entry : State.peers)
    if (isAgeValid(Entry.age) && Entry.zone.size() <= MaxNameBytes)
      Out.Peers.push_back(fromWire(Entry));
  return Out;
}

} // namespace indigopoint
