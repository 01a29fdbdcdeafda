#pragma once

#include "command.h"

namespace indigopoint {

int runShow(Arguments Args);

} // namespace indigopoint
