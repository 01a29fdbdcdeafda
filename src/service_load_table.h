#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "peer_report.h"
#include "upstream_registry.h"

namespace indigopoint {

/// The slots of a service's upstreams in one zone.
struct ZoneSlots {
  /// Slots of upstreams that take new flows. Cold and slow upstreams count with
  /// a share of theirs, suspect ones with none.
  double Usable = 0;
  /// Slots of all upstreams that are known, whatever their state.
  double Known = 0;
};

/// The slots of \p Upstreams by zone. \p TakesNewFlows tells which upstreams
/// are in use.
std::map<std::string, ZoneSlots>
slotsByZone(const std::vector<Upstream *> &Upstreams,
            const std::function<bool(const Upstream &)> &TakesNewFlows,
            TimePoint Now, double WarmupShare);

/// The slots that the flows of \p Zone may use. If at least \p MinMissingShare
/// of the zone's slots are missing, the same share of its flows goes to other
/// zones and uses one zone's part of their slots. 0 if nothing is usable.
double capacityOf(const std::string &Zone,
                  const std::map<std::string, ZoneSlots> &Slots,
                  double MinMissingShare);

/// The load of each service: that of this instance, and what other instances
/// reported.
class ServiceLoadTable {
public:
  ServiceLoadTable(std::string Zone, const Clock &TimeSource)
      : Zone(std::move(Zone)), TimeSource(TimeSource) {}

  /// The known load of a service in one zone.
  struct Demand {
    double OpeningsPerSecond = 0;
    double OpenExchanges = 0;
    /// Age of the oldest report that is included.
    Duration Age{};
    /// Instances whose load is included.
    size_t Instances = 0;
  };

  /// Counts the first opening packet of a flow as \p Requests requests (see
  /// requestsOf).
  void recordOpening(const std::string &Service, double Requests);
  void recordExchangeStart(const std::string &Service);
  void recordExchangeEnd(const std::string &Service);

  /// Replaces the loads that the sender reported before. Reports older than the
  /// last one, without loads or with implausible values are ignored.
  void recordPeerReport(const PeerReport &Report);

  /// What this instance reports to others.
  std::vector<ServiceLoad> ownLoads() const;

  /// The demand of this instance's zone.
  Demand demand(const std::string &Service) const;

  /// The demand of another zone; no instances if nothing is known.
  Demand demandOfZone(const std::string &Service,
                      const std::string &OtherZone) const;

  /// Forgets senders whose reports are too old, and services without load.
  void expire();

private:
  struct OwnLoad {
    double DecayedOpenings = 0;
    TimePoint DecayedAt{};
    uint32_t OpenExchanges = 0;

    double openings(TimePoint Now) const;
  };

  struct ReceivedLoads {
    std::string Zone;
    uint64_t Sequence = 0;
    TimePoint ReceivedAt{};
    std::vector<ServiceLoad> Loads;
  };

  void addReported(const std::string &Service, const std::string &FromZone,
                   Demand &Out) const;

  std::string Zone;
  const Clock &TimeSource;
  std::map<std::string, OwnLoad> OwnLoads;
  std::map<Endpoint, ReceivedLoads> Reports;
};

} // namespace indigopoint
