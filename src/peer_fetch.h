#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "messages.h"

namespace indigopoint {

/// Payload of one ConfigChunk; with headers it fits in one Ethernet frame.
constexpr size_t ConfigChunkBytes = 1100;

/// Larger documents are rejected. A snapshot of 43,000 upstreams has about
/// 7 MB.
constexpr size_t MaxConfigDocumentBytes = size_t{32} * 1024 * 1024;

/// Fetches one change or snapshot from a peer with a sliding window of chunks.
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

  /// Starts to fetch a version newer than \p BaseVersion from \p Peer.
  void start(InstanceId Peer, ConfigVersion BaseVersion, TimePoint Now);
  void stop();

  bool isActive() const { return Active; }
  InstanceId peer() const { return Peer; }
  ConfigVersion baseVersion() const { return BaseVersion; }

  /// Returns the pulls to send now: new ones within the window and repeats of
  /// unanswered ones.
  std::vector<ConfigPull> duePulls(TimePoint Now);

  /// Returns whether the peer made no progress for too long.
  bool isExpired(TimePoint Now) const;

  Result onChunk(const ConfigChunk &Chunk, TimePoint Now);

  // Valid after the fetch is complete.
  ConfigVersion version() const { return Version; }
  bool isSnapshot() const { return Snapshot; }
  const std::string &document() const { return Document; }

private:
  Result onFirstChunk(const ConfigChunk &Chunk);
  void appendContiguousChunks();

  bool Active = false;
  InstanceId Peer;
  ConfigVersion BaseVersion;
  /// Zero until the first chunk.
  ConfigVersion Version;
  bool Snapshot = false;
  size_t DocumentBytes = 0;
  /// The received bytes up to the first gap.
  std::string Document;
  /// Chunks received after a gap, by offset; at most one window.
  std::map<size_t, std::string> EarlyChunks;
  struct SentPull {
    TimePoint SentAt{};
    unsigned Repeats = 0;
  };
  /// The last pull of each offset that has not been received.
  std::map<size_t, SentPull> OutstandingPulls;
  TimePoint StartedAt{};
  TimePoint ProgressAt{};
};

} // namespace indigopoint
