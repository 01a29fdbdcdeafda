#pragma once

#include <functional>
#include <unordered_map>

#include "blackboard.h"
#include "engine_io.h"
#include "update_queue.h"

namespace indigopoint {

/// What is known of the other members: orders updates by incarnation, keeps
/// suspicions and writes the member table.
class MemberRegistry {
public:
  using Hook = std::function<void(InstanceId, ActionSink &)>;

  MemberRegistry(Blackboard &Board, UpdateQueue &Updates)
      : Board(Board), Updates(Updates) {}

  /// Called when a member died, left, was replaced or lost its records.
  void setLostHook(Hook Given) { OnLost = std::move(Given); }

  /// Takes in what someone said of another member. Older news has no effect.
  void apply(const MemberUpdate &Update, ActionSink &Sink);

  /// A probe of \p Id failed. It has \p Time to refute.
  void suspect(InstanceId Id, Duration Time, ActionSink &Sink);

  /// Suspects members that have the address of \p Id but other names.
  void suspectSameAddress(InstanceId Id, Duration Time, ActionSink &Sink);

  /// Ends suspicions whose time is over, and forgets members long gone.
  void onTick(ActionSink &Sink);

  /// Gives all suspected members the full time again. After a pause, missed
  /// answers say nothing about others.
  void restartSuspicions();

  /// Sets how long members suspected by others have to refute.
  void setSuspicionTime(Duration Time) { SuspicionTime = Time; }

  /// What is known of \p Known as an update for others.
  MemberUpdate describe(const Member &Known) const;

  /// Appends live members with ids after \p After to \p Out, up to \p Bytes.
  /// Returns the last id; zero if the table ended.
  InstanceId page(InstanceId After, size_t Bytes,
                  std::vector<MemberUpdate> &Out) const;

  size_t countOf(MemberState State) const;
  size_t countAlive() const;

private:
  struct Suspicion {
    TimePoint Since{};
    Duration Time{};
  };

  bool isOfRegion(const MemberUpdate &Update) const;
  void admit(const MemberUpdate &Update);
  void replace(Member &Known, const MemberUpdate &Update, ActionSink &Sink);
  void amend(Member &Known, const MemberUpdate &Update, ActionSink &Sink);
  void declare(Member &Known, const MemberUpdate &Update, ActionSink &Sink);
  void startSuspicion(Member &Known, Duration Time);
  void show(Member &Known, MemberState State);
  void spread(const Member &Known) { Updates.add(describe(Known)); }
  void lose(const Member &Known, std::string_view Reason, ActionSink &Sink);

  Blackboard &Board;
  UpdateQueue &Updates;
  Hook OnLost;
  Duration SuspicionTime = std::chrono::milliseconds(600);
  std::unordered_map<InstanceId, Suspicion> Suspicions;
  TimePoint NextCleanUp{};
};

} // namespace indigopoint
