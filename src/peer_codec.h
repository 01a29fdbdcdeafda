#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peer_table.h"
#include "store_sync.h"

namespace indigopoint {

/// What an instance asks another one.
struct PeerRequest {
  /// The revision that is known; 0 asks for everything.
  uint64_t AfterRevision = 0;
  /// How long the answer may wait for news.
  Duration Wait{};
  /// Who asks.
  PeerInfo Self;
};

/// Items of the store as they are sent. Equal for all who know the same
/// revision, so that a change is packed once and sent to many.
struct PackedItems {
  std::string Bytes;
  /// Before the compression.
  size_t UnpackedBytes = 0;
};

/// What an instance tells another one: changes of the store and other
/// instances.
struct PeerAnswer {
  StoreResult Changes;
  std::vector<PeerInfo> Peers;
};

/// Path and query of a call. \p AfterRevision in \p Asked is the first number.
std::string encodePeerRequest(const PeerRequest &Asked);

/// Nothing if a parameter is missing or wrong.
std::optional<PeerRequest>
decodePeerRequest(const std::map<std::string, std::string> &Query);

PackedItems packItems(const std::vector<StoreItem> &Items);

/// \p Packed takes the place of the items in \p Answer.
std::string encodePeerAnswer(const PeerAnswer &Answer,
                             const PackedItems &Packed);

/// Nothing if \p Bytes are malformed.
std::optional<PeerAnswer> decodePeerAnswer(const std::string &Bytes);

/// The path at which peers are asked. It ends with the version of the format:
/// instances of another one find nothing there and ask the store.
constexpr const char *PeerPath = "/peer/2";

} // namespace indigopoint
