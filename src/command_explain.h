#pragma once

#include "command.h"

namespace indigopoint {

/// Prints the lines of event logs that concern one flow, ordered by time.
int runExplain(Arguments Args);

} // namespace indigopoint
