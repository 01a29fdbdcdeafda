#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "engine_io.h"
#include "store_format.h"

namespace indigopoint {

struct Blackboard;

/// Reads the configuration from the platform's store, one call at a time.
class StoreReader {
public:
  enum class Role {
    /// Makes no calls.
    None,
    /// Reads up to the newest version once.
    Once,
    /// Waits for each next change.
    Follow
  };

  /// What was read and is newer than what is in force.
  using NewerConfig = std::variant<ConfigChange, Configuration>;

  explicit StoreReader(Blackboard &Board) : Board(Board) {}

  void setRole(Role Wanted);
  Role role() const { return Current; }

  /// The last call succeeded, so that the next change is expected from here.
  bool isHealthy() const { return Answered && Failures == 0; }

  /// Starts the next call if it is due.
  void onTick(ActionSink &Sink);

  std::optional<NewerConfig> onAnswer(const StoreAnswer &Answer,
                                      ActionSink &Sink);

private:
  enum class Step { NextChange, ChangePart, Latest, SnapshotPart, Watch };

  void call(StoreCallKind Kind, std::string Key, Duration Wait,
            ActionSink &Sink);
  void startStep(ActionSink &Sink);
  void restart();
  Step followUp() const;
  void fail(const std::string &Reason, ActionSink &Sink);
  bool isRevisionOld(const StoreAnswer &Answer, ActionSink &Sink);
  std::optional<NewerConfig> onFound(const StoreAnswer &Answer,
                                     ActionSink &Sink);
  void onAbsent(ActionSink &Sink);
  std::optional<NewerConfig> onChange(const StoreAnswer &Answer,
                                      ActionSink &Sink);
  std::optional<NewerConfig> onChangePart(const StoreAnswer &Answer,
                                          ActionSink &Sink);
  std::optional<NewerConfig> finishChange();
  void onLatest(const StoreAnswer &Answer, ActionSink &Sink);
  std::optional<NewerConfig> onSnapshotPart(const StoreAnswer &Answer,
                                            ActionSink &Sink);

  Blackboard &Board;
  Role Current = Role::None;
  Step At = Step::NextChange;
  bool LatestSeen = false;
  bool Answered = false;
  uint32_t Failures = 0;
  uint32_t QuietWatches = 0;
  uint64_t LastCall = 0;
  bool Waiting = false;
  std::string Key;
  TimePoint CalledAt{};
  TimePoint GiveUpAt{};
  TimePoint NextCallAt{};
  ConfigChange Change;
  SnapshotHeader Header;
  Configuration Snapshot;
  uint32_t PartIndex = 0;
  uint64_t LatestRevision = 0;
  std::string ChangeKeySeen;
  uint64_t ChangeRevision = 0;
};

} // namespace indigopoint
