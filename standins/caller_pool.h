#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller_record.h"
#include "messages.h"
#include "random_source.h"
#include "timer_loop.h"
#include "udp_socket.h"

namespace indigopoint::standin {

struct CallerSettings {
  Endpoint Fabric;
  ServiceId Service;
  uint32_t Flows = 100;
  /// The first flow key; the following keys count up from it, so that callers
  /// do not share keys.
  uint64_t FirstFlow = 1;
  /// Mean of the random pause between two requests of a flow.
  Duration Interval = std::chrono::milliseconds(500);
  uint32_t IdempotentPercent = 50;
  std::vector<size_t> PayloadSizes = {100};
  Duration Deadline = std::chrono::seconds(5);
  Duration FirstRetransmission = std::chrono::milliseconds(200);
  uint32_t Sockets = 8;
};

/// Runs many flows of one service. Each flow sends one request at a time and
/// retransmits it until the final reply or the deadline.
class CallerPool {
public:
  using DoneHook = std::function<void()>;

  CallerPool(TimerLoop &Loop, CallerSettings Settings, uint64_t Seed);

  void start();
  /// Starts no more requests, and calls \p OnDone when the open requests have
  /// ended.
  void finish(DoneHook OnDone);
  CallerRecord &record() { return Record; }

private:
  struct OpenRequest {
    RequestId Id;
    uint32_t Attempt = 0;
    bool Idempotent = false;
    std::string Payload;
    TimePoint SentAt;
    int64_t SentAtWallClock = 0;
  };
  struct FlowState {
    FlowKey Key;
    const UdpSocket *Socket = nullptr;
    uint64_t LastRequest = 0;
    std::optional<OpenRequest> CurrentRequest;
    std::string Upstream;
    /// The time of the last answer from that upstream.
    int64_t LastAnswer = 0;
  };

  void scheduleNext(FlowState &Flow, Duration MinPause);
  void sendNext(FlowState &Flow);
  void transmit(FlowState &Flow);
  void scheduleRetransmission(FlowState &Flow, Duration Delay);
  void onDatagram(Endpoint From, std::string_view Bytes);
  void onReply(const Reply &ReceivedReply);
  void onSuccessReply(FlowState &Flow, const Reply &ReceivedReply);
  void recordUpstream(FlowState &Flow, const std::string &Upstream);
  void recordLostReply(const FlowState &Flow, const std::string &Ending,
                       bool Refused = false);
  void endRequest(FlowState &Flow, const std::string &Text, Duration Pause);
  std::string makePayload();
  void send(const FlowState &Flow, const Message &Body);
  void closeFlows();

  TimerLoop &Loop;
  const CallerSettings Settings;
  RandomSource Random;
  CallerRecord Record;
  std::vector<std::unique_ptr<UdpSocket>> Sockets;
  std::unordered_map<FlowKey, FlowState> Flows;
  size_t OpenCount = 0;
  DoneHook OnDone;
};

} // namespace indigopoint::standin
