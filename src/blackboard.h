#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "configuration.h"
#include "messages.h"
#include "metrics.h"
#include "ownership.h"
#include "placement.h"
#include "random_source.h"
#include "types.h"

namespace indigopoint {

/// The settings with which an engine is created.
struct EngineSettings {
  std::string Name;
  std::string Zone;
  std::string Region;
  Endpoint Address;
  /// Wall-clock start of the process, in milliseconds since the epoch.
  uint64_t BootTime = 0;
  BootId Boot;
  /// Instances to contact at the start, before the list of instances of the
  /// platform (the environment that hosts the instances) is known.
  std::vector<Endpoint> Seeds;
  /// Prefix of the configuration's keys in the platform's key-value store.
  std::string StorePrefix = "indigopoint/";
};

/// Identity and state of this instance. Written by the membership controller.
struct SelfState {
  InstanceId Id;
  std::string Name;
  std::string Zone;
  std::string Region;
  Endpoint Address;
  Incarnation OwnIncarnation;
  MemberState State = MemberState::Joining;
  /// The process was paused and has not confirmed yet that no other instance
  /// has taken over its flows and upstreams. Its state may still be valid.
  bool Stale = false;
  /// A graceful shutdown was requested.
  bool StopRequested = false;
  TimePoint StopDeadline{};
};

struct Member {
  InstanceId Id;
  std::string Name;
  std::string Zone;
  Endpoint Address;
  MemberState State = MemberState::Joining;
  Incarnation MemberIncarnation;
  TimePoint StateSince{};
  /// The member that forwards datagrams to this one; zero if this one is
  /// reached directly.
  InstanceId RelayMember;
  /// Whether the platform's list still contains the member, or no list is
  /// known.
  bool Listed = true;
};

/// The other instances. Written by the membership controller.
struct MemberTable {
  std::map<InstanceId, Member> ById;
  /// Incremented whenever a member appears, leaves or changes its state.
  uint64_t Generation = 0;

  const Member *find(InstanceId Id) const {
    const auto It = ById.find(Id);
    return It == ById.end() ? nullptr : &It->second;
  }
};

/// The last known load of an upstream: measured here if this instance owns the
/// upstream, else from a load report. Written by the upstream controller.
struct ReportedLoad {
  UpstreamLoad Load;
  TimePoint ReportedAt{};
};

/// The state that the controllers of one engine share. The comment at each
/// member names the one controller that writes it; all others only read it.
struct Blackboard {
  Blackboard(EngineSettings Settings, const Clock &TimeSource, uint64_t Seed);

  const EngineSettings Settings;
  const Clock &TimeSource;
  RandomSource Random;

  /// Written by the membership controller.
  SelfState Self;
  MemberTable Members;

  /// Written by the configuration controller.
  Configuration Config;
  ConfigIndex Index;

  /// The homes and owners that members and configuration call for; written by
  /// the engine whenever these change. CurrentOwnership follows by handovers.
  Placement CurrentPlacement;
  std::vector<std::string> RegionZones;

  /// Written by the handover controller.
  Ownership CurrentOwnership;

  /// Written by the upstream controller.
  std::unordered_map<UpstreamId, ReportedLoad> ReportedLoads;

  /// Written by the flow controller; shown on the status page.
  uint64_t OpenFlows = 0;
  uint32_t RequestsInProgress = 0;

  /// Written by the upstream controller.
  uint32_t DispatchesInProgress = 0;

  Metrics EngineMetrics;

  TimePoint now() const { return TimeSource.now(); }

  /// Whether another instance is unknown, dead or has left.
  bool isGone(InstanceId Instance) const;

  /// The boot id of an instance's process; zero if the instance is unknown.
  BootId bootOf(InstanceId Instance) const;
};

} // namespace indigopoint
