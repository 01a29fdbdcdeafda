#pragma once

#include <string>
#include <unordered_map>

#include "types.h"

namespace indigopoint {

/// The upstreams of one group, such as a zone, at which flows or requests wait
/// for an answer since the last answer of any of them.
class UnansweredExchanges {
public:
  /// A number of upstreams and of the services that they belong to.
  struct Counts {
    size_t Upstreams = 0;
    size_t Services = 0;
  };

  /// Called when an opening packet or a request is sent to an upstream.
  void recordSent(const std::string &Service, UpstreamId Id, TimePoint Now);

  /// Called when any upstream of the group has answered.
  void clear() { Waiting.clear(); }

  /// Whether something sent to the upstream waits for an answer.
  bool isWaitingFor(UpstreamId Id) const { return Waiting.count(Id) > 0; }

  /// Forgets upstreams to which nothing was sent for some seconds.
  void expire(TimePoint Now);

  struct Summary {
    /// The upstreams that had time to answer.
    Counts Waiting;
    /// How long the first of them has had.
    Duration LongestWait{};
  };
  Summary summarize(TimePoint Now) const;

  /// Whether at least \p Needed upstreams and services had time to answer, and
  /// the first of them has had \p MinSilence.
  bool isSilent(Counts Needed, Duration MinSilence, TimePoint Now) const;

private:
  struct Wait {
    std::string Service;
    TimePoint First{};
    TimePoint Last{};
  };

  std::unordered_map<UpstreamId, Wait> Waiting;
};

} // namespace indigopoint
