#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

#include "packet.h"
#include "types.h"

namespace indigopoint {

/// State of one flow, derived from the client's packets that passed through
/// this instance.
struct SteeredFlow {
  enum class Phase : uint8_t {
    /// Opening packets were forwarded; no further packet of the client was
    /// seen yet.
    Opening,
    Open,
    /// The client has finished sending.
    Closing
  };

  Phase CurrentPhase = Phase::Opening;
  UpstreamId Upstream;
  /// Whether the flow is counted in its upstream's pending openings. Unlike
  /// Phase::Opening, this ends when OpenTimeout has passed.
  bool IsCountedAsPending = false;
  /// Whether the opening packet may have reached several upstreams.
  bool IsContested = false;
  /// Whether this instance saw no opening packet, so that InitialSequence may
  /// be too high.
  bool IsAdopted = false;
  /// Whether the flow was adopted with a request that may still be unanswered.
  bool MayAwaitAnswer = false;
  /// Whether a packet named another upstream after the flow was open.
  bool HasTagConflict = false;
  /// Whether the client has retransmitted data that is not acknowledged yet.
  bool HasRetransmitted = false;
  /// Sequence number of the opening packet. A different one in a later opening
  /// packet means that the client has reused the port for a new flow.
  uint32_t InitialSequence = 0;
  /// The highest acknowledgement number seen.
  uint32_t HighestAck = 0;
  /// The sequence number after the last data byte seen.
  uint32_t NextSequence = 0;
  TimePoint LastSeen{};
  TimePoint OpenedAt{};
  /// When the first data after the last answer was seen; unset if the flow
  /// waits for no answer.
  std::optional<TimePoint> RequestSentAt;
  /// Whether the request is counted in its upstream's open exchanges.
  bool IsCountedAsExchange = false;
  /// Whether the exchange has been open for long enough to be evidence that the
  /// upstream is unresponsive.
  bool IsEvidence = false;
  /// Whether the client has presumably given up the exchange.
  bool IsAbandoned = false;
  /// From this time on, the end of the exchange without an answer means that
  /// the client's time limit has passed.
  TimePoint AbandonedFrom{};
  /// When data was last seen that the client had not sent before.
  TimePoint LastNewDataAt{};
};

/// The flows whose packets recently passed through this instance. Losing an
/// entry does not break its flow, since the flow's tag identifies the upstream.
class SteeredFlowTable {
public:
  using Hook = std::function<void(const FlowAddress &, SteeredFlow &)>;

  /// Null if the flow is not in the table.
  SteeredFlow *find(const FlowAddress &Flow);

  /// Adds a flow; null if the table is full.
  SteeredFlow *add(const FlowAddress &Flow);

  void erase(const FlowAddress &Flow) { Flows.erase(Flow); }

  /// Calls \p OnFlow for each flow.
  void forEach(const Hook &OnFlow);

  /// Removes closed flows, and flows without packets for longer than
  /// \p IdleTimeout. Iterates over all flows. \p OnRemove is called for each
  /// flow before its removal.
  void sweep(TimePoint Now, Duration IdleTimeout, const Hook &OnRemove);

  /// Adds a deadline for the answer to an opening packet. Deadlines must be
  /// added in ascending order.
  void addOpeningDeadline(const FlowAddress &Flow, TimePoint Deadline);

  /// Calls \p OnTimeout for each flow that is still in the Opening phase at its
  /// deadline, and removes the deadlines up to \p Now.
  void reportOpenTimeouts(TimePoint Now, const Hook &OnTimeout);

  size_t size() const { return Flows.size(); }

private:
  struct OpeningDeadline {
    FlowAddress Flow;
    TimePoint Deadline;
  };

  std::unordered_map<FlowAddress, SteeredFlow, FlowAddressHash> Flows;
  std::deque<OpeningDeadline> OpeningDeadlines;
};

} // namespace indigopoint
