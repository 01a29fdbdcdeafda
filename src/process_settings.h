#pragma once

#include <optional>
#include <string>
#include <vector>

#include "logging.h"
#include "settings_reader.h"
#include "types.h"

namespace indigopoint {

/// The settings of one "serve" process.
struct ProcessSettings {
  std::string Name;
  std::string Zone;
  std::string Region;
  /// For datagrams; with port 0 the system chooses the port.
  Endpoint Address;
  /// For the admin HTTP interface.
  Endpoint AdminAddress{0x7f000001, 0};
  /// Instances to contact at startup.
  std::vector<Endpoint> Seeds;
  /// The HTTP interface of the platform, which hosts the store; port 0 if there
  /// is no platform.
  Endpoint Platform;
  std::string StorePrefix = "indigopoint/";
  LogSettings Log;
  /// Period of the health polls of an upstream.
  Duration HealthProbePeriod = std::chrono::seconds(1);
  /// Time limit of a graceful shutdown.
  Duration DrainLimit = std::chrono::seconds(30);
  /// Seed of the random source; generated at startup if absent.
  std::optional<uint64_t> Seed;
};

/// Checks the whole of \p Text, JSON with comments. Returns all errors, and
/// fills \p Out if there are none. \p File is used only in errors.
std::vector<SettingsError> parseProcessSettings(const std::string &Text,
                                                const std::string &File,
                                                ProcessSettings &Out);

/// Reads and checks a settings file.
std::vector<SettingsError> loadProcessSettings(const std::string &File,
                                               ProcessSettings &Out);

} // namespace indigopoint
