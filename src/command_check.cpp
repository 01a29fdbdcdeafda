#include "command_check.h"

#include <iostream>

#include <nlohmann/json.hpp>
#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "site_arguments.h"
#include "version.h"

namespace indigopoint {

int runCheck(Arguments Args) {
  TCLAP::CmdLine Line("Checks a base file and overlays. Needs no network.", ' ',
                      Version);
  TCLAP::ValueArg<std::string> Base("", "base", "Base file", true, "", "FILE",
                                    Line);
  TCLAP::MultiArg<std::string> Overlays("", "overlay", "Overlay of one site",
                                        false, "FILE", Line);
  TCLAP::SwitchArg AsJson("", "json", "Print the result as JSON", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  SiteConfig MergedConfig;
  if (const int Code = loadSiteConfig(Base.getValue(), Overlays.getValue(),
                                      AsJson.getValue(), MergedConfig);
      Code != EX_OK)
    return Code;
  size_t Upstreams = 0;
  for (const auto &[Id, Service] : MergedConfig.Config.Services)
    Upstreams += Service.Upstreams.size();
  const size_t Services = MergedConfig.Config.Services.size();
  const size_t Zones = MergedConfig.Config.Zones.size();
  if (AsJson.getValue())
    std::cout << nlohmann::json({{"result", "valid"},
                                 {"zones", Zones},
                                 {"services", Services},
                                 {"upstreams", Upstreams}})
                     .dump(2)
              << "\n";
  else
    std::cout << "valid: " << Zones << " zones, " << Services << " services, "
              << Upstreams << " upstreams\n";
  return EX_OK;
}

} // namespace indigopoint
