#pragma once

#include <string>
#include <unordered_map>

#include "engine_io.h"
#include "retry_budget.h"
#include "types.h"

namespace indigopoint {

/// The retry budgets of all services, with a log line when one is used up.
class ServiceRetries {
public:
  void onRequest(ServiceId Service, TimePoint Now) {
    Entries[Service].Budget.onRequest(Now);
  }

  /// Uses one retry of a service. Returns false if its budget is used up.
  bool tryAcquire(ServiceId Service, const std::string &Name, TimePoint Now,
                  ActionSink &Sink);

private:
  struct Entry {
    RetryBudget Budget;
    TimePoint NextLog{};
  };

  std::unordered_map<ServiceId, Entry> Entries;
};

} // namespace indigopoint
