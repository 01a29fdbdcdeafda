#include "caller_record.h"

#include <algorithm>

namespace indigopoint::standin {

using Json = nlohmann::json;

void CallerRecord::countAnswer(Duration Latency, const std::string &Upstream) {
  Latencies.push_back(Latency);
  ++AnswersByUpstream[Upstream];
}

void CallerRecord::recordWrongReply(std::string Text) {
  WrongReplies.push_back(std::move(Text));
}

Json CallerRecord::latencies() const {
  std::vector<Duration> Sorted = Latencies;
  std::sort(Sorted.begin(), Sorted.end());
  const auto Quantile = [&](double Share) {
    if (Sorted.empty())
      return 0.0;
    const auto Index =
        static_cast<size_t>(Share * static_cast<double>(Sorted.size() - 1));
    return static_cast<double>(Sorted[Index].count()) / 1000;
  };
  return {{"p50", Quantile(0.5)},
          {"p90", Quantile(0.9)},
          {"p99", Quantile(0.99)},
          {"max", Quantile(1)}};
}

Json CallerRecord::toJson() const {
  const BreakCounts Breaks = classifyBreaks(Disruptions, Events);
  return {{"requests", Requests},
          {"repeats", Retransmissions},
          {"ends", OutcomeCounts},
          {"answeredBy", AnswersByUpstream},
          {"latencyMs", latencies()},
          {"refused", RefusedRequests},
          {"refusedAtMs", RefusedAt},
          {"wrongReplies", WrongReplies},
          {"lateReplies", LateReplies},
          {"undecodable", Undecodable},
          {"brokenPlanned", Breaks.BrokenPlanned.size()},
          {"brokenUnplanned", Breaks.BrokenUnplanned.size()},
          {"moved", Breaks.Moved.size()},
          {"cutByPlanned", Breaks.LostInPlannedEvents},
          {"breaks", Breaks.Details}};
}

} // namespace indigopoint::standin
