#pragma once

#include <optional>
#include <string>
#include <vector>

#include <map>

#include "peer_table.h"
#include "store_sync.h"

namespace indigopoint {

/// What an instance asks another one.
struct PeerQuestion {
  /// The revision that is known; 0 asks for everything.
  uint64_t AfterRevision = 0;
  /// How long the answer may wait for news.
  Duration Wait{};
  /// Who asks.
  PeerNews Self;
};

/// What an instance tells another one: changes of the store and other
/// instances.
struct PeerAnswer {
  StoreResult Changes;
  std::vector<PeerNews> Peers;
};

/// Path and query of a call. \p AfterRevision in \p Asked is the first number.
std::string encodePeerQuestion(const PeerQuestion &Asked);

/// Nothing if a parameter is missing or wrong.
std::optional<PeerQuestion>
decodePeerQuestion(const std::map<std::string, std::string> &Query);

std::string encodePeerAnswer(const PeerAnswer &Answer);

/// Nothing if \p Bytes are malformed.
std::optional<PeerAnswer> decodePeerAnswer(const std::string &Bytes);

/// The path at which peers are asked.
constexpr const char *PeerPath = "/peer";

} // namespace indigopoint
