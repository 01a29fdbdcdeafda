#include "service_retries.h"

namespace indigopoint {

namespace {

// Minimum interval between log lines of one service.
constexpr Duration LogInterval = std::chrono::seconds(10);

} // namespace

bool ServiceRetries::tryAcquire(ServiceId Service, const std::string &Name,
                                TimePoint Now, ActionSink &Sink) {
  Entry &Retries = Entries[Service];
  if (Retries.Budget.tryAcquire(Now))
    return true;
  if (Now >= Retries.NextLog) {
    Retries.NextLog = Now + LogInterval;
    Sink.log(LogLevel::Warning, "flow",
             "retry budget of service " + Name +
                 " is used up: failed requests are not retried");
  }
  return false;
}

} // namespace indigopoint
