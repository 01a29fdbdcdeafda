#pragma once

#include <optional>
#include <string>

#include "config_publisher.h"
#include "types.h"

namespace indigopoint {

/// Parses the address of the platform. Prints an error with the remedy if the
/// address is malformed.
std::optional<Endpoint> parsePlatform(const std::string &Text);

/// Return the exit code for a status and the advice that is printed with it.
int exitCodeOf(PublishStatus Status);
std::string adviceFor(PublishStatus Status);

/// Blocks the command between two attempts.
void sleepFor(Duration Time);

} // namespace indigopoint
