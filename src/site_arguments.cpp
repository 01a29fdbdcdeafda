#include "site_arguments.h"

#include <iostream>

#include <nlohmann/json.hpp>
#include <sysexits.h>

namespace indigopoint {

nlohmann::json jsonOf(const SiteErrors &Errors) {
  auto List = nlohmann::json::array();
  for (const SiteError &Error : Errors)
    List.push_back({{"kind", nameOf(Error.Kind)},
                    {"file", Error.File},
                    {"line", Error.Line},
                    {"pointer", Error.Pointer},
                    {"found", Error.Actual},
                    {"remedy", Error.Remedy}});
  return List;
}

void printErrors(const SiteErrors &Errors, bool AsJson) {
  if (!AsJson) {
    for (const SiteError &Error : Errors)
      std::cerr << Error.message() << "\n";
    return;
  }
  std::cout << nlohmann::json(
                   {{"result", "invalid"}, {"errors", jsonOf(Errors)}})
                   .dump(2, ' ', false,
                         nlohmann::json::error_handler_t::replace)
            << "\n";
}

int loadSiteConfig(const std::string &BasePath,
                   const std::vector<std::string> &OverlayPaths, bool AsJson,
                   SiteConfig &Out) {
  SiteErrors Errors;
  SiteFile Base;
  readSiteFile(BasePath, Base, Errors);
  std::vector<SiteFile> Overlays;
  for (const std::string &Path : OverlayPaths)
    readSiteFile(Path, Overlays.emplace_back(), Errors);
  if (!Errors.empty()) {
    printErrors(Errors, AsJson);
    return EX_NOINPUT;
  }
  Errors = buildSiteConfig(Base, Overlays, Out);
  if (Errors.empty())
    return EX_OK;
  printErrors(Errors, AsJson);
  return EX_CONFIG;
}

} // namespace indigopoint
