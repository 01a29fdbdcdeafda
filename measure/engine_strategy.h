#pragma once

#include <memory>

#include "simulation.h"

namespace indigopoint::measure {

/// The decision engines of this project, one per instance.
std::unique_ptr<Strategy> makeEngineStrategy();

} // namespace indigopoint::measure
