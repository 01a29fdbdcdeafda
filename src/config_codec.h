#pragma once

#include <string>
#include <system_error>
#include <utility>

#include "configuration.h"

namespace indigopoint {

/// Encodes a change as JSON, the format used in the store and between peers.
std::string encodeChange(const ConfigChange &Change);

/// Decodes a change. Leaves \p Out unchanged on an error.
std::error_code decodeChange(const std::string &Text, ConfigChange &Out);

/// Encodes a whole configuration, for snapshots.
std::string encodeConfiguration(const Configuration &Config);

/// Encodes a configuration in steps, because encoding a large one at once would
/// delay packets for too long.
class ConfigurationEncoder {
public:
  explicit ConfigurationEncoder(Configuration Config);

  ConfigVersion version() const { return Config.Version; }

  /// Encodes services until about \p MaxUpstreams upstreams are encoded.
  /// Returns true once the text is complete.
  bool step(size_t MaxUpstreams);

  /// The complete text.
  std::string take() { return std::move(Text); }

private:
  Configuration Config;
  std::string Text;
  /// The services up to this id are encoded.
  ServiceId LastEncodedId;
  bool Complete = false;
};

/// Decodes a whole configuration. Leaves \p Out unchanged on an error.
std::error_code decodeConfiguration(const std::string &Text,
                                    Configuration &Out);

/// Prefixes \p Text with its checksum for the transfer between peers, so that a
/// damaged chunk is not decoded as a valid change.
std::string addChecksum(const std::string &Text);

/// Verifies and removes the checksum. Leaves \p Out unchanged on an error.
std::error_code stripChecksum(const std::string &ChecksummedText,
                              std::string &Out);

} // namespace indigopoint
