#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace TCLAP {
class CmdLine;
} // namespace TCLAP

namespace indigopoint {

using Arguments = std::vector<std::string>;

/// A subcommand. \c Run receives "indigopoint NAME" followed by the arguments
/// and returns an exit code from sysexits.h.
struct Command {
  std::string_view Name;
  std::string_view Brief;
  int (*Run)(Arguments Args);
};

/// Parses \p Args. Returns an exit code if the command must not run, because
/// help was printed or the arguments are invalid.
std::optional<int> parseArguments(TCLAP::CmdLine &Line, Arguments &Args);

} // namespace indigopoint
