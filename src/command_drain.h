#pragma once

#include "command.h"

namespace indigopoint {

int runDrain(Arguments Args);

} // namespace indigopoint
