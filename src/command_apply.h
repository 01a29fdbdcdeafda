#pragma once

#include "command.h"

namespace indigopoint {

int runApply(Arguments Args);

} // namespace indigopoint
