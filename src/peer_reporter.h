#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peer_report.h"
#include "steady_clock.h"
#include "upstream_registry.h"

namespace indigopoint {

class EventLoop;

/// Sends reports to the other instances of the zone over UDP and receives
/// theirs.
class PeerReporter {
public:
  struct Options {
    /// Where reports are received, and the port that they are sent to. Port 0
    /// disables reports.
    Endpoint ReportAddress;
    /// The peer address of this instance.
    Endpoint Self;
    std::string Zone;
  };

  struct Hooks {
    /// Returns the peer addresses of the other instances of the zone.
    std::function<std::vector<Endpoint>()> Recipients = [] {
      return std::vector<Endpoint>();
    };
    /// Called for each report that is to be used.
    std::function<void(const PeerReport &)> OnReport = [](const PeerReport &) {
    };
    /// Returns where a flow is, for another instance that asks; nothing if that
    /// is not known.
    std::function<std::optional<FlowPlacement>(const FlowAddress &)> Placement =
        [](const FlowAddress &) { return std::nullopt; };
  };

  /// Numbers of datagrams.
  struct Counters {
    uint64_t Sent = 0;
    /// Used reports.
    uint64_t Received = 0;
    /// Malformed, foreign and implausible reports.
    uint64_t Rejected = 0;
    /// Valid reports that came after newer ones of the same sender, or late.
    uint64_t Outdated = 0;
  };

  PeerReporter(EventLoop &Loop, Options Opts, EventClock &TimeSource,
               Hooks ReportHooks);
  ~PeerReporter();

  /// Binds the socket and starts to report. Returns an error message, or an
  /// empty text on success. Does nothing if reports are disabled.
  std::string open();

  /// Reports that the upstream does not answer. \p HasStopped tells whether a
  /// connection check failed.
  void addEvidence(const Upstream &UnresponsiveUpstream, bool HasStopped);

  /// Reports where a flow is.
  void addPlacement(const FlowPlacement &Placement);

  /// Asks the other instances where a flow is.
  void addQuery(const FlowAddress &Flow);

  Counters counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
