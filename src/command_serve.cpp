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

// The file is written under a temporary name and then renamed, so that readers
// never see an incomplete file.
bool writeReadyFile(const std::string &Path, const Server &Instance) {
  const nlohmann::json Ready = {{"address", toString(Instance.address())},
                                {"admin", toString(Instance.adminAddress())}};
  const std::string Partial = Path + ".partial";
  std::ofstream Stream(Partial, std::ios::trunc);
  Stream << Ready.dump() << "\n";
  Stream.close();
  return Stream.good() && std::rename(Partial.c_str(), Path.c_str()) == 0;
}

// The serve process: runs one instance until it has stopped.
class ServeProcess {
public:
  explicit ServeProcess(const ProcessSettings &Settings)
      : Settings(Settings),
        Instance(Loop, Settings, [this](const Server::StopResult &Result) {
          finish(Result.UnfinishedRequests,
                 Result.LimitReached ? "stopped at the shutdown time limit"
                                     : "stopped");
        }) {}

  int serve(const std::string &ReadyFile) {
    if (const std::string Problem = Instance.start(); !Problem.empty()) {
      logLine(LogLevel::Error, "serve", Problem);
      return EX_UNAVAILABLE;
    }
    logLine(LogLevel::Info, "serve",
            "started; name=" + Settings.Name +
                " address=" + toString(Instance.address()) +
                " admin=" + toString(Instance.adminAddress()));
    if (!ReadyFile.empty() && !writeReadyFile(ReadyFile, Instance)) {
      logLine(LogLevel::Error, "serve",
              "cannot write the ready file; use a path in a writable "
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
      finish(Instance.unfinishedRequests(), "stopped by a second signal");
      return;
    }
    Stopping = true;
    Instance.drain(Settings.DrainLimit);
  }

  void finish(uint32_t UnfinishedRequests, const std::string &Message) {
    logLine(UnfinishedRequests == 0 ? LogLevel::Info : LogLevel::Warning,
            "serve",
            Message +
                "; unfinished_requests=" + std::to_string(UnfinishedRequests));
    if (UnfinishedRequests > 0)
      ExitCode = EX_TEMPFAIL;
    Loop.stop();
  }

  const ProcessSettings &Settings;
  EventLoop Loop;
  Server Instance;
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
      "File to write the bound addresses to once the instance is ready.", false,
      "", "PATH", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  ProcessSettings Settings;
  const auto Errors = loadProcessSettings(SettingsFile.getValue(), Settings);
  for (const SettingsError &Error : Errors)
    std::cerr << toString(Error) << "\n";
  if (!Errors.empty())
    return EX_CONFIG;
  configureLogging(Settings.Log);
  return ServeProcess(Settings).serve(ReadyFile.getValue());
}

} // namespace indigopoint
