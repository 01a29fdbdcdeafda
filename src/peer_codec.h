#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peer_table.h"
#include "store_sync.h"

namespace indigopoint {

/// A request of one instance to another for changes of the store.
struct PeerRequest {
  /// The last position that the sender has; revision 0 requests all items.
  StorePosition After;
  /// The version of the configuration that the sender has in force.
  ConfigVersion Configuration;
  /// How long the receiver may hold the request until there are changes.
  Duration Wait{};
  /// The instance that sends the request.
  PeerInfo Sender;
  /// A version of which the sender does not know whether the restored store
  /// lacked it.
  std::optional<ConfigVersion> UndecidedVersion{};
};

/// Compressed items of the store. They are the same for all peers with the same
/// revision, so a change is compressed once and sent to many peers.
struct PackedItems {
  std::string Bytes;
  /// The size of the items before compression.
  size_t UnpackedBytes = 0;
};

/// The answer to a PeerRequest: changes of the store and information about
/// other instances.
struct PeerAnswer {
  StoreResult Changes;
  std::vector<PeerInfo> Peers;
};

/// Returns the path and the query of a request.
std::string encodePeerRequest(const PeerRequest &Request);

/// Returns nothing if a parameter is missing or invalid.
std::optional<PeerRequest>
decodePeerRequest(const std::map<std::string, std::string> &Query);

PackedItems packItems(const std::vector<StoreItem> &Items);

/// Encodes \p Packed instead of the items in \p Answer, except retained ones.
std::string encodePeerAnswer(const PeerAnswer &Answer,
                             const PackedItems &Packed);

/// Returns nothing if \p Bytes are malformed.
std::optional<PeerAnswer> decodePeerAnswer(const std::string &Bytes);

/// The path of peer requests. It ends with the version of the format, so that
/// instances with another format version get a 404 and read the store instead.
constexpr const char *PeerPath = "/peer/3";

} // namespace indigopoint
