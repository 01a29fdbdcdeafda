#pragma once

#include <cstddef>
#include <string>
#include <system_error>
#include <vector>

#include "configuration.h"

namespace indigopoint {

/// Values are split above this size. The store takes up to 1 MB.
constexpr size_t MaxStoreValueBytes = size_t{900} * 1024;

// Keys of the configuration in the platform's store.
std::string changeKey(const std::string &Prefix, ConfigVersion Version);
std::string changePartKey(const std::string &Prefix,
                          const std::string &ChangeId, size_t Part);
std::string snapshotLatestKey(const std::string &Prefix);
std::string snapshotPartKey(const std::string &Prefix, ConfigVersion Version,
                            size_t Part);

/// A change as it is stored. \c Value names the number of parts.
struct StoredChange {
  std::string Value;
  std::vector<std::string> Parts;
};

/// Encodes a change, its services in parts if it exceeds \p Limit. Fails with
/// std::errc::value_too_large if one service alone does.
std::error_code encodeStoredChange(const ConfigChange &Change,
                                   StoredChange &Out,
                                   size_t Limit = MaxStoreValueBytes);

/// Adds the services of a part to \p Change. Returns an error if the part is
/// malformed or belongs to another change.
std::error_code addChangePart(const std::string &Part, ConfigChange &Change);

/// The value of the key that names the newest snapshot.
struct SnapshotHeader {
  ConfigVersion Version;
  uint32_t Parts = 0;
  bool operator==(const SnapshotHeader &) const = default;
};

std::string encodeSnapshotHeader(const SnapshotHeader &Header);
std::error_code decodeSnapshotHeader(const std::string &Text,
                                     SnapshotHeader &Out);

/// Encodes a configuration in parts of at most \p Limit bytes.
std::error_code encodeSnapshotParts(const Configuration &Config,
                                    std::vector<std::string> &Parts,
                                    size_t Limit = MaxStoreValueBytes);

/// Adds the services and zones of a part to \p Config, whose version is set.
std::error_code addSnapshotPart(const std::string &Part, Configuration &Config);

} // namespace indigopoint
