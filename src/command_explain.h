#pragma once

#include "command.h"

namespace indigopoint {

int runExplain(Arguments Args);

} // namespace indigopoint
