#pragma once

#include <cstddef>

namespace indigopoint {

/// Counts what the process allocates by the operator new while it exists. One
/// at a time.
class AllocationMeter {
public:
  AllocationMeter();

  /// The most bytes that were allocated at the same time.
  size_t peak() const;

  /// The bytes that are still allocated.
  size_t kept() const;

private:
  size_t Before;
};

} // namespace indigopoint
