#include "process_settings.h"

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

using Json = nlohmann::json;

void readLogSettings(const Json &Value, const std::string &File,
                     LogSettings &Out, std::vector<SettingsError> &Errors) {
  if (!Value.is_object()) {
    Errors.push_back({File, "/log", Value.dump(), "give an object"});
    return;
  }
  SettingsReader Reader(Value, "/log", File, Errors);
  std::string Level(nameOf(Out.Level));
  Reader.text("level", Level);
  Reader.text("file", Out.File);
  bool IsValid = false;
  for (const LogLevel Candidate :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
    if (nameOf(Candidate) == Level) {
      Out.Level = Candidate;
      IsValid = true;
    }
  }
  if (!IsValid)
    Reader.fail("level", '"' + Level + '"',
                "use debug, info, warning or error");
  Reader.reportUnknownKeys();
}

void readSettings(SettingsReader &Reader, const std::string &File,
                  ProcessSettings &Out, std::vector<SettingsError> &Errors) {
  Reader.text("name", Out.Name, true);
  Reader.text("zone", Out.Zone, true);
  Reader.text("region", Out.Region, true);
  Reader.endpoint("address", Out.Address, true);
  Reader.endpoint("adminAddress", Out.AdminAddress);
  Reader.endpoints("seeds", Out.Seeds);
  Reader.endpoint("platform", Out.Platform);
  Reader.text("storePrefix", Out.StorePrefix);
  Reader.milliseconds("healthProbePeriodMs", Out.HealthProbePeriod, 10, 60'000);
  Reader.milliseconds("drainLimitMs", Out.DrainLimit, 0, 3'600'000);
  Reader.optionalUnsigned("seed", Out.Seed);
  if (const Json *Log = Reader.find("log"))
    readLogSettings(*Log, File, Out.Log, Errors);
}

} // namespace

std::vector<SettingsError> parseProcessSettings(const std::string &Text,
                                                const std::string &File,
                                                ProcessSettings &Out) {
  ProcessSettings Parsed;
  std::vector<SettingsError> LogErrors;
  std::vector<SettingsError> Errors =
      readSettingsText(Text, File, [&](SettingsReader &Reader) {
        readSettings(Reader, File, Parsed, LogErrors);
      });
  Errors.insert(Errors.end(), LogErrors.begin(), LogErrors.end());
  if (Errors.empty())
    Out = std::move(Parsed);
  return Errors;
}

std::vector<SettingsError> loadProcessSettings(const std::string &File,
                                               ProcessSettings &Out) {
  std::string Text;
  const std::vector<SettingsError> Errors = readSettingsFile(File, Text);
  return Errors.empty() ? parseProcessSettings(Text, File, Out) : Errors;
}

} // namespace indigopoint
