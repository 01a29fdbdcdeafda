#include "peer_fetch.h"

#include <algorithm>

namespace indigopoint {

namespace {

// 8 chunks in flight fetch 7 MB in 1 s at a round-trip time of 1 ms.
constexpr size_t Window = 8;
// Longer than a round trip between zones (3 ms) plus the delay of a busy event
// loop.
constexpr std::chrono::milliseconds RepeatTimeout(50);
// The interval of repeats grows to 400 ms, to avoid additional load on a peer
// that answers late.
constexpr unsigned MaxDoublings = 3;
constexpr std::chrono::seconds PeerTimeout(2);
// A document up to this size must be complete within PeerTimeout. Otherwise a
// peer that sends one chunk per second would delay a change.
constexpr size_t MaxSmallDocumentBytes = size_t{64} * 1024;

} // namespace

void PeerFetch::start(InstanceId NewPeer, ConfigVersion NewBaseVersion,
                      TimePoint Now) {
  stop();
  Active = true;
  Peer = NewPeer;
  BaseVersion = NewBaseVersion;
  StartedAt = Now;
  ProgressAt = Now;
}

void PeerFetch::stop() { *this = PeerFetch(); }

std::vector<ConfigPull> PeerFetch::duePulls(TimePoint Now) {
  std::vector<ConfigPull> Pulls;
  if (!Active)
    return Pulls;
  // The size of the document is unknown until its first chunk.
  const size_t End =
      Version == ConfigVersion()
          ? 1
          : std::min(DocumentBytes,
                     Document.size() + Window * ConfigChunkBytes);
  for (size_t Offset = Document.size(); Offset < End;
       Offset += ConfigChunkBytes) {
    if (EarlyChunks.contains(Offset))
      continue;
    const auto [It, Inserted] =
        OutstandingPulls.try_emplace(Offset, SentPull{Now, 0});
    if (!Inserted) {
      SentPull &Sent = It->second;
      if (Now - Sent.SentAt < RepeatTimeout * (1U << Sent.Repeats))
        continue;
      Sent = {Now, std::min(Sent.Repeats + 1, MaxDoublings)};
    }
    Pulls.push_back({BaseVersion, Version, static_cast<uint32_t>(Offset)});
  }
  return Pulls;
}

bool PeerFetch::isExpired(TimePoint Now) const {
  if (!Active)
    return false;
  return Now - ProgressAt >= PeerTimeout ||
         (DocumentBytes <= MaxSmallDocumentBytes &&
          Now - StartedAt >= PeerTimeout);
}

PeerFetch::Result PeerFetch::onFirstChunk(const ConfigChunk &Chunk) {
  if (Chunk.Version <= BaseVersion || Chunk.Total == 0)
    return Result::NothingNewer;
  if (Chunk.Total > MaxConfigDocumentBytes)
    return Result::TooLarge;
  if (!Chunk.Snapshot && Chunk.Version.value() != BaseVersion.value() + 1)
    return Result::Malformed;
  // A late chunk of an earlier fetch from the same peer may come first.
  if (Chunk.Offset != 0)
    return Result::Ignored;
  Version = Chunk.Version;
  Snapshot = Chunk.Snapshot;
  DocumentBytes = Chunk.Total;
  return Result::Accepted;
}

PeerFetch::Result PeerFetch::onChunk(const ConfigChunk &Chunk, TimePoint Now) {
  if (!Active)
    return Result::Ignored;
  if (Version == ConfigVersion()) {
    const Result FirstResult = onFirstChunk(Chunk);
    if (FirstResult != Result::Accepted)
      return FirstResult;
  }
  if (Chunk.Version != Version || Chunk.Snapshot != Snapshot ||
      Chunk.Total != DocumentBytes || Chunk.Offset % ConfigChunkBytes != 0 ||
      Chunk.Offset >= DocumentBytes || Chunk.Offset < Document.size() ||
      Chunk.Offset >= Document.size() + Window * ConfigChunkBytes ||
      EarlyChunks.contains(Chunk.Offset))
    return Result::Ignored;
  if (Chunk.Bytes.size() !=
      std::min(ConfigChunkBytes, DocumentBytes - Chunk.Offset))
    return Result::Malformed;
  EarlyChunks[Chunk.Offset] = Chunk.Bytes;
  OutstandingPulls.erase(Chunk.Offset);
  ProgressAt = Now;
  appendContiguousChunks();
  return Document.size() == DocumentBytes ? Result::Complete : Result::Accepted;
}

void PeerFetch::appendContiguousChunks() {
  for (auto It = EarlyChunks.begin();
       It != EarlyChunks.end() && It->first == Document.size();
       It = EarlyChunks.erase(It))
    Document += It->second;
}

} // namespace indigopoint
