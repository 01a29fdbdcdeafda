#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "packet.h"
#include "types.h"

namespace indigopoint {

/// One flow as far as its client's packets through this instance tell.
struct SteeredFlow {
  enum class Phase : uint8_t {
    /// Opening packets were sent on; the client has not gone on yet.
    Opening,
    Open,
    /// The client has finished sending.
    Closing
  };

  Phase CurrentPhase = Phase::Opening;
  UpstreamId Upstream;
  /// It counts among the openings of its upstream whose outcome is not known.
  bool Pending = false;
  /// Of its opening packet; tells a new flow of the same client port.
  uint32_t InitialSequence = 0;
  /// The highest acknowledgement seen.
  uint32_t HighestAck = 0;
  /// End of the highest data seen.
  uint32_t NextSequence = 0;
  TimePoint LastSeen{};
  TimePoint OpenedAt{};
};

/// The flows whose packets passed through this instance lately. Losing them
/// breaks no flow: a flow's tag leads to its upstream as well.
class SteeredFlowTable {
public:
  using Hook = std::function<void(const FlowAddress &, SteeredFlow &)>;

  /// Null if there is none.
  SteeredFlow *find(const FlowAddress &Flow);

  /// Adds a flow; null if the table is full.
  SteeredFlow *add(const FlowAddress &Flow);

  void erase(const FlowAddress &Flow) { Flows.erase(Flow); }

  /// Removes flows that were closed or idle for long. Looks at all flows.
  /// \p OnRemove sees each before its end.
  void sweep(TimePoint Now, Duration IdleTimeout, const Hook &OnRemove);

  /// Calls \p OnSilent for each opening that found no answer by \p Now.
  void expectOpening(const FlowAddress &Flow, TimePoint Deadline);
  void expireOpenings(TimePoint Now, const Hook &OnSilent);

  size_t size() const { return Flows.size(); }

private:
  struct Expected {
    FlowAddress Flow;
    TimePoint Deadline;
  };

  std::unordered_map<FlowAddress, SteeredFlow, FlowAddressHash> Flows;
  std::deque<Expected> Openings;
};

} // namespace indigopoint
