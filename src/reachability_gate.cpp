#include "reachability_gate.h"

#include <algorithm>

#include "time_since.h"

namespace indigopoint {

namespace {

// Several retransmissions of a client must have been unanswered.
constexpr Duration MinSilence = std::chrono::seconds(1);

// Fewer upstreams, or the upstreams of one service, may fail on their own.
constexpr size_t MinUpstreams = 3;
constexpr size_t MinServices = 2;

constexpr Duration FirstTrialDelay = std::chrono::seconds(10);
constexpr Duration MaxTrialDelay = std::chrono::seconds(60);

// An instance that became unreachable shortly before a trial waits for the next
// one, since routers need a second to notice.
constexpr Duration MinUnreachableTime = std::chrono::seconds(5);

// A client's time to its second retransmission.
constexpr Duration MinZoneSilence = std::chrono::milliseconds(600);

// If half of a zone's upstreams failed, an instance would find this many silent
// ones in a row once in a thousand times.
constexpr size_t MinSilentInZone = 10;

} // namespace

void ReachabilityGate::recordSent(const std::string &Service, UpstreamId Id,
                                  bool IsInOwnZone, TimePoint Now) {
  recordReported(Service, Id, IsInOwnZone, Now);
  if (IsInOwnZone)
    OwnZoneWaits.recordSent(Service, Id, Now);
}

void ReachabilityGate::recordReported(const std::string &Service, UpstreamId Id,
                                      bool IsInOwnZone, TimePoint Now) {
  AllWaits.recordSent(Service, Id, Now);
  if (IsInOwnZone)
    ZoneWaits.recordSent(Service, Id, Now);
}

bool ReachabilityGate::isZoneSilentToSelf(TimePoint Now) const {
  return IsZoneSilent &&
         OwnZoneWaits.isSilent({MinUpstreams, 1}, MinZoneSilence, Now);
}

void ReachabilityGate::recordAnswer(bool IsInOwnZone, TimePoint Now) {
  AllWaits.clear();
  UnreachableUntil = std::min(UnreachableUntil, Now);
  if (!IsInOwnZone) {
    LastAnswerFromOtherZone = Now;
    return;
  }
  LastAnswerFromOwnZone = Now;
  ZoneWaits.clear();
  OwnZoneWaits.clear();
  IsZoneSilent = false;
  IsZoneSuspect = false;
}

void ReachabilityGate::discardWaits() {
  AllWaits.clear();
  ZoneWaits.clear();
  OwnZoneWaits.clear();
}

ReachabilityGate::Silence ReachabilityGate::silence(TimePoint Now) const {
  return {(IsZoneSilent ? ZoneWaits : AllWaits).summarize(Now),
          timeSince(LastAnswerFromOwnZone, Now),
          timeSince(LastAnswerFromOtherZone, Now)};
}

void ReachabilityGate::update(const Inputs &State, TimePoint Now) {
  updateZone(State, Now);
  AllWaits.expire(Now);
  if (Now <= State.OutdatedAt) {
    UnreachableUntil = std::min(UnreachableUntil, Now);
    return;
  }
  const Counts Needed{std::min(MinUpstreams, State.Known.Upstreams),
                      std::min(MinServices, State.Known.Services)};
  // What was sent before a trial says nothing about the state after it.
  if (Now < UnreachableUntil)
    AllWaits.clear();
  else if (State.Known.Upstreams > 0 &&
           AllWaits.isSilent(Needed, MinSilence, Now))
    UnreachableUntil = nextTrial(State.OutdatedAt, Now);
}

// A zone whose upstreams are all silent has nothing to offer its clients, and
// if it is cut off as well, they lose the upstreams of other zones too. Answers
// from other zones show that the fault is not in this instance's own path.
void ReachabilityGate::updateZone(const Inputs &State, TimePoint Now) {
  ZoneWaits.expire(Now);
  OwnZoneWaits.expire(Now);
  IsZoneSuspect = false;
  if (IsZoneSilent) {
    ZoneWaits.clear();
    // Without registered upstreams in the zone, only a new one is a reason to
    // try again.
    const bool IsTrialDue = State.KnownInZone.Upstreams > 0 &&
                            Now - ZoneSilentSince >= FirstTrialDelay;
    if (IsTrialDue || State.LastStartInZone > ZoneSilentSince)
      IsZoneSilent = false;
    return;
  }
  const Counts Needed{std::min(MinSilentInZone, State.KnownInZone.Upstreams),
                      std::min(MinServices, State.KnownInZone.Services)};
  if (State.KnownInZone.Upstreams < MinUpstreams ||
      Now - LastAnswerFromOtherZone > MinZoneSilence)
    return;
  IsZoneSuspect = OwnZoneWaits.isSilent({MinUpstreams, 1}, Duration(), Now);
  if (!ZoneWaits.isSilent(Needed, MinZoneSilence, Now))
    return;
  IsZoneSilent = true;
  ZoneSilentSince = Now;
}

// Routers send clients to other zones only while no instance of the zone is
// ready, so the instances have to try at the same time. The time of the last
// confirmation is about the same for all of them, because instances that cannot
// reach the store exchange its data and the age of the data.
TimePoint ReachabilityGate::nextTrial(TimePoint OutdatedAt, TimePoint Now) {
  TimePoint Trial = OutdatedAt + FirstTrialDelay;
  Duration Delay = FirstTrialDelay;
  while (Trial < Now + MinUnreachableTime) {
    Delay = std::min(2 * Delay, MaxTrialDelay);
    Trial += Delay;
  }
  return Trial;
}

} // namespace indigopoint
