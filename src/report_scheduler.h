#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "peer_report.h"

namespace indigopoint {

/// Decides when an instance reports to the other instances of its zone, what
/// the report holds, and which received reports are recent enough to be used.
class ReportScheduler {
public:
  struct Options {
    /// The peer address of this instance.
    Endpoint Self;
    std::string Zone;
    /// Start of this process in Unix seconds. It orders the reports of
    /// processes that use the same address one after the other.
    uint32_t StartedAtS = 0;
  };

  ReportScheduler(Options Opts, const Clock &TimeSource);

  /// How long the evidence of a report may be used. Evidence that could
  /// not be sent within this time is dropped.
  static constexpr Duration Lifetime = std::chrono::seconds(2);

  /// Has the evidence reported as soon as the limit of the rate permits.
  void addEvidence(const UpstreamEvidence &Evidence);

  /// Has the placement of a flow reported with the next report.
  void addPlacement(const FlowPlacement &Placement);

  /// Has the other instances asked for the upstream of a flow.
  void addQuery(const FlowAddress &Flow);

  /// Returns an immediate answer to a query of another instance.
  PeerReport answer(std::vector<FlowPlacement> Placements);

  /// Returns when takeReport is to be called next; the maximum if there is
  /// nothing to report.
  TimePoint nextReportAt() const;

  /// Returns the report to send now; nothing if none is due.
  std::optional<PeerReport> takeReport();

  /// Returns whether a report of another instance is to be used: it is newer
  /// than those that were accepted before and was not delayed by more than
  /// Lifetime.
  bool accept(const PeerReport &Report);

private:
  struct PendingEvidence {
    UpstreamId Upstream;
    int64_t StartedAtMs = 0;
    TimePoint FoundAt{};
    bool HasStopped = false;
  };

  /// What is known of an instance that sent reports.
  struct Sender {
    uint64_t Sequence = 0;
    TimePoint AcceptedAt{};
    /// The smallest difference between the receiver's and the sender's clock in
    /// the current and in the previous window.
    Duration Offset{};
    Duration PreviousOffset{};
    TimePoint WindowStart{};
  };

  void dropOutdatedEvidence();
  std::vector<UpstreamEvidence> extractEvidence();
  bool hasPending() const;
  PeerReport makeReport();
  uint64_t nextSequence();
  /// Returns by how much longer than the fastest recent reports of its sender
  /// this one was on its way.
  static Duration recordDelay(Sender &Origin, uint64_t Sequence, TimePoint Now);
  bool mayAddSender(TimePoint Now);

  Options Opts;
  const Clock &TimeSource;
  TimePoint StartedAt;
  uint64_t Sequence = 0;
  std::vector<PendingEvidence> Pending;
  std::deque<FlowPlacement> PendingPlacements;
  std::deque<FlowAddress> PendingQueries;
  TimePoint NextEvidenceAt;
  std::map<Endpoint, Sender> Senders;
};

/// Removes the evidence that is older than ReportScheduler::Lifetime.
void removeOutdatedEvidence(PeerReport &Report);

} // namespace indigopoint
