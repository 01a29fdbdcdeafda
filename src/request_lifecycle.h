#pragma once

#include <queue>
#include <unordered_map>
#include <vector>

#include "engine_io.h"
#include "flow_pinning.h"
#include "messages.h"
#include "request_table.h"
#include "service_metrics_cache.h"
#include "service_retries.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Handles each request from acceptance to its single final outcome: submits
/// it to the owner instance of its upstream, retransmits, retries and times
/// out.
class RequestLifecycle {
public:
  RequestLifecycle(Blackboard &Board, PeerLink &Peers, RequestTable &Requests,
                   FlowPinning &Pinning, ServiceMetricsCache &MetricsCache);

  /// Accepts a request that has no record, for a bucket that this instance
  /// serves.
  void accept(Endpoint Caller, Request &&CallerRequest, ActionSink &Sink);

  /// Runs a request again whose record has no answer: the answer was dropped or
  /// the instance that ran the request is gone.
  void rerun(RequestRecord &Record, Request &&CallerRequest, ActionSink &Sink);

  /// Cancels a request for its caller. \p Record may be in any phase.
  void cancel(RequestRecord &Record, ActionSink &Sink);

  /// Cancels a request that has no record.
  void cancelUnrecordedRequest(Endpoint Caller, const Cancel &CancelMessage,
                               ActionSink &Sink);

  void onSubmitResult(const Sender &From, SubmitResult Result,
                      ActionSink &Sink);
  void onInstanceLost(InstanceId LostInstance, ActionSink &Sink);
  void onPlacementChanged();
  void onTick(ActionSink &Sink);

  /// Sends the outcome of a finished record to its caller.
  void sendReply(const RequestRecord &Record, ActionSink &Sink);

  uint32_t inProgress() const { return InProgress; }

  void clear();

private:
  struct WakeUp {
    TimePoint DueAt;
    RequestKey Key;
    bool operator>(const WakeUp &Other) const { return DueAt > Other.DueAt; }
  };

  void start(RequestRecord &Record, Request &&CallerRequest, ActionSink &Sink);
  void submitTo(RequestRecord &Record, UpstreamId Upstream, Duration Delay,
                ActionSink &Sink);
  void transmit(RequestRecord &Record, ActionSink &Sink);
  Duration timeLeftForOwner(const Submission &CurrentSubmission) const;
  bool isUpstreamUsable(const RequestRecord &Record) const;
  void countUnknownService(ServiceId Service, ActionSink &Sink);
  void handleWakeUp(RequestRecord &Record, ActionSink &Sink);
  void schedule(RequestRecord &Record, TimePoint DueAt);
  void onNotRun(RequestRecord &Record, const SubmitResult &Result,
                ActionSink &Sink);
  void onMayHaveRun(RequestRecord &Record, Duration RetryAfter,
                    ActionSink &Sink);
  void onRedirect(RequestRecord &Record, const SubmitResult &Result,
                  ActionSink &Sink);
  bool isTimeForRetry(const RequestRecord &Record, Duration Delay) const;
  bool tryAcquireRetry(RequestRecord &Record, Duration Delay, ActionSink &Sink);
  UpstreamId upstreamForRetry(RequestRecord &Record, bool UseOtherUpstream,
                              ActionSink &Sink);
  void finish(RequestRecord &Record, Outcome Result, Duration RetryAfter,
              std::string Answer, ActionSink &Sink);
  void finishUnanswered(RequestRecord &Record, Duration RetryAfter,
                        ActionSink &Sink);
  const ServiceConfig *serviceOf(const RequestRecord &Record) const;
  std::vector<RequestRecord *> recordsSubmittedTo(InstanceId Owner);

  Blackboard &Board;
  PeerLink &Peers;
  RequestTable &Requests;
  FlowPinning &Pinning;
  ServiceMetricsCache &MetricsCache;
  TimePoint UnknownServiceLogAllowedAt{};
  uint64_t NextSubmitId = 0;
  uint32_t InProgress = 0;
  std::unordered_map<SubmitId, RequestRecord *> RecordsBySubmitId;
  ServiceRetries Retries;
  std::priority_queue<WakeUp, std::vector<WakeUp>, std::greater<>> WakeUps;
};

} // namespace indigopoint
