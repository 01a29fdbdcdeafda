#include "fault_plan.h"

#include <stdexcept>

namespace indigopoint::standin {

namespace {

bool consume(uint64_t &Remaining) {
  if (Remaining == 0)
    return false;
  --Remaining;
  return true;
}

} // namespace

void FaultPlan::add(const nlohmann::json &Faults, TimePoint Now) {
  for (const auto &[Name, Value] : Faults.items()) {
    const auto Number = Value.get<uint64_t>();
    if (Name == "outage_ms")
      OutageUntil = Now + std::chrono::milliseconds(Number);
    else if (Name == "delay_ms")
      Delay = std::chrono::milliseconds(Number);
    else if (Name == "lose_next_write_answers")
      WriteAnswersToDrop = Number;
    else if (Name == "stale_reads")
      StaleReads = Number;
    else
      throw std::invalid_argument("unknown fault " + Name);
  }
}

bool FaultPlan::consumeLostWriteAnswer() { return consume(WriteAnswersToDrop); }
bool FaultPlan::consumeStaleRead() { return consume(StaleReads); }

} // namespace indigopoint::standin
