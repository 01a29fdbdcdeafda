#include "command_line.h"

#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "timer_loop.h"

namespace indigopoint::standin {

CommonOptions::CommonOptions(TCLAP::CmdLine &Line)
    : ReadyFileArg("", "ready-file", "File to write the addresses to", false,
                   "", "PATH", Line),
      RunMsArg("", "run-ms", "End after this time; 0 runs until SIGTERM", false,
               0, "MS", Line),
      SeedArg("", "seed", "Seed of the random numbers", false, 1, "N", Line) {}

void CommonOptions::limitRunTime(TimerLoop &Loop) {
  if (RunMsArg.getValue() > 0)
    Loop.after(std::chrono::milliseconds(RunMsArg.getValue()),
               [&Loop] { Loop.stop(); });
}

void CommonOptions::writeReadyFile(const nlohmann::json &Ready) {
  if (!ReadyFileArg.getValue().empty())
    writeJsonFile(ReadyFileArg.getValue(), Ready);
}

void writeJsonFile(const std::string &Path, const nlohmann::json &Document) {
  const std::string Temporary = Path + ".tmp";
  std::ofstream File(Temporary);
  File << Document.dump(2) << '\n';
  File.close();
  if (!File || std::rename(Temporary.c_str(), Path.c_str()) != 0)
    throw std::runtime_error("cannot write " + Path + "; check the folder");
}

Endpoint endpointOption(TCLAP::ValueArg<std::string> &Option) {
  Endpoint Address;
  if (!parseEndpoint(Option.getValue(), Address))
    throw TCLAP::ArgParseException("'" + Option.getValue() +
                                       "' is not of the form 127.0.0.1:7000",
                                   Option.toString());
  return Address;
}

} // namespace indigopoint::standin
