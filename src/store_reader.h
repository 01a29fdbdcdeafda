#pragma once

#include <optional>
#include <string>

#include "config_assembler.h"
#include "engine_io.h"

namespace indigopoint {

struct Blackboard;

/// Reads the configuration from the platform's store, one call at a time.
class StoreReader {
public:
  enum class Role {
    /// Makes no calls.
    None,
    /// Reads once up to the newest version.
    ReadOnce,
    /// Reads up to the newest version and then watches for changes.
    Follow
  };

  explicit StoreReader(Blackboard &Board);

  void setRole(Role NewRole);
  Role role() const { return CurrentRole; }

  /// Returns whether the last call succeeded, so that the next change is
  /// expected from the store.
  bool isHealthy() const { return Answered && Failures == 0; }

  /// Starts the next call if it is due.
  void onTick(ActionSink &Sink);

  std::optional<NewerConfig> onAnswer(const StoreAnswer &Answer,
                                      ActionSink &Sink);

private:
  void call(StoreCallKind Kind, std::string Key, Duration Wait,
            ActionSink &Sink);
  void startStep(ActionSink &Sink);
  void restart();
  /// Whether a watch instead of a read shows the next change.
  bool mayWatch() const { return CurrentRole == Role::Follow && HasReadHeader; }
  void fail(const std::string &Reason, ActionSink &Sink);
  bool rejectOldRevision(const StoreAnswer &Answer, ActionSink &Sink);
  std::optional<NewerConfig> onFound(const StoreAnswer &Answer,
                                     ActionSink &Sink);
  void onMissing(ActionSink &Sink);
  void onSnapshotRead();

  Blackboard &Board;
  Role CurrentRole = Role::None;
  ConfigAssembler Assembler;
  bool IsWatching = false;
  bool HasReadHeader = false;
  bool Answered = false;
  uint32_t Failures = 0;
  uint32_t WatchesWithoutChange = 0;
  uint64_t LastCallId = 0;
  bool IsCallPending = false;
  std::string Key;
  TimePoint CalledAt{};
  TimePoint GiveUpAt{};
  TimePoint NextCallAt{};
  uint64_t HeaderRevision = 0;
  std::string LastChangeKey;
  uint64_t ChangeRevision = 0;
};

} // namespace indigopoint
