#include "command.h"

#include <iostream>

#include <sysexits.h>
#include <tclap/CmdLine.h>

namespace indigopoint {

std::optional<int> parseArguments(TCLAP::CmdLine &Line, Arguments &Args) {
  Line.setExceptionHandling(false);
  const std::string Program = Args.front();
  try {
    Line.parse(Args);
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus() == 0 ? EX_OK : EX_USAGE;
  } catch (const TCLAP::ArgException &Error) {
    std::cerr << Program << ": " << Error.error() << " (" << Error.argId()
              << "); see \"" << Program << " --help\"\n";
    return EX_USAGE;
  }
  return std::nullopt;
}

} // namespace indigopoint
