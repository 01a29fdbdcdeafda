#pragma once

#include <map>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "messages.h"

namespace indigopoint::standin {

/// Counts the messages that reached one upstream and the requests that it ran.
class RunRecord {
public:
  void countArrival(const Dispatch &Message, ServiceId ServedService);
  void countRun(const Dispatch &Message);
  void countResult(DispatchStatus Status) { ++Results[Status]; }
  void countOtherMessage(const std::string &Kind) {
    ++OtherMessageCounts[Kind];
  }
  void recordInProgress(size_t Count);
  /// Records the time between the start of the drain and the arrival of a
  /// dispatch.
  void recordArrivalInDrain(Duration Age);

  nlohmann::json toJson() const;

private:
  struct Runs {
    uint32_t Count = 0;
    bool Idempotent = false;
  };

  std::map<std::string, Runs> RunsByRequest;
  std::map<uint32_t, uint64_t> ArrivalsByService;
  std::map<DispatchStatus, uint64_t> Results;
  std::map<std::string, uint64_t> OtherMessageCounts;
  uint64_t Misdelivered = 0;
  uint64_t RanTwice = 0;
  size_t MaxInProgress = 0;
  Duration LastArrivalInDrain{};
};

} // namespace indigopoint::standin
