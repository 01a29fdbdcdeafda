#include "sliding_window_limit.h"

namespace indigopoint {

bool SlidingWindowLimit::isExhausted(TimePoint Now) {
  while (!Events.empty() && Now - Events.front() > Window)
    Events.pop_front();
  return Events.size() >= Limit;
}

void SlidingWindowLimit::setLimit(size_t NewLimit, Duration NewWindow) {
  Limit = NewLimit;
  Window = NewWindow;
}

} // namespace indigopoint
