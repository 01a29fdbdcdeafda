#include "run_record.h"

#include <algorithm>

#include "echo.h"

namespace indigopoint::standin {

void RunRecord::countArrival(const Dispatch &Message, ServiceId ServedService) {
  ++ArrivalsByService[Message.Service.value()];
  if (Message.Service != ServedService)
    ++Misdelivered;
}

void RunRecord::countRun(const Dispatch &Message) {
  Runs &Entry = RunsByRequest[requestName(Message.Flow, Message.Request)];
  Entry.Idempotent = Message.Idempotent;
  if (++Entry.Count == 2 && !Message.Idempotent)
    ++RanTwice;
}

void RunRecord::recordInProgress(size_t Count) {
  MaxInProgress = std::max(MaxInProgress, Count);
}

void RunRecord::recordArrivalInDrain(Duration Age) {
  LastArrivalInDrain = std::max(LastArrivalInDrain, Age);
}

nlohmann::json RunRecord::toJson() const {
  nlohmann::json Requests = nlohmann::json::object();
  for (const auto &[Name, Entry] : RunsByRequest)
    Requests[Name] = {{"runs", Entry.Count}, {"idempotent", Entry.Idempotent}};
  nlohmann::json ResultCounts = nlohmann::json::object();
  for (const auto &[Status, Count] : Results)
    ResultCounts[std::string(nameOf(Status))] = Count;
  nlohmann::json Arrivals = nlohmann::json::object();
  for (const auto &[Service, Count] : ArrivalsByService)
    Arrivals[std::to_string(Service)] = Count;
  return {{"requests", std::move(Requests)},
          {"results", std::move(ResultCounts)},
          {"arrivalsByService", std::move(Arrivals)},
          {"others", OtherMessageCounts},
          {"misdelivered", Misdelivered},
          {"doubled", RanTwice},
          {"maxInProgress", MaxInProgress},
          {"lastArrivalInDrainMs", LastArrivalInDrain.count() / 1000}};
}

} // namespace indigopoint::standin
