#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "site_config.h"

namespace indigopoint {

/// Reads the files named on the command line and builds the configuration
/// of all sites.
/// Prints errors to standard error, or as JSON to standard output. Returns an
/// exit code of sysexits.h.
int loadSiteConfig(const std::string &BasePath,
                   const std::vector<std::string> &OverlayPaths, bool AsJson,
                   SiteConfig &Out);

/// A list of objects, one for each error.
nlohmann::json jsonOf(const SiteErrors &Errors);

/// Prints errors as text or as JSON.
void printErrors(const SiteErrors &Errors, bool AsJson);

} // namespace indigopoint
