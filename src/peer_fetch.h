#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "messages.h"

namespace indigopoint {

/// Payload of one ConfigChunk; with headers it fits in one Ethernet frame.
constexpr size_t ConfigChunkBytes = 1100;

/// Larger documents are refused. A snapshot of 43,000 upstreams has about
/// 7 MB.
constexpr size_t MaxConfigDocumentBytes = size_t{32} * 1024 * 1024;

/// Fetches one change or snapshot from a peer, a window of chunks at a time.
class PeerFetch {
public:
  enum class Result {
    /// A duplicate, or not part of this fetch.
    Ignored,
    Accepted,
    Complete,
    /// The peer has nothing newer.
    NothingNewer,
    TooLarge,
    Malformed
  };

  void start(InstanceId Peer, ConfigVersion Have, TimePoint Now);
  void stop();

  bool isActive() const { return Active; }
  InstanceId peer() const { return Peer; }
  ConfigVersion have() const { return Have; }

  /// The pulls to send now: new ones up to the window, and repeats.
  std::vector<ConfigPull> duePulls(TimePoint Now);

  /// The peer made no progress for too long.
  bool isExpired(TimePoint Now) const;

  Result onChunk(const ConfigChunk &Chunk, TimePoint Now);

  // Valid once a fetch is complete.
  ConfigVersion version() const { return Version; }
  bool isSnapshot() const { return Snapshot; }
  const std::string &document() const { return Document; }

private:
  Result onFirstChunk(const ConfigChunk &Chunk);
  void moveReceived();

  bool Active = false;
  InstanceId Peer;
  ConfigVersion Have;
  /// Zero until the first chunk.
  ConfigVersion Version;
  bool Snapshot = false;
  size_t Total = 0;
  /// Without gaps from the start.
  std::string Document;
  /// Chunks that arrived ahead of a gap, by offset. At most the window.
  std::map<size_t, std::string> Ahead;
  struct SentPull {
    TimePoint At{};
    unsigned Repeats = 0;
  };
  /// The pull of each open offset.
  std::map<size_t, SentPull> Pulled;
  TimePoint StartedAt{};
  TimePoint ProgressAt{};
};

} // namespace indigopoint
