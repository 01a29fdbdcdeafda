#pragma once

#include <string>
#include <vector>

#include "policy_options.h"
#include "settings_reader.h"
#include "types.h"

namespace indigopoint {

/// The settings of one forwarding process.
struct ForwarderSettings {
  std::string Name;
  std::string Zone;
  /// Address to which routers send the packets of clients.
  Endpoint DataAddress;
  /// Address of the readiness check.
  Endpoint ReadyAddress;
  /// Address of the metrics and the status report; port 0 disables both.
  Endpoint MetricsAddress;
  Endpoint Store;
  /// Address at which other instances read the store data of this instance;
  /// port 0 disables this.
  Endpoint PeerAddress;
  /// Peer addresses of some other instances. The list may be out of date.
  std::vector<Endpoint> Seeds;
  /// Address at which the other instances of the zone report to this one; port
  /// 0 disables reports. All instances of a zone use the same port.
  Endpoint ReportAddress;
  /// Maximum age of the store data: the time since the store last confirmed it.
  Duration MaxStoreAge = std::chrono::seconds(4);
  /// Maximum time from the acknowledgement of a change by the store until this
  /// instance applies the change.
  Duration ChangeBound = std::chrono::seconds(3);
  /// How often an upstream renews its registration.
  Duration RegistrationPeriod = std::chrono::milliseconds(1200);
  /// Rate of the machine's network link in Mbit/s; 0 if unknown. Instances with
  /// faster links read the store on behalf of others.
  double LinkMbps = 0;
  /// Maximum number of log lines of one kind per second; 0 disables the log.
  uint32_t LogLinesPerSecond = 200;
  /// Time limit of a graceful shutdown, after which the process is killed from
  /// outside.
  Duration StopLimit = std::chrono::seconds(6);
  /// Read at the start only; a reload does not change them.
  PolicyOptions Policy;
  bool operator==(const ForwarderSettings &) const = default;
};

/// Parses and checks \p Text, JSON with comments. Returns all errors, and fills
/// \p Out if there are none. \p File is used only in error messages.
std::vector<SettingsError> parseForwarderSettings(const std::string &Text,
                                                  const std::string &File,
                                                  ForwarderSettings &Out);

/// Reads, parses and checks a file.
std::vector<SettingsError> loadForwarderSettings(const std::string &File,
                                                 ForwarderSettings &Out);

} // namespace indigopoint
