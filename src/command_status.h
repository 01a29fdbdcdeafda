#pragma once

#include "command.h"

namespace indigopoint {

int runStatus(Arguments Args);

} // namespace indigopoint
