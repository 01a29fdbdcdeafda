#pragma once

#include <map>
#include <string>
#include <vector>

#include "peer_report.h"
#include "types.h"
#include "upstream_registry.h"

namespace indigopoint {

/// Evidence of unresponsive upstreams that other instances of this instance's
/// zone reported. It counts for a limited time and for a limited share of a
/// service's upstreams, since a reporter may be wrong or see only its own
/// fault.
class PeerEvidence {
public:
  /// \p Self identifies this instance, whose own reports are ignored.
  PeerEvidence(std::string Zone, Endpoint Self)
      : Zone(std::move(Zone)), Self(Self) {}

  /// Stores the evidence of a report. Ignores reports from other zones and
  /// reports that are not newer than the sender's last one, and evidence of
  /// unknown, earlier or implausible origin. Returns the services to which new
  /// evidence applies.
  std::vector<std::string> record(const PeerReport &Report,
                                  UpstreamRegistry &Upstreams, TimePoint Now);

  /// Decides which of the upstreams of one service are unresponsive by own and
  /// reported evidence and stores that in their state. Returns those that have
  /// become unresponsive by reported evidence.
  std::vector<Upstream *>
  apply(const std::vector<Upstream *> &UpstreamsOfService, TimePoint Now);

  /// How many other instances found lately that the upstream has stopped. An
  /// answer to this instance since then outweighs them.
  size_t countStopReports(const Upstream &Target, TimePoint Now) const;

  /// How long this instance believes evidence of an upstream. It differs
  /// between instances.
  Duration lifetimeFor(UpstreamId Target) const;

  /// Removes evidence that is too old.
  void expire(TimePoint Now);

private:
  struct Reports {
    /// The process of the upstream that the evidence applies to.
    int64_t StartedAtMs = 0;
    /// When each sender found its evidence.
    std::map<Endpoint, TimePoint> OriginBySender;
    /// When each sender found that the upstream has stopped.
    std::map<Endpoint, TimePoint> StopBySender;
  };
  struct SenderState {
    uint64_t Sequence = 0;
    TimePoint LastReport{};
  };
  /// The reported evidence of one upstream that counts at present.
  struct Claim {
    Upstream *Target = nullptr;
    size_t Reporters = 0;
    TimePoint Latest{};
  };
  /// The upstreams of one service in one zone.
  struct Group {
    size_t Ready = 0;
    std::vector<Upstream *> WithOwnEvidence;
    size_t Reports = 0;
    std::vector<Claim> Claims;
  };

  bool isNewReport(const PeerReport &Report, TimePoint Now);
  Claim claimOf(Upstream &Target, TimePoint Now) const;
  static void limitOwnEvidence(Group &Members, bool IsDisregarded);
  /// Selects the claims that count; the others are at the end.
  static size_t selectClaims(Group &Members);

  std::string Zone;
  Endpoint Self;
  std::map<Endpoint, SenderState> Senders;
  std::map<UpstreamId, Reports> ReportsByUpstream;
};

} // namespace indigopoint
