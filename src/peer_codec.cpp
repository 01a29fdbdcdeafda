#include "peer_codec.h"

#include <charconv>

#include <zlib.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "gen/protocol_types.h"
#include "http_client.h"

namespace indigopoint {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol =
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

// A peer waits at most this long, and no belief is older than this.
constexpr int64_t MostMs = 3'600'000;

// Many times what the largest installations need.
constexpr int32_t MostUnpackedBytes = 128 * 1024 * 1024;

bool readNumber(const std::map<std::string, std::string> &Query,
                const char *Name, uint64_t &Out) {
  const auto Found = Query.find(Name);
  if (Found == Query.end())
    return false;
  const char *End = Found->second.data() + Found->second.size();
  const auto Read = std::from_chars(Found->second.data(), End, Out);
  return Read.ec == std::errc() && Read.ptr == End;
}

wire::PeerItem toWire(const StoreItem &Given) {
  wire::PeerItem Out;
  Out.key = Given.Key;
  Out.value = Given.Value;
  Out.revision = static_cast<int64_t>(Given.Revision);
  Out.createdRevision = static_cast<int64_t>(Given.CreatedRevision);
  Out.deleted = Given.Deleted;
  return Out;
}

StoreItem fromWire(wire::PeerItem &Given) {
  return {std::move(Given.key), std::move(Given.value),
          static_cast<uint64_t>(Given.revision),
          static_cast<uint64_t>(Given.createdRevision), Given.deleted};
}

wire::PeerEntry toWire(const PeerInfo &Given) {
  wire::PeerEntry Out;
  Out.address = static_cast<int32_t>(Given.Address.Address);
  Out.port = Given.Address.Port;
  Out.zone = Given.Zone;
  Out.age = Given.Age.count();
  Out.linkMbps = static_cast<int32_t>(Given.LinkMbps);
  return Out;
}

PeerInfo fromWire(wire::PeerEntry &Given) {
  return {
      {static_cast<uint32_t>(Given.address), static_cast<uint16_t>(Given.port)},
      std::move(Given.zone),
      Duration(Given.age),
      static_cast<uint32_t>(Given.linkMbps)};
}

template <typename Struct> std::string write(const Struct &Given) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol Protocol(Buffer);
  Given.write(&Protocol);
  return Buffer->getBufferAsString();
}

template <typename Struct> bool read(const std::string &Bytes, Struct &Out) {
  try {
    const auto Buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data())),
        static_cast<uint32_t>(Bytes.size()));
    CompactProtocol Protocol(Buffer);
    Out.read(&Protocol);
  } catch (const apache::thrift::TException &) {
    return false;
  }
  return true;
}

bool unpackItems(const wire::PeerState &Given, wire::PeerItems &Out) {
  if (Given.packedItems.empty())
    return true;
  if (Given.unpackedBytes <= 0 || Given.unpackedBytes > MostUnpackedBytes)
    return false;
  std::string Plain(static_cast<size_t>(Given.unpackedBytes), '\0');
  uLongf Length = Plain.size();
  const int Status =
      uncompress(reinterpret_cast<Bytef *>(Plain.data()), &Length,
                 reinterpret_cast<const Bytef *>(Given.packedItems.data()),
                 Given.packedItems.size());
  return Status == Z_OK && Length == Plain.size() && read(Plain, Out);
}

bool isAgeValid(int64_t Age) {
  return Age >= 0 && Age <= Duration(std::chrono::milliseconds(MostMs)).count();
}

} // namespace

std::string encodePeerRequest(const PeerRequest &Asked) {
  return std::string(PeerPath) +
         "?after=" + std::to_string(Asked.AfterRevision) +
         "&wait_ms=" + std::to_string(millisecondsOf(Asked.Wait)) +
         "&from=" + encodePath(toString(Asked.Self.Address)) +
         "&zone=" + encodePath(Asked.Self.Zone) +
         "&link_mbps=" + std::to_string(Asked.Self.LinkMbps);
}

std::optional<PeerRequest>
decodePeerRequest(const std::map<std::string, std::string> &Query) {
  PeerRequest Out;
  uint64_t WaitMs = 0;
  uint64_t LinkMbps = 0;
  const auto From = Query.find("from");
  const auto Zone = Query.find("zone");
  if (!readNumber(Query, "after", Out.AfterRevision) ||
      !readNumber(Query, "wait_ms", WaitMs) || WaitMs > MostMs ||
      !readNumber(Query, "link_mbps", LinkMbps) || LinkMbps > UINT32_MAX ||
      From == Query.end() || Zone == Query.end() ||
      !parseEndpoint(From->second, Out.Self.Address))
    return std::nullopt;
  Out.Wait = std::chrono::milliseconds(WaitMs);
  Out.Self.Zone = Zone->second;
  Out.Self.LinkMbps = static_cast<uint32_t>(LinkMbps);
  return Out;
}

PackedItems packItems(const std::vector<StoreItem> &Items) {
  if (Items.empty())
    return {};
  wire::PeerItems Content;
  for (const StoreItem &Each : Items)
    Content.items.push_back(toWire(Each));
  const std::string Plain = write(Content);
  PackedItems Out;
  Out.UnpackedBytes = Plain.size();
  uLongf Length = compressBound(Plain.size());
  Out.Bytes.resize(Length);
  compress2(reinterpret_cast<Bytef *>(Out.Bytes.data()), &Length,
            reinterpret_cast<const Bytef *>(Plain.data()), Plain.size(),
            Z_BEST_SPEED);
  Out.Bytes.resize(Length);
  Out.Bytes.shrink_to_fit();
  return Out;
}

std::string encodePeerAnswer(const PeerAnswer &Answer,
                             const PackedItems &Packed) {
  wire::PeerState State;
  State.revision = static_cast<int64_t>(Answer.Changes.Revision);
  State.age = Answer.Changes.Age.count();
  State.complete = Answer.Changes.Complete;
  State.packedItems = Packed.Bytes;
  State.unpackedBytes = static_cast<int32_t>(Packed.UnpackedBytes);
  for (const PeerInfo &Each : Answer.Peers)
    State.peers.push_back(toWire(Each));
  return write(State);
}

std::optional<PeerAnswer> decodePeerAnswer(const std::string &Bytes) {
  wire::PeerState State;
  wire::PeerItems Content;
  if (!read(Bytes, State) || !isAgeValid(State.age) ||
      !unpackItems(State, Content))
    return std::nullopt;
  PeerAnswer Out;
  Out.Changes.ResultStatus = StoreResult::Status::Answered;
  Out.Changes.Revision = static_cast<uint64_t>(State.revision);
  Out.Changes.Age = Duration(State.age);
  Out.Changes.Complete = State.complete;
  for (wire::PeerItem &Each : Content.items)
    Out.Changes.Items.push_back(fromWire(Each));
  for (wire::PeerEntry &Each : State.peers)
    if (isAgeValid(Each.age))
      Out.Peers.push_back(fromWire(Each));
  return Out;
}

} // namespace indigopoint
