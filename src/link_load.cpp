#include "link_load.h"

#include <algorithm>

namespace indigopoint {

namespace {

// IPv4 and UDP.
constexpr size_t HeaderBytes = 28;

// Queues in front of a link that is used more than this grow without end as
// soon as packets come in bursts. What was received has already waited, so that
// its queue shows only as a link that is nearly always in use.
constexpr double UsableShare = 0.9;

// Connections to upstreams are established within a few milliseconds. Checks
// wait 250 ms for them; a queue that takes a fifth of that is also one that may
// overflow and lose their packets.
constexpr Duration NoticeableWait = std::chrono::milliseconds(50);

} // namespace

void LinkLoad::setRate(double RateMbps) {
  MicrosecondsPerByte = RateMbps > 0 ? 8 / (RateMbps * UsableShare) : 0;
}

void LinkLoad::Direction::record(const LinkLoad &Link, size_t Bytes,
                                 TimePoint Now) {
  const auto OwnTime = Duration(static_cast<int64_t>(
      static_cast<double>(Bytes + HeaderBytes) * Link.MicrosecondsPerByte));
  Wait = std::max(Duration(), Wait - (Now - UpdatedAt)) + OwnTime;
  UpdatedAt = Now;
  if (Wait > NoticeableWait)
    LastCongested = Now;
}

} // namespace indigopoint
