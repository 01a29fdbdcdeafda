#pragma once

#include <cstdint>

#include "types.h"

namespace indigopoint {

struct Blackboard;

/// Whether the absence of a record at the home instance proves that no copy of
/// a request has run. \p Attempt is 0 for the first copy; \p Age is the time
/// since the first copy was sent as its caller states it, 0 if unknown.
bool hasNeverRun(const Blackboard &Board, uint32_t Bucket, uint32_t Attempt,
                 Duration Age);

} // namespace indigopoint
