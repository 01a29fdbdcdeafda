#pragma once

#include <functional>
#include <unordered_map>

#include "blackboard.h"
#include "engine_io.h"
#include "update_queue.h"

namespace indigopoint {

/// Writes the table of the other members: orders updates by incarnation and
/// keeps the suspicions that have not expired.
class MemberRegistry {
public:
  using Hook = std::function<void(InstanceId, ActionSink &)>;

  MemberRegistry(Blackboard &Board, UpdateQueue &Updates)
      : Board(Board), Updates(Updates) {}

  /// Sets the hook that is called when a member died, left, was replaced or
  /// lost its records.
  void setMemberLostHook(Hook Callback) { OnLost = std::move(Callback); }

  /// Applies an update about another member. Outdated updates have no effect.
  void apply(const MemberUpdate &Update, ActionSink &Sink);

  /// Starts to suspect \p Id after a failed probe. The member is declared dead
  /// after \p Timeout unless it refutes the suspicion.
  void suspect(InstanceId Id, Duration Timeout, ActionSink &Sink);

  /// Suspects all other members that have the same address as \p Id.
  void suspectMembersAtSameAddress(InstanceId Id, Duration Timeout,
                                   ActionSink &Sink);

  /// Declares members dead whose suspicion has expired, and erases members that
  /// left or died long ago.
  void onTick(ActionSink &Sink);

  /// Gives all suspected members the full timeout again. After a pause of this
  /// process, missing answers are no evidence that a member is dead.
  void restartSuspicions();

  /// Sets the timeout of suspicions that other members report.
  void setSuspicionTimeout(Duration Timeout) { SuspicionTimeout = Timeout; }

  /// Builds the update about \p Target that is sent to other members.
  MemberUpdate describe(const Member &Target) const;

  /// Appends live members with ids after \p AfterId to \p Out, up to \p Bytes.
  /// Returns the last id; zero if the table ended.
  InstanceId appendPage(InstanceId AfterId, size_t Bytes,
                        std::vector<MemberUpdate> &Out) const;

  size_t countOf(MemberState State) const;
  size_t countAlive() const;

private:
  struct Suspicion {
    TimePoint Since{};
    Duration Timeout{};
  };

  bool isInRegion(const MemberUpdate &Update) const;
  void addMember(const MemberUpdate &Update);
  void replaceProcess(Member &Target, const MemberUpdate &Update,
                      ActionSink &Sink);
  void updateSameBoot(Member &Target, const MemberUpdate &Update,
                      ActionSink &Sink);
  void applySelfReport(Member &Target, const MemberUpdate &Update,
                       ActionSink &Sink);
  void startSuspicion(Member &Target, Duration Timeout);
  void setState(Member &Target, MemberState State);
  void queueUpdate(const Member &Target) { Updates.add(describe(Target)); }
  void reportLostMember(const Member &Target, std::string_view Reason,
                        ActionSink &Sink);

  Blackboard &Board;
  UpdateQueue &Updates;
  Hook OnLost;
  Duration SuspicionTimeout = std::chrono::milliseconds(600);
  std::unordered_map<InstanceId, Suspicion> Suspicions;
  TimePoint NextCleanUp{};
};

} // namespace indigopoint
