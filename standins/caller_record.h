#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "break_classifier.h"
#include "messages.h"

namespace indigopoint::standin {

/// What the callers of one service experienced.
class CallerRecord {
public:
  void countSent(bool IsRetransmission) {
    ++(IsRetransmission ? Retransmissions : Requests);
  }
  /// A request ended; \p Text is "no-reply" or the name of its outcome.
  void countEnd(const std::string &Text) { ++OutcomeCounts[Text]; }
  void countAnswer(Duration Latency, const std::string &Upstream);
  /// Records a request that was refused as not run.
  void recordRefused(std::string Name, int64_t WallClock) {
    RefusedRequests.push_back(std::move(Name));
    RefusedAt.push_back(WallClock);
  }
  void recordDisruption(FlowDisruption Disruption) {
    Disruptions.push_back(std::move(Disruption));
  }
  /// A reply that is malformed or belongs to another flow or request.
  void recordWrongReply(std::string Text);
  void countLateReply() { ++LateReplies; }
  void countUndecodable() { ++Undecodable; }
  void recordEvent(SystemEvent Event) { Events.push_back(std::move(Event)); }

  uint64_t answered() const { return Latencies.size(); }
  nlohmann::json toJson() const;

private:
  nlohmann::json latencies() const;

  uint64_t Requests = 0;
  uint64_t Retransmissions = 0;
  uint64_t LateReplies = 0;
  uint64_t Undecodable = 0;
  std::map<std::string, uint64_t> OutcomeCounts;
  std::map<std::string, uint64_t> AnswersByUpstream;
  std::vector<Duration> Latencies;
  std::vector<std::string> RefusedRequests;
  std::vector<int64_t> RefusedAt;
  std::vector<std::string> WrongReplies;
  std::vector<FlowDisruption> Disruptions;
  std::vector<SystemEvent> Events;
};

} // namespace indigopoint::standin
