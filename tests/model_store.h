#pragma once

#include <map>
#include <string>
#include <vector>

#include "store_sync.h"

namespace indigopoint {

/// A store in memory that can return to an older copy of itself.
class ModelStore {
public:
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);

  /// Keeps a copy of all items.
  void copy();

  /// Returns to the last copy. Everything written since is gone, and its
  /// revisions are given out again.
  void restore();

  /// Answers a call as the store does now.
  StoreResult answer(const StoreQuery &Query) const;

  StorePosition position() const { return {Era, State.Revision}; }

  /// Number of items in one page of a snapshot.
  size_t PageSize = 1000;

private:
  struct Contents {
    uint64_t Revision = 1;
    std::map<std::string, StoreItem> Items;
    std::vector<StoreItem> History;
  };

  uint64_t Era = 1;
  Contents State;
  Contents Copy;
  /// Changes up to this revision are not available.
  uint64_t HistoryStart = 0;
};

} // namespace indigopoint
