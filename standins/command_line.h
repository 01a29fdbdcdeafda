#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "types.h"

namespace indigopoint::standin {

class TimerLoop;

using Arguments = std::vector<std::string>;

/// The options that all subcommands share.
class CommonOptions {
public:
  explicit CommonOptions(TCLAP::CmdLine &Line);

  /// Ends the loop after the given run time, if there is one.
  void limitRunTime(TimerLoop &Loop);
  /// Writes the ready file, if one was asked for. It appears in one step, so
  /// that a waiting script never reads half of it.
  void writeReadyFile(const nlohmann::json &Ready);
  uint64_t seed() { return SeedArg.getValue(); }

private:
  TCLAP::ValueArg<std::string> ReadyFileArg;
  TCLAP::ValueArg<uint64_t> RunMsArg;
  TCLAP::ValueArg<uint64_t> SeedArg;
};

/// Writes \p Document to \p Path in one step.
void writeJsonFile(const std::string &Path, const nlohmann::json &Document);

/// Parses an address option; throws TCLAP::ArgException if it is not one.
Endpoint endpointOption(TCLAP::ValueArg<std::string> &Option);

int runPlatform(Arguments Args);
int runUpstream(Arguments Args);
int runFabric(Arguments Args);
int runCaller(Arguments Args);

} // namespace indigopoint::standin
