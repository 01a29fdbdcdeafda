#pragma once

#include <string>
#include <string_view>

#include "types.h"

namespace indigopoint {

struct LogSettings {
  LogLevel Level = LogLevel::Info;
  /// Path of the log file; empty for standard error.
  std::string File;
};

/// Sets up logging for the process. Before this call, lines of level Info and
/// above go to standard error.
void configureLogging(const LogSettings &Settings);

/// Writes one line: time, level, \p Component, a short sentence and key=value
/// details.
void logLine(LogLevel Level, std::string_view Component, std::string_view Text);

} // namespace indigopoint
