#pragma once

#include <optional>
#include <string>
#include <vector>

#include "logging.h"
#include "settings_reader.h"
#include "types.h"

namespace indigopoint {

/// What one process reads from its settings file.
struct ProcessSettings {
  std::string Name;
  std::string Zone;
  std::string Region;
  /// For datagrams; port 0 lets the system choose.
  Endpoint Address;
  /// For the admin HTTP interface.
  Endpoint AdminAddress{0x7f000001, 0};
  /// Instances to contact at the start.
  std::vector<Endpoint> Seeds;
  /// The platform's HTTP interface; port 0 if there is none.
  Endpoint Platform;
  std::string StorePrefix = "indigopoint/";
  LogSettings Log;
  Duration HealthProbePeriod = std::chrono::seconds(1);
  /// How long a planned stop may take.
  Duration DrainLimit = std::chrono::seconds(30);
  /// Of the random source; drawn at the start if absent.
  std::optional<uint64_t> Seed;
};

/// Checks the whole of \p Text, JSON with comments. Returns all errors, and
/// fills \p Out if there are none. \p File is only named in errors.
std::vector<SettingsError> parseProcessSettings(const std::string &Text,
                                                const std::string &File,
                                                ProcessSettings &Out);

/// Reads and checks a file.
std::vector<SettingsError> loadProcessSettings(const std::string &File,
                                               ProcessSettings &Out);

} // namespace indigopoint
