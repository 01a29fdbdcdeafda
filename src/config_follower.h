#pragma once

#include <optional>
#include <string>

#include "config_assembler.h"
#include "engine_io.h"
#include "store_mirror.h"
#include "store_sync.h"

namespace indigopoint {

struct Blackboard;

/// Follows the configuration in the platform's store, one call at a time.
class ConfigFollower {
public:
  enum class Role : uint8_t {
    /// Makes no calls.
    None,
    /// Reads all keys once.
    ReadOnce,
    /// Reads all keys and then watches for changes.
    Follow
  };

  explicit ConfigFollower(Blackboard &Board);

  void setRole(Role NewRole) { CurrentRole = NewRole; }
  Role role() const { return CurrentRole; }

  /// Returns whether the last call succeeded, so that the next change is
  /// expected from the store.
  bool isHealthy() const {
    return Sync && Sync->isSnapshotLoaded() && Sync->failures() == 0;
  }

  /// Starts the next call if it is due.
  void onTick(ActionSink &Sink);

  void onAnswer(const StoreAnswer &Answer, ActionSink &Sink);

  /// Returns the next change or snapshot that is newer than the configuration
  /// in force, until nothing newer has been read.
  std::optional<NewerConfig> nextConfig(ActionSink &Sink);

private:
  void startCall(ActionSink &Sink);
  void endCall(StoreResult Result, ActionSink &Sink);
  /// Whether the store answered from an older state than before.
  bool isOutdated(const StoreResult &Result) const;
  void logFailure(const std::string &Reason, ActionSink &Sink) const;
  /// Reads keys until a newer configuration is complete or none can be found.
  std::optional<NewerConfig> assemble(ActionSink &Sink);
  void reject(const std::string &Key, const std::string &Reason,
              ActionSink &Sink);

  Blackboard &Board;
  Role CurrentRole = Role::None;
  ConfigAssembler Assembler;
  /// Not set while there is nothing to follow.
  std::optional<StoreSync> Sync;
  StoreMirror Mirror;
  bool HasUnreadItems = false;
  /// The version in force when nothing newer was found.
  ConfigVersion LastReadVersion;
  /// The last value that could not be used, so that it is logged once.
  std::string LastRejection;

  bool IsCallPending = false;
  uint64_t LastCallId = 0;
  TimePoint CalledAt{};
  TimePoint GiveUpAt{};
  TimePoint NextCallAt{};
};

} // namespace indigopoint
