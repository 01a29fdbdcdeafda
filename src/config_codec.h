#pragma once

#include <string>
#include <system_error>
#include <utility>

#include "configuration.h"

namespace indigopoint {

/// Encodes a change as the JSON text that the store and the peers hold.
std::string encodeChange(const ConfigChange &Change);

/// Decodes a change. Leaves \p Out as it is on an error.
std::error_code decodeChange(const std::string &Text, ConfigChange &Out);

/// Encodes a whole configuration, for snapshots.
std::string encodeConfiguration(const Configuration &Config);

/// Encodes a configuration in steps, because a large one takes longer than
/// packets may wait.
class ConfigurationEncoder {
public:
  explicit ConfigurationEncoder(Configuration Config);

  ConfigVersion version() const { return Config.Version; }

  /// Encodes services until about \p Upstreams upstreams are done. Returns true
  /// once the text is complete.
  bool step(size_t Upstreams);

  /// The complete text.
  std::string take() { return std::move(Text); }

private:
  Configuration Config;
  std::string Text;
  /// The services up to this id are done.
  ServiceId Done;
  bool Complete = false;
};

/// Decodes a whole configuration. Leaves \p Out as it is on an error.
std::error_code decodeConfiguration(const std::string &Text,
                                    Configuration &Out);

/// Prefixes \p Text with its checksum, for the way between peers: a chunk that
/// was damaged must not become a valid change.
std::string addChecksum(const std::string &Text);

/// Removes and checks the prefix. Leaves \p Out as it is on an error.
std::error_code stripChecksum(const std::string &Sealed, std::string &Out);

} // namespace indigopoint
