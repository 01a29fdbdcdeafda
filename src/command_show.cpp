#include "command_show.h"

#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>
#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "config_codec.h"
#include "site_arguments.h"
#include "site_merge.h"
#include "store_arguments.h"
#include "store_client.h"
#include "version.h"

namespace indigopoint {

namespace {

int showCurrentConfig(const std::string &Platform, const std::string &Prefix) {
  const auto Address = parsePlatform(Platform);
  if (!Address)
    return EX_USAGE;
  StoreClient Store(*Address);
  ConfigPublisher Publisher(Store, Prefix, sleepFor);
  Configuration Config;
  const PublishStatus Status = Publisher.readCurrent(Config);
  if (Status != PublishStatus::Done) {
    std::cerr << Publisher.detail() << "; " << adviceFor(Status) << "\n";
    return exitCodeOf(Status);
  }
  std::cout << nlohmann::json::parse(encodeConfiguration(Config)).dump(2)
            << "\n";
  return EX_OK;
}

int showMerged(const std::string &Site, const std::string &Base,
               const std::vector<std::string> &Overlays, bool ShowLocations) {
  // Overlays of other sites do not affect this site.
  std::vector<std::string> SiteOverlays;
  std::copy_if(
      Overlays.begin(), Overlays.end(), std::back_inserter(SiteOverlays),
      [&](const std::string &Path) { return siteNameOf(Path) == Site; });
  if (SiteOverlays.empty()) {
    std::cerr << "--merged: found no overlay of \"" << Site
              << "\"; add --overlay .../" << Site << ".json\n";
    return EX_USAGE;
  }
  SiteConfig Config;
  const int Code = loadSiteConfig(Base, SiteOverlays, false, Config);
  if (Code == EX_OK)
    std::cout << formatJson(Config.MergedJson, ShowLocations);
  return Code;
}

} // namespace

int runShow(Arguments Args) {
  TCLAP::CmdLine Line("Shows the current configuration of the store, or the "
                      "merged files of one site.",
                      ' ', Version);
  TCLAP::ValueArg<std::string> MergedSite("", "merged",
                                          "Show the merged files of this site",
                                          false, "", "SITE", Line);
  TCLAP::SwitchArg Origin("", "origin", "Show file and line of each value",
                          Line);
  TCLAP::ValueArg<std::string> Base("", "base", "Base file", false, "", "FILE",
                                    Line);
  TCLAP::MultiArg<std::string> Overlays("", "overlay", "Overlay of one site",
                                        false, "FILE", Line);
  TCLAP::ValueArg<std::string> Platform("", "platform",
                                        "HTTP address of the platform", false,
                                        "", "ADDRESS:PORT", Line);
  TCLAP::ValueArg<std::string> Prefix("", "prefix",
                                      "Prefix of the keys in the store", false,
                                      "indigopoint/", "TEXT", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  if (MergedSite.isSet() != Base.isSet() ||
      MergedSite.isSet() == Platform.isSet()) {
    std::cerr << "use either --platform, or --merged with --base and "
                 "--overlay\n";
    return EX_USAGE;
  }
  if (MergedSite.isSet())
    return showMerged(MergedSite.getValue(), Base.getValue(),
                      Overlays.getValue(), Origin.getValue());
  return showCurrentConfig(Platform.getValue(), Prefix.getValue());
}

} // namespace indigopoint
