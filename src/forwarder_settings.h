#pragma once

#include <string>
#include <vector>

#include "settings_reader.h"
#include "types.h"

namespace indigopoint {

/// What one forwarding process reads from its settings file.
struct ForwarderSettings {
  std::string Name;
  std::string Zone;
  /// Where routers send the packets of clients.
  Endpoint DataAddress;
  /// Where the readiness of the process is asked for.
  Endpoint ReadyAddress;
  /// Where metrics and the state are shown; port 0 for nowhere.
  Endpoint MetricsAddress;
  Endpoint Store;
  /// Where other instances ask for what this one knows of the store; port 0
  /// if they cannot.
  Endpoint PeerAddress;
  /// Peer addresses of some other instances. They may be out of date.
  std::vector<Endpoint> Seeds;
  /// How long what is known of the store may go unconfirmed.
  Duration MaxStoreAge = std::chrono::seconds(4);
  /// How soon a change has to be in force after the store acknowledged it.
  Duration ChangeBound = std::chrono::seconds(3);
  /// Of the machine's link. Faster ones read the store for others.
  uint32_t LinkMbps = 0;
  /// Log lines of one kind in a second; 0 writes none.
  uint32_t LogLinesPerSecond = 200;
  /// After this time a planned stop is ended from outside.
  Duration StopLimit = std::chrono::seconds(6);
  bool operator==(const ForwarderSettings &) const = default;
};

/// Checks the whole of \p Text, JSON with comments. Returns all errors, and
/// fills \p Out if there are none. \p File is only named in errors.
std::vector<SettingsError> parseForwarderSettings(const std::string &Text,
                                                  const std::string &File,
                                                  ForwarderSettings &Out);

/// Reads and checks a file.
std::vector<SettingsError> loadForwarderSettings(const std::string &File,
                                                 ForwarderSettings &Out);

} // namespace indigopoint
