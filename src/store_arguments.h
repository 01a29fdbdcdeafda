#pragma once

#include <optional>
#include <string>

#include "config_publisher.h"
#include "types.h"

namespace indigopoint {

/// Parses the address of the platform; prints the remedy if it is malformed.
std::optional<Endpoint> parsePlatform(const std::string &Text);

/// The exit code for a failure, and the advice printed with it.
int exitCodeOf(PublishStatus Status);
std::string adviceFor(PublishStatus Status);

/// Sleeps between two attempts of a command.
void sleepFor(Duration Time);

} // namespace indigopoint
