#pragma once

#include <cstddef>
#include <optional>
#include <set>

#include "types.h"

namespace indigopoint {

/// The open exchanges of one upstream as this instance sees them: a client has
/// sent a request and has not acknowledged an answer yet.
class ExchangeTracker {
public:
  void start(TimePoint StartedAt) { Starts.insert(StartedAt); }

  /// Removes an exchange that began at \p StartedAt, if there is one.
  void end(TimePoint StartedAt);

  /// Forgets the exchanges of an upstream that was restarted at \p Now.
  void reset(TimePoint Now);

  size_t count() const { return Starts.size(); }

  /// How long the oldest exchange has been open; nothing if none is open.
  std::optional<Duration> oldestAge(TimePoint Now) const;

private:
  std::multiset<TimePoint> Starts;
  TimePoint ResetAt{};
};

} // namespace indigopoint
