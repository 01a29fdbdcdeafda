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

/// The site of an overlay: its file name without folder and ".json".
std::string siteNameOf(const std::string &OverlayPath);

/// What base file and overlays say together.
struct SiteConfig {
  /// The merged JSON; each value knows its file and line.
  JsonNode Merged;
  /// Version 0; the store assigns versions.
  Configuration Config;
  std::set<ServiceId> RetiredIds;
};

/// Checks and merges a base file and overlays. Returns all errors found in one
/// pass; \p Out is complete only if there are none.
SiteErrors buildSiteConfig(const SiteFile &Base,
                           const std::vector<SiteFile> &Overlays,
                           SiteConfig &Out);

/// Checks \p Next against what is in force: an id stands for one service name
/// forever, and the id of a removed service has to be listed as retired.
SiteErrors checkServiceIds(const Configuration &InForce,
                           const SiteConfig &Next);

/// Reads a file of at most the size limit of a configuration file.
bool readSiteFile(const std::string &Path, SiteFile &Out, SiteErrors &Errors);

} // namespace indigopoint
