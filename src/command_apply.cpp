#include "command_apply.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <random>
#include <sstream>

#include <nlohmann/json.hpp>
#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "change_set.h"
#include "site_arguments.h"
#include "store_arguments.h"
#include "store_client.h"
#include "version.h"

namespace indigopoint {

namespace {

struct ApplyOptions {
  std::string Author;
  bool DryRun = false;
  bool AsJson = false;
  bool AllowBreaking = false;
};

// An id of 128 random bits, so that two changes never share an id.
std::string newChangeId() {
  std::random_device Device;
  std::string Id;
  for (int Word = 0; Word < 4; ++Word) {
    std::array<char, 9> Hex{};
    std::snprintf(Hex.data(), Hex.size(), "%08x", Device());
    Id += Hex.data();
  }
  return Id;
}

nlohmann::json linesOf(const std::string &Text) {
  auto Lines = nlohmann::json::array();
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

// A missing overlay would remove all upstreams of its zone.
bool checkAllOverlaysGiven(const Configuration &Config,
                           const std::vector<std::string> &Overlays) {
  bool Complete = true;
  for (const ZoneConfig &Zone : Config.Zones)
    if (std::none_of(Overlays.begin(), Overlays.end(),
                     [&](const std::string &Path) {
                       return siteNameOf(Path) == Zone.Name;
                     })) {
      std::cerr
          << "--overlay: found none for zone " << Zone.Name
          << "; give the overlays of all zones; an overlay without changes "
             "contains \"{}\"\n";
      Complete = false;
    }
  return Complete;
}

// Compares the site files with the store and publishes the difference.
class ApplyCommand {
public:
  ApplyCommand(const SiteConfig &MergedConfig, KeyValueStore &Store,
               const std::string &Prefix, ApplyOptions Options)
      : MergedConfig(MergedConfig), Publisher(Store, Prefix, sleepFor),
        Options(std::move(Options)) {}

  int run();

private:
  int report(std::string_view Result, ConfigVersion Version,
             const std::string &Difference, int Code);
  int reportFailure(PublishStatus Status, ConfigVersion Version);
  int publish(const Configuration &CurrentConfig,
              const std::string &Difference);
  bool reportBreakingChanges(const Configuration &CurrentConfig) const;

  const SiteConfig &MergedConfig;
  ConfigPublisher Publisher;
  ApplyOptions Options;
};

int ApplyCommand::report(std::string_view Result, ConfigVersion Version,
                         const std::string &Difference, int Code) {
  if (Options.AsJson)
    std::cout << nlohmann::json({{"result", Result},
                                 {"version", Version.value()},
                                 {"difference", linesOf(Difference)}})
                     .dump(2)
              << "\n";
  else
    std::cout << Difference << Result << ": version " << Version.value()
              << "\n";
  return Code;
}

int ApplyCommand::reportFailure(PublishStatus Status, ConfigVersion Version) {
  std::string Difference;
  if (Status == PublishStatus::LostRace) {
    Configuration CurrentConfig;
    if (Publisher.readCurrent(CurrentConfig) == PublishStatus::Done) {
      Difference = describeDifference(CurrentConfig, MergedConfig.Config);
      Version = CurrentConfig.Version;
    }
  }
  std::cerr << Publisher.detail() << "; " << adviceFor(Status) << "\n";
  return report(nameOf(Status), Version, Difference, exitCodeOf(Status));
}

bool ApplyCommand::reportBreakingChanges(
    const Configuration &CurrentConfig) const {
  const std::vector<std::string> BreakingChanges =
      breakingChanges(CurrentConfig, MergedConfig.Config);
  for (const std::string &Change : BreakingChanges)
    std::cerr << Change << "; use --allow-breaking to apply it anyway\n";
  return !BreakingChanges.empty();
}

int ApplyCommand::run() {
  Configuration CurrentConfig;
  const PublishStatus ReadStatus = Publisher.readCurrent(CurrentConfig);
  if (ReadStatus != PublishStatus::Done)
    return reportFailure(ReadStatus, {});
  const SiteErrors Errors = checkServiceIds(CurrentConfig, MergedConfig);
  if (!Errors.empty()) {
    printErrors(Errors, Options.AsJson);
    return EX_CONFIG;
  }
  if (isEmpty(differenceOf(CurrentConfig, MergedConfig.Config)))
    return report("unchanged", CurrentConfig.Version, "", EX_OK);
  if (!Options.AllowBreaking && reportBreakingChanges(CurrentConfig))
    return EX_CONFIG;
  const std::string Difference =
      describeDifference(CurrentConfig, MergedConfig.Config);
  if (Options.DryRun)
    return report("dry-run", CurrentConfig.Version, Difference, EX_OK);
  return publish(CurrentConfig, Difference);
}

int ApplyCommand::publish(const Configuration &CurrentConfig,
                          const std::string &Difference) {
  ConfigChange Change = differenceOf(CurrentConfig, MergedConfig.Config);
  Change.ChangeId = newChangeId();
  Change.Author = Options.Author;
  const PublishStatus PublishResult = Publisher.publish(Change);
  if (PublishResult != PublishStatus::Done)
    return reportFailure(PublishResult, CurrentConfig.Version);
  Configuration NewConfig = CurrentConfig;
  applyChange(Change, NewConfig);
  if (!Publisher.writeSnapshotIfDue(NewConfig))
    std::cerr << "the change is accepted, but the snapshot of older changes "
                 "was not completed; the next apply retries the snapshot\n";
  return report("accepted", NewConfig.Version, Difference, EX_OK);
}

} // namespace

int runApply(Arguments Args) {
  TCLAP::CmdLine Line("Compares the files of all sites with the current "
                      "configuration and writes the difference to the store.",
                      ' ', Version);
  TCLAP::ValueArg<std::string> Base("", "base", "Base file", true, "", "FILE",
                                    Line);
  TCLAP::MultiArg<std::string> Overlays(
      "", "overlay", "Overlay of one site; give those of all sites", false,
      "FILE", Line);
  TCLAP::ValueArg<std::string> Platform("", "platform",
                                        "HTTP address of the platform", true,
                                        "", "ADDRESS:PORT", Line);
  TCLAP::ValueArg<std::string> Prefix("", "prefix",
                                      "Prefix of the keys in the store", false,
                                      "indigopoint/", "TEXT", Line);
  TCLAP::ValueArg<std::string> Author("", "author",
                                      "Author recorded with the change", false,
                                      "operator", "NAME", Line);
  TCLAP::SwitchArg DryRun("", "dry-run", "Only show the difference", Line);
  TCLAP::SwitchArg AsJson("", "json", "Print the result as JSON", Line);
  TCLAP::SwitchArg AllowBreaking("", "allow-breaking",
                                 "Apply a change that breaks flows", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  const auto Address = parsePlatform(Platform.getValue());
  if (!Address)
    return EX_USAGE;
  SiteConfig MergedConfig;
  if (const int Code = loadSiteConfig(Base.getValue(), Overlays.getValue(),
                                      AsJson.getValue(), MergedConfig);
      Code != EX_OK)
    return Code;
  if (!checkAllOverlaysGiven(MergedConfig.Config, Overlays.getValue()))
    return EX_USAGE;
  StoreClient Store(*Address);
  return ApplyCommand(MergedConfig, Store, Prefix.getValue(),
                      {Author.getValue(), DryRun.getValue(), AsJson.getValue(),
                       AllowBreaking.getValue()})
      .run();
}

} // namespace indigopoint
