#pragma once

#include <string>
#include <vector>

#include "site_config.h"

namespace indigopoint {

/// Reads and builds the files that a command was given. Prints errors to the
/// standard error output, or as JSON to the standard output. Returns an exit
/// code of sysexits.h.
int loadSiteConfig(const std::string &BasePath,
                   const std::vector<std::string> &OverlayPaths, bool AsJson,
                   SiteConfig &Out);

/// Prints errors in one of both forms.
void printErrors(const SiteErrors &Errors, bool AsJson);

} // namespace indigopoint
