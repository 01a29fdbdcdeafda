#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "evacuation_table.h"
#include "exchange_tracker.h"
#include "packet.h"
#include "reachability_tracker.h"
#include "response_time_tracker.h"
#include "responsiveness_tracker.h"
#include "types.h"
#include "unanswered_exchanges.h"

namespace indigopoint {

/// The content of an upstream's registration.
struct UpstreamRegistration {
  UpstreamId Id;
  std::string Service;
  Endpoint Address;
  std::string Zone;
  /// Number of requests that the upstream processes concurrently.
  uint32_t Slots = 1;
  /// Whether the upstream accepts no new flows because it is about to stop.
  bool Draining = false;
  /// Remaining time of the slow phase after the upstream's start.
  Duration WarmupLeft{};
  /// Start of the upstream's process in Unix milliseconds; 0 if not reported.
  int64_t StartedAtMs = 0;
  bool operator==(const UpstreamRegistration &) const = default;
};

enum class UpstreamState : uint8_t {
  Ready,
  Draining,
  /// The registration is missing or unreadable. Open flows still go to the
  /// upstream, since a registration can lapse while the upstream is running.
  Unregistered
};

std::string_view nameOf(UpstreamState Value);

/// One upstream and this instance's state for it.
struct Upstream {
  explicit Upstream(const ReachabilityOptions &Opts) : Reachability(Opts) {}

  UpstreamRegistration Registration;
  UpstreamState State = UpstreamState::Ready;
  /// The key of the registration in the store. Another writer may use a key
  /// that leads to the same id. Written by StoreUpdateApplier.
  std::string RegistrationKey;
  /// Revision of the registration store at which the registration was created.
  uint64_t CreatedRevision = 0;
  TimePoint WarmupEnd{};
  /// When this instance learned that the upstream registered or restarted.
  TimePoint RegisteredAt{};
  TimePoint UnregisteredAt{};
  /// Whether the upstream is unregistered although the store has an entry of
  /// it, which cannot be used.
  bool HasUnusableEntry = false;
  /// Number of open flows that this instance sends to the upstream. Written by
  /// flow steering.
  uint32_t OpenFlows = 0;
  /// Written by flow steering.
  ReachabilityTracker Reachability;
  /// Written by flow steering.
  ResponseTimeTracker ResponseTimes;
  /// Written by flow steering.
  ExchangeTracker Exchanges;
  /// Written by flow steering.
  ResponsivenessTracker Responsiveness;
};

/// The upstreams that registered themselves in the store, indexed by id,
/// service and tag.
class UpstreamRegistry {
public:
  explicit UpstreamRegistry(const ReachabilityOptions &Opts = {})
      : Opts(Opts) {}
  // The upstreams refer to the options.
  UpstreamRegistry(const UpstreamRegistry &) = delete;
  UpstreamRegistry &operator=(const UpstreamRegistry &) = delete;

  enum class Change : uint8_t {
    None,
    Added,
    Restarted,
    Updated,
    DrainStarted,
    RegisteredAgain,
    Removed
  };

  /// Adds or updates an upstream from a registration that was created at
  /// \p CreatedRevision of the store.
  Change put(const UpstreamRegistration &Registration, uint64_t CreatedRevision,
             TimePoint Now);

  enum class RemovalReason : uint8_t {
    /// The store has no entry of the upstream.
    Missing,
    /// The entry is there but cannot be used.
    Unusable
  };

  /// Marks an upstream as unregistered. It stays known until expire() erases
  /// it.
  Change remove(UpstreamId Id, TimePoint Now,
                RemovalReason Reason = RemovalReason::Missing);

  /// The registered upstreams that are not in \p PresentIds.
  std::vector<UpstreamId>
  missingFrom(const std::vector<UpstreamId> &PresentIds) const;

  /// Erases upstreams that have been unregistered for longer than
  /// \p FlowLifetime.
  void expire(TimePoint Now, Duration FlowLifetime);

  Upstream *find(UpstreamId Id);

  /// The upstream that a flow's tag identifies; null if there is none. If
  /// several upstreams have the same tag for the flow, the one that registered
  /// first.
  Upstream *findByTag(const FlowAddress &Flow, FlowTag Tag);

  /// The same for the tag of an opening packet (see openingTagOf).
  Upstream *findByOpeningTag(const FlowAddress &Flow, FlowTag Tag,
                             uint32_t InitialSequence);

  /// The registered upstream other than \p Excluded with the most recent
  /// answer; null if none has answered.
  const Upstream *mostRecentlyAnswering(const Upstream &Excluded,
                                        TimePoint Now) const;

  /// Called when all registrations of the store have been read once.
  void markComplete() { HasReadAllRegistrations = true; }
  bool isComplete() const { return HasReadAllRegistrations; }

  /// Called when the known registrations were in sync with the store at \p
  /// Time.
  void recordStoreSync(TimePoint Time) { LastStoreSync = Time; }
  TimePoint lastStoreSync() const { return LastStoreSync; }

  /// Whether the upstream has presumably stopped: the store was available, but
  /// the upstream has not registered again in time and has not answered since.
  bool isPresumedStopped(const Upstream &Target) const;

  /// Whether \p Target has no entry any more and a registered upstream has its
  /// address. While there is an entry, its address is not given away; another
  /// one with that address is then from another writer.
  bool isAddressReused(const Upstream &Target) const;

  /// The zones that an operator evacuates.
  EvacuationTable &evacuations() { return Evacuations; }
  const EvacuationTable &evacuations() const { return Evacuations; }

  /// Counts the upstreams of a zone as cold for the time that \p WarmupTime
  /// returns for their service.
  void
  assumeCold(const std::string &Zone, TimePoint Now,
             const std::function<Duration(const std::string &)> &WarmupTime);

  /// Whether new flows may go to the upstream: it is registered, not draining
  /// and not in an evacuated zone.
  bool takesNewFlows(const Upstream &Target) const;

  /// The upstreams that take new flows, and their services.
  UnansweredExchanges::Counts available() const;

  /// Those in a zone.
  UnansweredExchanges::Counts availableIn(const std::string &Zone) const;

  /// When an upstream of the zone last registered or restarted.
  TimePoint lastStartIn(const std::string &Zone) const;

  /// All upstreams of a zone, in any state.
  std::vector<Upstream *> upstreamsOfZone(const std::string &Zone);

  /// Calls \p OnUpstream for each upstream.
  void forEach(const std::function<void(Upstream &)> &OnUpstream);

  /// All upstreams of a service, in any state.
  const std::vector<Upstream *> &
  upstreamsOfService(const std::string &Service) const;

  /// How many upstreams are in a state.
  size_t count(UpstreamState State) const;

  /// How many registered upstreams are unresponsive.
  size_t countUnresponsive(TimePoint Now) const;

  /// How many registered upstreams are in a zone.
  size_t countInZone(const std::string &Zone) const;

  size_t size() const { return Upstreams.size(); }

private:
  UnansweredExchanges::Counts
  countAvailable(const std::function<bool(const Upstream &)> &IsCounted) const;
  Upstream *
  findInTagGroup(FlowTag Tag,
                 const std::function<FlowTag(UpstreamId)> &TagOfUpstream);
  void addToIndexes(Upstream &Target);
  void removeFromIndexes(Upstream &Target);

  ReachabilityOptions Opts;
  bool HasReadAllRegistrations = false;
  TimePoint LastStoreSync{};
  EvacuationTable Evacuations;
  std::map<UpstreamId, Upstream> Upstreams;
  /// Upstreams by the part of a tag that depends on the upstream only.
  std::unordered_map<uint16_t, std::vector<Upstream *>> TagGroups;
  std::map<std::string, std::vector<Upstream *>> Services;
};

} // namespace indigopoint
