#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event_log.h"
#include "flow_steering.h"
#include "manual_clock.h"
#include "store_update_applier.h"

namespace indigopoint {

/// An entry that another writer left among the registrations.
struct OddEntry {
  /// Names the kind of fault; a valid name of a test.
  std::string Kind;
  std::string Key;
  std::string Value;
};

/// One entry of each kind. None names an upstream to use. The keys differ from
/// those of the upstreams 11 to 13.
std::vector<OddEntry> oddEntries();

/// An instance that follows the store, with three upstreams of a service and an
/// open flow at one of them.
class OddEntryWorld {
public:
  OddEntryWorld();

  /// Applies an answer of the store in which the entry stands before a change
  /// of the upstream 13. Returns whether the answer was used.
  bool applyChange(const std::string &Key, const std::string &Value);

  /// Applies a snapshot in which the entry stands among the others.
  bool applySnapshot(const std::string &Key, const std::string &Value);

  /// Starts the instance again. Its first snapshot has the entry at its place
  /// in the order of keys.
  void restart(const std::string &Key, const std::string &Value);

  /// What is wrong with the upstreams, the routes or the open flow; empty if
  /// all are as they were. \p OwnId is the upstream in whose place the entry
  /// stands; 0 if there is none.
  std::string problem(uint64_t OwnId = 0);

private:
  /// The state of one process.
  struct Instance {
    explicit Instance(ManualClock &TimeSource);

    EventLog Log;
    RouteTable Routes;
    UpstreamRegistry Upstreams;
    SteeringMetrics Metrics;
    FlowSteering Steering;
    StoreUpdateApplier Applier;
  };

  bool apply(const std::vector<OddEntry> &Items, bool IsSnapshot);
  std::vector<OddEntry> validItems() const;

  ManualClock TimeSource;
  std::unique_ptr<Instance> Current;
  uint64_t Revision = 0;
  std::map<std::string, uint64_t> CreatedRevisions;
  uint32_t ChangedSlots = 2;
  PacketHeader OpenFlow;
  uint64_t OpenFlowUpstream = 0;
};

/// The valid registration of an upstream of the world.
std::string registrationOf(uint64_t Id, uint32_t Slots = 2);

} // namespace indigopoint
