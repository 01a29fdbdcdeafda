#pragma once

#include "command.h"

namespace indigopoint {

int runServe(Arguments Args);

} // namespace indigopoint
