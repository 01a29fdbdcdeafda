#pragma once

#include <list>
#include <string>
#include <unordered_set>
#include <vector>

#include <nlohmann/json.hpp>

#include "messages.h"
#include "random_source.h"
#include "run_record.h"
#include "timer_loop.h"
#include "udp_socket.h"
#include "upstream_behaviour.h"

namespace indigopoint::standin {

/// An upstream that runs dispatched requests in a few slots and echoes them.
class UpstreamServer {
public:
  UpstreamServer(TimerLoop &Loop, UpstreamSettings Settings, uint64_t Seed);

  Endpoint address() const { return Socket.address(); }

  /// The health endpoint's answer: status and load, delayed or false if so
  /// configured.
  nlohmann::json health();
  nlohmann::json stats() const;
  /// Applies the fields of \p Command; throws std::invalid_argument on an
  /// unknown one.
  nlohmann::json control(const nlohmann::json &Command);

private:
  /// A queued or running request. A retransmitted dispatch is a separate
  /// request, since upstreams do not deduplicate.
  struct PendingRequest {
    Endpoint From;
    Dispatch Message;
    TimePoint Deadline;
    bool Running = false;
  };
  struct HealthSample {
    TimePoint Since;
    nlohmann::json Value;
  };

  void onDatagram(Endpoint From, std::string_view Bytes);
  void handle(Endpoint From, Dispatch Message);
  void handle(Endpoint From, const CancelDispatch &Message);
  void handle(Endpoint From, const Ping &Message);
  void handle(Endpoint From, const CloseConnection &Message);
  /// The status that refuses a dispatch; Done if the dispatch is admitted.
  DispatchStatus admission(const Dispatch &Message);
  void startQueuedRequests();
  void finish(std::list<PendingRequest>::iterator It);
  void answer(Endpoint To, const Dispatch &Message, DispatchStatus Status,
              std::string Payload);
  void send(Endpoint To, const Message &Body);
  nlohmann::json currentHealth() const;
  ConnectionId silence(const nlohmann::json &Connection);

  TimerLoop &Loop;
  const UpstreamSettings Settings;
  const TimePoint StartedAt;
  RandomSource Random;
  UpstreamBehaviour Behaviour;
  RunRecord Record;
  std::list<PendingRequest> Requests;
  size_t Running = 0;
  std::unordered_set<ConnectionId> Connections;
  std::unordered_set<ConnectionId> SilencedConnections;
  std::vector<HealthSample> HealthHistory;
  UdpSocket Socket;
};

} // namespace indigopoint::standin
