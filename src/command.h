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

/// A subcommand. \c Run gets "indigopoint NAME" and the arguments, and returns
/// an exit code of sysexits.h.
struct Command {
  std::string_view Name;
  std::string_view Brief;
  int (*Run)(Arguments Args);
};

/// Parses \p Args. Returns the exit code if the command ends here, because
/// help was shown or the arguments are wrong.
std::optional<int> parseArguments(TCLAP::CmdLine &Line, Arguments &Args);

} // namespace indigopoint
