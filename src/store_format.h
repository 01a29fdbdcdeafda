#pragma once

#include <cstddef>
#include <string>
#include <system_error>
#include <vector>

#include "configuration.h"

namespace indigopoint {

/// Values above this size are split into parts. The store accepts up to 1 MB.
constexpr size_t MaxStoreValueBytes = size_t{900} * 1024;

// Keys of the configuration in the platform's store.
std::string changeKey(const std::string &Prefix, ConfigVersion Version);
std::string changePartKey(const std::string &Prefix,
                          const std::string &ChangeId, size_t Part);
std::string snapshotLatestKey(const std::string &Prefix);
std::string snapshotPartKey(const std::string &Prefix, ConfigVersion Version,
                            size_t Part);

/// The encoded form of a change in the store. \c Value is the change without
/// the services in \c Parts and contains the number of parts.
struct StoredChange {
  std::string Value;
  std::vector<std::string> Parts;
};

/// Encodes a change. If it exceeds \p Limit bytes, its services are split into
/// parts. Fails with std::errc::value_too_large if a single service exceeds the
/// limit.
std::error_code encodeStoredChange(const ConfigChange &Change,
                                   StoredChange &Out,
                                   size_t Limit = MaxStoreValueBytes);

/// Adds the services of a part to \p Change. Returns an error if the part is
/// malformed or belongs to another change.
std::error_code addChangePart(const std::string &Part, ConfigChange &Change);

/// The value of the key that refers to the newest snapshot.
struct SnapshotHeader {
  ConfigVersion Version;
  uint32_t Parts = 0;
  bool operator==(const SnapshotHeader &) const = default;
};

std::string encodeSnapshotHeader(const SnapshotHeader &Header);
std::error_code decodeSnapshotHeader(const std::string &Text,
                                     SnapshotHeader &Out);

/// Encodes a configuration in parts of at most \p Limit bytes. Fails with
/// std::errc::value_too_large if a single service exceeds the limit.
std::error_code encodeSnapshotParts(const Configuration &Config,
                                    std::vector<std::string> &Parts,
                                    size_t Limit = MaxStoreValueBytes);

/// Adds the services and zones of a part to \p Config, whose version must be
/// set. Returns an error if the part is malformed or has another version.
std::error_code addSnapshotPart(const std::string &Part, Configuration &Config);

} // namespace indigopoint
