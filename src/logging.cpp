#include "logging.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace indigopoint {

namespace {

constexpr const char *LineFormat =
    "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg";

el::Level toLibraryLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return el::Level::Debug;
  case LogLevel::Info:
    return el::Level::Info;
  case LogLevel::Warning:
    return el::Level::Warning;
  case LogLevel::Error:
    break;
  }
  return el::Level::Error;
}

} // namespace

void configureLogging(const LogSettings &Settings) {
  el::Configurations Config;
  const bool ToFile = !Settings.File.empty();
  Config.setGlobally(el::ConfigurationType::Format, LineFormat);
  Config.setGlobally(el::ConfigurationType::ToFile, ToFile ? "true" : "false");
  Config.setGlobally(el::ConfigurationType::ToStandardOutput,
                     ToFile ? "false" : "true");
  if (ToFile)
    Config.setGlobally(el::ConfigurationType::Filename, Settings.File);
  for (const LogLevel Level :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error})
    Config.set(toLibraryLevel(Level), el::ConfigurationType::Enabled,
               Level >= Settings.Level ? "true" : "false");
  el::Loggers::reconfigureAllLoggers(Config);
}

void logLine(LogLevel Level, std::string_view Component,
             std::string_view Text) {
  std::string Line(Component);
  Line.append(": ").append(Text);
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << Line;
    break;
  case LogLevel::Info:
    LOG(INFO) << Line;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    break;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    break;
  }
}

} // namespace indigopoint
