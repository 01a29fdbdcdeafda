#pragma once

#include <string>
#include <vector>

#include "configuration.h"

namespace indigopoint {

/// Returns the change that turns \p Old into \p New. Its version is the version
/// of \p Old plus 1.
ConfigChange differenceOf(const Configuration &Old, const Configuration &New);

/// Returns whether \p Change has no effect.
bool isEmpty(const ConfigChange &Change);

/// Describes the difference for operators, one line per item: "+" added,
/// "-" removed, "~" changed. Empty if \p Old and \p New are equal.
std::string describeDifference(const Configuration &Old,
                               const Configuration &New);

/// Lists the differences between \p Old and \p New that break flows or may
/// deliver them to another service, one line each with the remedy.
std::vector<std::string> breakingChanges(const Configuration &Old,
                                         const Configuration &New);

} // namespace indigopoint
