#pragma once

#include <queue>
#include <unordered_map>
#include <vector>

#include "engine_io.h"
#include "flow_pinning.h"
#include "messages.h"
#include "request_table.h"
#include "retry_budget.h"
#include "service_metrics_cache.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Takes requests from acceptance to their one final outcome: submits them to
/// owners, repeats, retries and gives up.
class RequestLifecycle {
public:
  RequestLifecycle(Blackboard &Board, PeerLink &Peers, RequestTable &Requests,
                   FlowPinning &Pins, ServiceMetricsCache &MetricsCache);

  /// A request without a record, for a bucket that this instance serves.
  void accept(Endpoint Caller, Request &&Work, ActionSink &Sink);

  /// A request whose record is finished, but without the answer.
  void rerun(RequestRecord &Record, Request &&Work, ActionSink &Sink);

  /// A caller gives a request up. \p Record may be in any phase.
  void cancel(RequestRecord &Record, ActionSink &Sink);

  /// A caller gives up a request that has no record.
  void cancelUnknown(Endpoint Caller, const Cancel &Given, ActionSink &Sink);

  void onSubmitResult(const Sender &From, SubmitResult Result,
                      ActionSink &Sink);
  void onInstanceLost(InstanceId Lost, ActionSink &Sink);
  void onPlacementChanged();
  void onTick(ActionSink &Sink);

  /// Sends the outcome of a finished record to its caller.
  void sendReply(const RequestRecord &Record, ActionSink &Sink);

  uint32_t inProgress() const { return InProgress; }

  void clear();

private:
  struct WakeUp {
    TimePoint At;
    RequestKey Key;
    bool operator>(const WakeUp &Other) const { return At > Other.At; }
  };

  struct Retrying {
    RetryBudget Budget;
    TimePoint NextLog{};
  };

  void start(RequestRecord &Record, Request &&Work, ActionSink &Sink);
  void submitTo(RequestRecord &Record, UpstreamId Upstream, Duration Delay,
                ActionSink &Sink);
  void transmit(RequestRecord &Record, ActionSink &Sink);
  Duration timeForOwner(const Submission &Work) const;
  bool isUsable(const RequestRecord &Record) const;
  void noteUnknownService(ServiceId Service, ActionSink &Sink);
  void wake(RequestRecord &Record, ActionSink &Sink);
  void schedule(RequestRecord &Record, TimePoint At);
  void onNotRun(RequestRecord &Record, const SubmitResult &Result,
                ActionSink &Sink);
  void onUncertain(RequestRecord &Record, Duration RetryAfter,
                   ActionSink &Sink);
  void onRedirect(RequestRecord &Record, const SubmitResult &Result,
                  ActionSink &Sink);
  bool isTimeForRetry(const RequestRecord &Record, Duration Delay) const;
  bool takeRetry(RequestRecord &Record, Duration Delay, ActionSink &Sink);
  void noteBudgetUsedUp(Retrying &Service, const RequestRecord &Record,
                        ActionSink &Sink);
  UpstreamId upstreamForRetry(RequestRecord &Record, bool Elsewhere,
                              ActionSink &Sink);
  void finish(RequestRecord &Record, Outcome Result, Duration RetryAfter,
              std::string Answer, ActionSink &Sink);
  void finishUnanswered(RequestRecord &Record, Duration RetryAfter,
                        ActionSink &Sink);
  bool hasNeverRun(uint32_t Bucket, uint32_t Attempt, Duration Age) const;
  bool isGone(InstanceId Instance) const;
  BootId bootOf(InstanceId Instance) const;
  const ServiceConfig *serviceOf(const RequestRecord &Record) const;
  std::vector<RequestRecord *> submitted(InstanceId Owner);

  Blackboard &Board;
  PeerLink &Peers;
  RequestTable &Requests;
  FlowPinning &Pins;
  ServiceMetricsCache &MetricsCache;
  TimePoint NextUnknownLog{};
  uint64_t NextSubmit = 0;
  uint32_t InProgress = 0;
  std::unordered_map<SubmitId, RequestRecord *> BySubmit;
  std::unordered_map<ServiceId, Retrying> Retries;
  std::priority_queue<WakeUp, std::vector<WakeUp>, std::greater<>> WakeUps;
};

} // namespace indigopoint
