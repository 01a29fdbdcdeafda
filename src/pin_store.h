#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "messages.h"
#include "types.h"

namespace indigopoint {

/// Pins that differ from the default choice, kept as backup home for the
/// home instances of their buckets.
class PinStore {
public:
  /// Adds or replaces a pin, or removes it if it is marked as removed.
  void apply(const Pin &Given);

  /// Takes a pin out. Returns false if there is none.
  bool pop(FlowKey Flow, ServiceId Service, Pin &Out);

  /// Takes all pins of \p Bucket out.
  std::vector<Pin> popBucket(uint32_t Bucket);

  /// The pins of \p Bucket; null if there are none.
  const std::vector<Pin> *bucket(uint32_t Bucket) const;

  std::vector<uint32_t> buckets() const;

  bool empty() const { return Buckets.empty(); }
  void clear() { Buckets.clear(); }

private:
  std::unordered_map<uint32_t, std::vector<Pin>> Buckets;
};

} // namespace indigopoint
