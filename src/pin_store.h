#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "messages.h"
#include "types.h"

namespace indigopoint {

/// Replicas of pins to a non-default upstream. This instance stores them as
/// backup instance for the home instances of their buckets; it does not store
/// the pins of its own flows here.
class PinStore {
public:
  /// Adds or replaces a pin, or removes it if it is marked as removed.
  void addOrRemove(const Pin &NewPin);

  /// Removes a pin and copies it to \p Out. Returns false if there is none.
  bool pop(FlowKey Flow, ServiceId Service, Pin &Out);

  /// Removes and returns all pins of \p Bucket.
  std::vector<Pin> popBucket(uint32_t Bucket);

  /// The pins of \p Bucket; null if there are none.
  const std::vector<Pin> *bucket(uint32_t Bucket) const;

  /// The buckets that have pins, in ascending order.
  std::vector<uint32_t> buckets() const;

  bool empty() const { return Buckets.empty(); }
  void clear() { Buckets.clear(); }

private:
  std::unordered_map<uint32_t, std::vector<Pin>> Buckets;
};

} // namespace indigopoint
