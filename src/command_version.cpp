#include "command_version.h"

#include <iostream>

#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "version.h"

namespace indigopoint {

int runVersion(Arguments Args) {
  TCLAP::CmdLine Line("Prints the version.", ' ', Version);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  std::cout << "indigopoint " << Version << "\n";
  return EX_OK;
}

} // namespace indigopoint
