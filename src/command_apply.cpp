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
  bool MayBreak = false;
};

// 128 random bits: two changes never share an id.
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
  for (std::string Each; std::getline(Stream, Each);)
    Lines.push_back(Each);
  return Lines;
}

// A forgotten overlay would remove all upstreams of its zone.
bool hasAllOverlays(const Configuration &Config,
                    const std::vector<std::string> &Overlays) {
  bool Complete = true;
  for (const ZoneConfig &Zone : Config.Zones)
    if (std::none_of(Overlays.begin(), Overlays.end(),
                     [&](const std::string &Path) {
                       return siteNameOf(Path) == Zone.Name;
                     })) {
      std::cerr << "--overlay: found none for zone " << Zone.Name
                << "; give the overlays of all zones, with \"{}\" for one that "
                   "adds nothing\n";
      Complete = false;
    }
  return Complete;
}

// One run of the command.
class Apply {
public:
  Apply(const SiteConfig &Site, KeyValueStore &Store, const std::string &Prefix,
        ApplyOptions Options)
      : Site(Site), Publisher(Store, Prefix, sleepFor),
        Options(std::move(Options)) {}

  int run();

private:
  int report(std::string_view Result, ConfigVersion Version,
             const std::string &Difference, int Code);
  int reportFailure(PublishStatus Status, ConfigVersion Version);
  int publish(const Configuration &InForce, const std::string &Difference);
  bool isBreaking(const Configuration &InForce) const;

  const SiteConfig &Site;
  ConfigPublisher Publisher;
  ApplyOptions Options;
};

int Apply::report(std::string_view Result, ConfigVersion Version,
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

int Apply::reportFailure(PublishStatus Status, ConfigVersion Version) {
  std::string Difference;
  if (Status == PublishStatus::LostRace) {
    Configuration Now;
    if (Publisher.readCurrent(Now) == PublishStatus::Done) {
      Difference = describeDifference(Now, Site.Config);
      Version = Now.Version;
    }
  }
  std::cerr << Publisher.detail() << "; " << adviceFor(Status) << "\n";
  return report(nameOf(Status), Version, Difference, exitCodeOf(Status));
}

bool Apply::isBreaking(const Configuration &InForce) const {
  const std::vector<std::string> Found = breakingChanges(InForce, Site.Config);
  for (const std::string &Each : Found)
    std::cerr << Each << "; --allow-breaking applies it all the same\n";
  return !Found.empty();
}

int Apply::run() {
  Configuration InForce;
  const PublishStatus Read = Publisher.readCurrent(InForce);
  if (Read != PublishStatus::Done)
    return reportFailure(Read, {});
  const SiteErrors Errors = checkServiceIds(InForce, Site);
  if (!Errors.empty()) {
    printErrors(Errors, Options.AsJson);
    return EX_CONFIG;
  }
  if (isEmpty(differenceOf(InForce, Site.Config)))
    return report("unchanged", InForce.Version, "", EX_OK);
  if (!Options.MayBreak && isBreaking(InForce))
    return EX_CONFIG;
  const std::string Difference = describeDifference(InForce, Site.Config);
  if (Options.DryRun)
    return report("dry-run", InForce.Version, Difference, EX_OK);
  return publish(InForce, Difference);
}

int Apply::publish(const Configuration &InForce,
                   const std::string &Difference) {
  ConfigChange Change = differenceOf(InForce, Site.Config);
  Change.ChangeId = newChangeId();
  Change.Author = Options.Author;
  const PublishStatus Written = Publisher.publish(Change);
  if (Written != PublishStatus::Done)
    return reportFailure(Written, InForce.Version);
  Configuration Next = InForce;
  applyChange(Change, Next);
  if (!Publisher.writeSnapshotIfDue(Next))
    std::cerr << "the change is accepted, but the snapshot of older changes "
                 "was not completed; the next apply repeats it\n";
  return report("accepted", Next.Version, Difference, EX_OK);
}

} // namespace

int runApply(Arguments Args) {
  TCLAP::CmdLine Line("Compares the files of all sites with what is in force "
                      "and writes the difference to the store.",
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
  TCLAP::ValueArg<std::string> Author("", "author", "Name kept with the change",
                                      false, "operator", "NAME", Line);
  TCLAP::SwitchArg DryRun("", "dry-run", "Only show the difference", Line);
  TCLAP::SwitchArg AsJson("", "json", "Print the result as JSON", Line);
  TCLAP::SwitchArg MayBreak("", "allow-breaking",
                            "Apply a change that breaks flows", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  const auto Address = parsePlatform(Platform.getValue());
  if (!Address)
    return EX_USAGE;
  SiteConfig Site;
  if (const int Code = loadSiteConfig(Base.getValue(), Overlays.getValue(),
                                      AsJson.getValue(), Site);
      Code != EX_OK)
    return Code;
  if (!hasAllOverlays(Site.Config, Overlays.getValue()))
    return EX_USAGE;
  StoreClient Store(*Address);
  return Apply(Site, Store, Prefix.getValue(),
               {Author.getValue(), DryRun.getValue(), AsJson.getValue(),
                MayBreak.getValue()})
      .run();
}

} // namespace indigopoint
