#include "command_drain.h"

#include <iostream>

#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "admin_call.h"
#include "version.h"

namespace indigopoint {

int runDrain(Arguments Args) {
  const std::string Program = Args.front();
  TCLAP::CmdLine Line("Starts the graceful shutdown of a running instance.",
                      ' ', Version);
  const TCLAP::ValueArg<std::string> Admin("a", "admin",
                                           "The admin address of the instance.",
                                           true, "", "ADDRESS:PORT", Line);
  const TCLAP::ValueArg<uint32_t> Limit(
      "l", "limit-ms",
      "Time limit of the shutdown; default: drainLimitMs of the instance.",
      false, 0, "MILLISECONDS", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  std::string Target = "/drain";
  if (Limit.isSet())
    Target += "?limit_ms=" + std::to_string(Limit.getValue());
  std::string Body;
  if (const int Code =
          callAdmin(Program, Admin.getValue(), "POST", Target, Body))
    return Code;
  std::cout << Body << "\n";
  return EX_OK;
}

} // namespace indigopoint
