#pragma once

#include <functional>
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

  struct Hooks {
    /// Returns the current loads of this instance.
    std::function<std::vector<ServiceLoad>()> CollectLoads = [] {
      return std::vector<ServiceLoad>();
    };
    /// Returns the number of instances in the zone, including this one.
    std::function<size_t()> InstancesInZone = [] { return size_t{1}; };
  };

  ReportScheduler(Options Opts, const Clock &TimeSource, Hooks ReportHooks);

  /// How long evidence and loads of a report may be used. Evidence that could
  /// not be sent within this time is dropped.
  static constexpr Duration Lifetime = std::chrono::seconds(2);

  /// The time between two reports of loads in a zone of \p Instances. It
  /// exceeds Lifetime in zones of more than 128 instances.
  static Duration loadPeriod(size_t Instances);

  /// Has the evidence reported as soon as the limit of the rate permits.
  void addEvidence(const UpstreamEvidence &Evidence);

  /// Returns when takeReport is to be called next.
  TimePoint nextReportAt() const;

  /// Returns the report to send now; nothing if none is due or there is nothing
  /// to report. Each report holds all loads, so that a report without loads
  /// says that there are none.
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

  TimePoint timeOfNextLoads(TimePoint Now) const;
  void dropOutdatedEvidence();
  std::vector<UpstreamEvidence> extractEvidence();
  uint64_t nextSequence();
  /// Returns by how much longer than the fastest recent reports of its sender
  /// this one was on its way.
  static Duration recordDelay(Sender &Origin, uint64_t Sequence, TimePoint Now);
  bool mayAddSender(TimePoint Now);

  Options Opts;
  const Clock &TimeSource;
  Hooks ReportHooks;
  TimePoint StartedAt;
  uint64_t Sequence = 0;
  std::vector<PendingEvidence> Pending;
  TimePoint NextEvidenceAt;
  TimePoint NextLoadsAt;
  bool HadLoads = false;
  std::map<Endpoint, Sender> Senders;
};

/// Removes the evidence that is older than ReportScheduler::Lifetime.
void removeOutdatedEvidence(PeerReport &Report);

} // namespace indigopoint
