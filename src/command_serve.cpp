#include "command_serve.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <list>

#include <nlohmann/json.hpp>
#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "event_loop.h"
#include "process_settings.h"
#include "server.h"
#include "version.h"

namespace indigopoint {

namespace {

// Whoever waits for the file must never see half of it, so it is renamed into
// place.
bool writeReadyFile(const std::string &Path, const Server &Running) {
  const nlohmann::json Ready = {{"address", toString(Running.address())},
                                {"admin", toString(Running.adminAddress())}};
  const std::string Partial = Path + ".partial";
  std::ofstream Stream(Partial, std::ios::trunc);
  Stream << Ready.dump() << "\n";
  Stream.close();
  return Stream.good() && std::rename(Partial.c_str(), Path.c_str()) == 0;
}

// One run of the process, from its start to its stop.
class Run {
public:
  explicit Run(const ProcessSettings &Settings)
      : Settings(Settings),
        Balancer(Loop, Settings, [this](const Server::StopResult &Result) {
          finish(Result.Unfinished,
                 Result.LimitReached ? "stopped at the limit" : "stopped");
        }) {}

  int serve(const std::string &ReadyFile) {
    if (const std::string Problem = Balancer.start(); !Problem.empty()) {
      logLine(LogLevel::Error, "serve", Problem);
      return EX_UNAVAILABLE;
    }
    logLine(LogLevel::Info, "serve",
            "started; name=" + Settings.Name +
                " address=" + toString(Balancer.address()) +
                " admin=" + toString(Balancer.adminAddress()));
    if (!ReadyFile.empty() && !writeReadyFile(ReadyFile, Balancer)) {
      logLine(LogLevel::Error, "serve",
              "cannot write the ready file; name a file in a writable "
              "folder; path=" +
                  ReadyFile);
      return EX_CANTCREAT;
    }
    for (const int Signal : {SIGTERM, SIGINT})
      Signals.push_back(
          LoopEvent::onSignal(Loop, Signal, [this] { onSignal(); }));
    Loop.run();
    return ExitCode;
  }

private:
  void onSignal() {
    if (Stopping) {
      finish(Balancer.unfinished(), "stopped by a second signal");
      return;
    }
    Stopping = true;
    Balancer.drain(Settings.DrainLimit);
  }

  void finish(uint32_t Unfinished, const std::string &What) {
    logLine(Unfinished == 0 ? LogLevel::Info : LogLevel::Warning, "serve",
            What + "; unfinished_requests=" + std::to_string(Unfinished));
    if (Unfinished > 0)
      ExitCode = EX_TEMPFAIL;
    Loop.stop();
  }

  const ProcessSettings &Settings;
  EventLoop Loop;
  Server Balancer;
  std::list<LoopEvent> Signals;
  bool Stopping = false;
  int ExitCode = EX_OK;
};

} // namespace

int runServe(Arguments Args) {
  TCLAP::CmdLine Line("Runs one instance.", ' ', Version);
  const TCLAP::ValueArg<std::string> SettingsFile(
      "s", "settings", "The settings file.", true, "", "FILE", Line);
  const TCLAP::ValueArg<std::string> ReadyFile(
      "", "ready-file",
      "Written with the bound addresses once the instance is ready.", false, "",
      "PATH", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  ProcessSettings Settings;
  const auto Errors = loadProcessSettings(SettingsFile.getValue(), Settings);
  for (const SettingsError &Error : Errors)
    std::cerr << toString(Error) << "\n";
  if (!Errors.empty())
    return EX_CONFIG;
  configureLogging(Settings.Log);
  return Run(Settings).serve(ReadyFile.getValue());
}

} // namespace indigopoint
