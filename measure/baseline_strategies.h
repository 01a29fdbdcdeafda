#pragma once

#include <memory>
#include <vector>

#include "simulation.h"

namespace indigopoint::measure {

/// Each instance hashes independently and keeps a local table of flows.
std::unique_ptr<Strategy> makeLocalHashStrategy();

/// The home instance of a flow picks the upstream with the fewest of its own
/// flows; the other instances relay. No state is transferred when an instance
/// leaves.
std::unique_ptr<Strategy> makeHomeInstanceStrategy();

/// Flows hash to upstreams; the owner instance of the upstream sends the
/// requests. No state is transferred when an instance leaves.
std::unique_ptr<Strategy> makeOwnerInstanceStrategy();

/// A single dispatcher that knows the exact flow count of every upstream and
/// never fails. It is an upper bound for balance, not a feasible design.
std::unique_ptr<Strategy> makeIdealStrategy();

} // namespace indigopoint::measure
