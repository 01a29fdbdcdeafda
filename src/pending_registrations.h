#pragma once

#include <map>
#include <string>
#include <vector>

#include "upstream_registry.h"

namespace indigopoint {

/// A registration of the store with its key.
struct KeyedRegistration {
  std::string Key;
  UpstreamRegistration Registration;
  uint64_t CreatedRevision = 0;
  uint64_t Revision = 0;
};

/// Readable registrations of the store that are not in force: the configuration
/// does not name their service, or another key registers their upstream. The
/// store does not send them again when that changes.
class PendingRegistrations {
public:
  void put(KeyedRegistration Entry);
  void erase(const std::string &Key) { Entries.erase(Key); }

  void startSnapshot();
  /// Erases the entries that were not put since startSnapshot.
  void finishSnapshot();

  /// All entries in the order of their creation.
  std::vector<KeyedRegistration> entries() const;

private:
  struct State {
    KeyedRegistration Entry;
    bool IsInSnapshot = true;
  };

  std::map<std::string, State> Entries;
};

} // namespace indigopoint
