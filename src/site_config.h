#pragma once

#include <set>
#include <string>
#include <vector>

#include "configuration.h"
#include "json_document.h"

namespace indigopoint {

/// The text of one configuration file.
struct SiteFile {
  std::string Path;
  std::string Text;
};

/// The name of an overlay's site, which is its availability zone: the file name
/// without folder and ".json".
std::string siteNameOf(const std::string &OverlayPath);

/// The configuration of all sites, merged from a base file and overlays.
struct SiteConfig {
  /// The merged JSON; each value has its source file and line.
  JsonNode MergedJson;
  /// Version 0; the store assigns versions.
  Configuration Config;
  std::set<ServiceId> RetiredIds;
};

/// Checks and merges a base file and overlays. Returns all errors found in one
/// pass; \p Out is complete only if there are none.
SiteErrors buildSiteConfig(const SiteFile &Base,
                           const std::vector<SiteFile> &Overlays,
                           SiteConfig &Out);

/// Checks the service ids of \p NewConfig against the current configuration: an
/// id must never be reused for another service name, and the id of a removed
/// service has to be listed as retired.
SiteErrors checkServiceIds(const Configuration &Current,
                           const SiteConfig &NewConfig);

/// Reads a configuration file. Fails if the file is larger than
/// JsonLimits::MaxBytes.
bool readSiteFile(const std::string &Path, SiteFile &Out, SiteErrors &Errors);

} // namespace indigopoint
