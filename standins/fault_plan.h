#pragma once

#include <nlohmann/json.hpp>

#include "types.h"

namespace indigopoint::standin {

/// The faults that a test injects into the platform.
class FaultPlan {
public:
  /// Adds the faults of a JSON object; throws std::invalid_argument if it
  /// names an unknown one.
  void add(const nlohmann::json &Faults, TimePoint Now);

  bool outage(TimePoint Now) const { return Now < OutageUntil; }
  Duration delay() const { return Delay; }
  /// Returns whether the answer of the current write is dropped, and counts it.
  bool consumeLostWriteAnswer();
  /// Returns whether the current read gets an older value, and counts it.
  bool consumeStaleRead();

private:
  TimePoint OutageUntil{};
  Duration Delay{};
  uint64_t WriteAnswersToDrop = 0;
  uint64_t StaleReads = 0;
};

} // namespace indigopoint::standin
