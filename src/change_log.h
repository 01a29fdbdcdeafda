#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "config_codec.h"
#include "configuration.h"

namespace indigopoint {

/// Caches the encoded changes of the newest versions and the encoded snapshots
/// that peers are fetching.
class ChangeLog {
public:
  /// Maximum number of cached changes.
  static constexpr size_t MaxChanges = 200;
  /// Maximum total size of the cached changes. 200 changes of 2 KB need 400 KB;
  /// the rest is reserved for a few changes of many services.
  static constexpr size_t MaxBytes = size_t{8} * 1024 * 1024;

  /// Adds the change of \p Version. Clears the log first unless \p Version
  /// directly follows the last cached version.
  void add(ConfigVersion Version, std::string Text);

  /// Removes all changes, because a snapshot replaced the configuration.
  void clear();

  /// Returns the change of \p Version, or null if it is not cached.
  const std::string *change(ConfigVersion Version) const;

  /// Returns the encoded snapshot of \p Config, or null while it is being
  /// encoded. Starts the encoding if necessary.
  const std::string *snapshot(const Configuration &Config, TimePoint Now);

  /// Continues encoding a snapshot, if one is in progress. Called every tick.
  void encodeStep(TimePoint Now);

  /// Returns a cached snapshot and marks it as used, or null if there is none.
  const std::string *findSnapshot(ConfigVersion Version, TimePoint Now);

  /// Frees snapshots that no peer has requested recently.
  void expireSnapshots(TimePoint Now);

  size_t bytes() const { return Bytes; }

private:
  struct StoredSnapshot {
    ConfigVersion Version;
    TimePoint UsedAt{};
    std::string Text;
  };

  ConfigVersion FirstVersion;
  std::deque<std::string> Changes;
  size_t Bytes = 0;
  /// Two snapshots, so that a peer that is fetching one when the next change
  /// arrives can finish.
  std::array<StoredSnapshot, 2> Snapshots;
  std::optional<ConfigurationEncoder> Encoder;
};

} // namespace indigopoint
