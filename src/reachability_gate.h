#pragma once

#include <optional>
#include <string>

#include "types.h"
#include "unanswered_exchanges.h"

namespace indigopoint {

/// Decides whether an instance reaches any upstream, and whether those of its
/// own zone still answer. An instance reports itself as not ready, so that
/// routers send its clients to other zones, if
/// - it reaches no upstream and its store data is outdated, or
/// - all upstreams of its zone are silent while those of other zones answer.
class ReachabilityGate {
public:
  using Counts = UnansweredExchanges::Counts;

  /// \p LeavesSilentZone switches the second rule on.
  explicit ReachabilityGate(bool LeavesSilentZone = true)
      : LeavesSilentZone(LeavesSilentZone) {}

  /// Called when an opening packet or a request is sent to an upstream.
  void recordSent(const std::string &Service, UpstreamId Id, bool IsInOwnZone,
                  TimePoint Now);

  /// Called when other instances found that an upstream has stopped.
  void recordReported(const std::string &Service, UpstreamId Id,
                      bool IsInOwnZone, TimePoint Now);

  /// Called when any upstream has answered.
  void recordAnswer(bool IsInOwnZone, TimePoint Now);

  /// Called after a pause of the process: answers may have been missed.
  void discardWaits();

  struct Inputs {
    /// The upstreams that take new flows, and their services.
    Counts Known;
    /// Those of the own zone.
    Counts KnownInZone;
    /// From when on the store data is outdated; later than now while the store
    /// is reachable.
    TimePoint OutdatedAt{};
    /// When an upstream of the own zone last registered or started again.
    TimePoint LastStartInZone{};
  };

  /// Decides anew; called several times a second.
  void update(const Inputs &State, TimePoint Now);

  /// False while routers should send the clients elsewhere.
  bool isReachable(TimePoint Now) const {
    return Now >= UnreachableUntil && !(LeavesSilentZone && IsZoneSilent);
  }

  /// Whether the upstreams of the own zone are silent while others answer.
  bool isZoneSilent() const { return IsZoneSilent; }

  /// Whether several upstreams of the own zone are late while none answers, so
  /// that they should be checked. Checks decide what happens to open flows, so
  /// this needs less evidence than isZoneSilent.
  bool isZoneSuspect() const { return IsZoneSuspect; }

  /// Whether the zone is silent, and is so by what this instance sent itself
  /// and not by the word of others alone.
  bool isZoneSilentToSelf(TimePoint Now) const;

  /// Whether an upstream of the own zone has to answer this instance and none
  /// of them has.
  bool isWaitingFor(UpstreamId Id) const {
    return OwnZoneWaits.isWaitingFor(Id);
  }
  /// What the last decision was based on. The times are those since the last
  /// answer; there is none if there was no answer.
  struct Silence {
    UnansweredExchanges::Summary Waits;
    std::optional<Duration> SinceOwnZoneAnswer;
    std::optional<Duration> SinceOtherZoneAnswer;
  };

  /// Returns the waits for the own zone if it is silent, else for all zones.
  /// Valid until the next update.
  Silence silence(TimePoint Now) const;

private:
  void updateZone(const Inputs &State, TimePoint Now);
  static TimePoint nextTrial(TimePoint OutdatedAt, TimePoint Now);

  bool LeavesSilentZone;
  UnansweredExchanges AllWaits;
  UnansweredExchanges ZoneWaits;
  /// Those of ZoneWaits to which this instance sent something.
  UnansweredExchanges OwnZoneWaits;
  /// Not after the current time while upstreams are reachable.
  TimePoint UnreachableUntil{};
  bool IsZoneSilent = false;
  bool IsZoneSuspect = false;
  TimePoint ZoneSilentSince{};
  TimePoint LastAnswerFromOwnZone{};
  TimePoint LastAnswerFromOtherZone{};
};

} // namespace indigopoint
