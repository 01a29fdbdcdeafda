#pragma once

#include "command.h"

namespace indigopoint {

int runVersion(Arguments Args);

} // namespace indigopoint
