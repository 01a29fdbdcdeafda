#pragma once

#include <cstddef>

#include "clock.h"

namespace indigopoint {

/// Estimates from the packets of this instance whether packets wait in front of
/// its network link. Counts packets of clients only, so a link that is filled
/// by anything else is not noticed.
class LinkLoad {
public:
  /// \p RateMbps is the rate of the link in each direction in Mbit/s; 0 if it
  /// is unknown, and then nothing is ever congested.
  explicit LinkLoad(double RateMbps) { setRate(RateMbps); }
  void setRate(double RateMbps);

  /// \p Bytes is the size of a datagram without the headers below it.
  void recordSent(size_t Bytes, TimePoint Now) {
    Sent.record(*this, Bytes, Now);
  }
  void recordReceived(size_t Bytes, TimePoint Now) {
    Received.record(*this, Bytes, Now);
  }

  /// Whether packets waited noticeably in either direction at some time since
  /// \p Since.
  bool wasCongestedSince(TimePoint Since) const {
    return Sent.LastCongested >= Since || Received.LastCongested >= Since;
  }

private:
  /// A queue that the usable share of the link's rate empties.
  struct Direction {
    void record(const LinkLoad &Link, size_t Bytes, TimePoint Now);

    /// The time in which the link sends what waits.
    Duration Wait{};
    TimePoint UpdatedAt{};
    TimePoint LastCongested = TimePoint::min();
  };

  /// The time that the link takes for a byte; 0 if the rate is unknown.
  double MicrosecondsPerByte = 0;
  Direction Sent;
  Direction Received;
};

} // namespace indigopoint
