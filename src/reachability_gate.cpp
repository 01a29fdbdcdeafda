#include "reachability_gate.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace indigopoint {

namespace {

// Openings must have been unanswered for this long in all.
constexpr Duration MinSilence = std::chrono::seconds(1);

// A client's time to its first retransmission. An upstream that got its first
// opening more recently may still answer.
constexpr Duration MinAnswerTime = std::chrono::milliseconds(200);

// Openings count for this long, so that an instance with little traffic sees
// enough of them.
constexpr Duration OpeningLifetime = std::chrono::seconds(5);

// Fewer upstreams, or the upstreams of one service, may fail on their own.
constexpr size_t MinUpstreams = 3;
constexpr size_t MinServices = 2;

constexpr Duration FirstTrialDelay = std::chrono::seconds(10);
constexpr Duration MaxTrialDelay = std::chrono::seconds(60);

// An instance that became unreachable shortly before a trial waits for the next
// one, since routers need a second to notice.
constexpr Duration MinUnreachableTime = std::chrono::seconds(5);

} // namespace

void ReachabilityGate::recordOpening(const std::string &Service, UpstreamId Id,
                                     TimePoint Now) {
  const auto [It, IsNew] = Unanswered.try_emplace(Id);
  Openings &Entry = It->second;
  if (IsNew)
    Entry.Service = Service;
  if (IsNew || Now - Entry.Last > OpeningLifetime)
    Entry.First = Now;
  Entry.Last = Now;
}

void ReachabilityGate::recordAnswer(TimePoint Now) {
  Unanswered.clear();
  UnreachableUntil = std::min(UnreachableUntil, Now);
}

void ReachabilityGate::update(Available Known, TimePoint OutdatedAt,
                              TimePoint Now) {
  std::erase_if(Unanswered, [Now](const auto &Entry) {
    return Now - Entry.second.Last > OpeningLifetime;
  });
  if (Now <= OutdatedAt) {
    UnreachableUntil = std::min(UnreachableUntil, Now);
    return;
  }
  // What was sent before a trial says nothing about the state after it.
  if (!isReachable(Now))
    Unanswered.clear();
  else if (isEvidenceSufficient(Known, Now))
    UnreachableUntil = nextTrial(OutdatedAt, Now);
}

bool ReachabilityGate::isEvidenceSufficient(Available Known,
                                            TimePoint Now) const {
  size_t Upstreams = 0;
  std::set<std::string_view> Services;
  TimePoint Earliest = Now;
  for (const auto &[Id, Entry] : Unanswered) {
    if (Now - Entry.First < MinAnswerTime)
      continue;
    ++Upstreams;
    Services.insert(Entry.Service);
    Earliest = std::min(Earliest, Entry.First);
  }
  return Known.Upstreams > 0 && Now - Earliest >= MinSilence &&
         Upstreams >= std::min(MinUpstreams, Known.Upstreams) &&
         Services.size() >= std::min(MinServices, Known.Services);
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
