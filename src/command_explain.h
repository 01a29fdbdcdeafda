#pragma once

#include "command.h"

namespace indigopoint {

int runExplain(Arguments Given);

} // namespace indigopoint
