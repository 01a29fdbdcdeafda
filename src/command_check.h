#pragma once

#include "command.h"

namespace indigopoint {

int runCheck(Arguments Args);

} // namespace indigopoint
