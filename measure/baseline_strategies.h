#pragma once

#include <memory>
#include <vector>

#include "simulation.h"

namespace indigopoint::measure {

/// (a) Each instance hashes alone and keeps a local table of flows.
std::unique_ptr<Strategy> makeLocalHashStrategy();

/// (b) A home instance per flow picks the upstream it knows as least loaded;
/// others relay. Nothing is handed over.
std::unique_ptr<Strategy> makeHomeStrategy();

/// (c) Flows hash to upstreams; the owner instance of the upstream keeps its
/// slots. Nothing is handed over.
std::unique_ptr<Strategy> makeOwnerStrategy();

/// One dispatcher that knows every upstream's flows exactly and never fails:
/// the best balance that can be had. It is not a way that could be built.
std::unique_ptr<Strategy> makeOracleStrategy();

} // namespace indigopoint::measure
