#pragma once

#include <memory>

#include "simulation.h"

namespace indigopoint::measure {

/// The production decision engine, one per instance.
std::unique_ptr<Strategy> makeEngineStrategy();

} // namespace indigopoint::measure
