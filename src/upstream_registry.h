#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "packet.h"
#include "reachability_tracker.h"
#include "types.h"

namespace indigopoint {

/// What an upstream says of itself in its registration.
struct UpstreamRegistration {
  UpstreamId Id;
  std::string Service;
  Endpoint Address;
  std::string Zone;
  /// Requests it runs at a time.
  uint32_t Slots = 1;
  /// It takes no new flows and is about to leave.
  bool Draining = false;
  /// How much longer it is slow after its start.
  Duration WarmupLeft{};
  /// Start of its process in Unix milliseconds; 0 if it does not say.
  int64_t StartedAtMs = 0;
  bool operator==(const UpstreamRegistration &) const = default;
};

enum class UpstreamState : uint8_t {
  Ready,
  Draining,
  /// Its registration is gone or unreadable. Open flows still go there, since
  /// a registration can lapse while the upstream lives.
  Unregistered
};

std::string_view nameOf(UpstreamState Value);

/// One upstream as this instance knows it.
struct Upstream {
  UpstreamRegistration Registration;
  UpstreamState State = UpstreamState::Ready;
  /// Revision of the store at its first registration.
  uint64_t CreatedRevision = 0;
  TimePoint WarmupEnd{};
  TimePoint UnregisteredAt{};
  /// Written by flow steering: open flows that this instance sent here.
  uint32_t OpenFlows = 0;
  /// Written by flow steering.
  ReachabilityTracker Reachability;
};

/// The upstreams that registered themselves, by id, service and tag.
class UpstreamRegistry {
public:
  enum class Change : uint8_t {
    None,
    Added,
    Restarted,
    Updated,
    Drained,
    Returned,
    Removed
  };

  /// Enters a registration that the store holds since \p CreatedRevision.
  Change put(const UpstreamRegistration &Given, uint64_t CreatedRevision,
             TimePoint Now);

  /// The registration is gone, or says nothing that can be used.
  Change remove(UpstreamId Id, TimePoint Now);

  /// Removes all that are not in \p Present.
  void retain(const std::vector<UpstreamId> &Present, TimePoint Now,
              const std::function<void(UpstreamId)> &OnRemoved);

  /// Forgets upstreams that were unregistered for longer than flows live.
  void expire(TimePoint Now, Duration FlowLifetime);

  Upstream *find(UpstreamId Id);

  /// The upstream that a flow's tag stands for; null if there is none. If the
  /// tags of several agree, the one that registered first.
  Upstream *findByTag(const FlowAddress &Flow, FlowTag Tag);

  /// The registered upstream other than \p Given whose clients made progress
  /// last; null if none did.
  const Upstream *mostRecentlyAnswering(const Upstream &Given) const;

  /// All registrations of the store were read once.
  void markComplete() { Complete = true; }
  bool isComplete() const { return Complete; }

  /// The store confirmed what is known at \p When.
  void recordStoreSync(TimePoint When) { ConfirmedAt = When; }

  /// Whether its registration is missing for so long, while the store was
  /// there, that it must have ended.
  bool isGone(const Upstream &Given) const;

  /// Whether a registered upstream other than \p Given has its address.
  bool isAddressReused(const Upstream &Given) const;

  /// All upstreams of a service, in any state.
  const std::vector<Upstream *> &
  upstreamsOfService(const std::string &Service) const;

  /// How many upstreams are in a state.
  size_t count(UpstreamState State) const;

  size_t size() const { return Upstreams.size(); }

private:
  void link(Upstream &Given);
  void unlink(Upstream &Given);

  bool Complete = false;
  TimePoint ConfirmedAt{};
  std::map<UpstreamId, Upstream> Upstreams;
  /// By the part of a tag that depends on the upstream only.
  std::unordered_map<uint16_t, std::vector<Upstream *>> TagGroups;
  std::map<std::string, std::vector<Upstream *>> Services;
};

} // namespace indigopoint
