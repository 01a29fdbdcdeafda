#pragma once

#include "types.h"

namespace indigopoint {

/// A monotonic clock. The decision logic has no other source of time, so that
/// tests can run in virtual time.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

} // namespace indigopoint
