#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "blackboard.h"
#include "config_controller.h"
#include "manual_clock.h"
#include "model_store.h"
#include "peer_link.h"

namespace indigopoint {

/// The platform's key-value store, which counts its calls.
struct FleetStore : ModelStore {
  bool Down = false;
  uint64_t Reads = 0;
  uint64_t Watches = 0;
};

/// Configuration controllers that exchange versions and datagrams in virtual
/// time, with a fake store. Probes are replaced by one exchange of versions
/// with a random member per 200 ms.
class ConfigFleet {
public:
  struct Node {
    Node(const EngineSettings &Settings, const Clock &TimeSource, uint64_t Seed)
        : Board(Settings, TimeSource, Seed), Peers(Board),
          Config(Board, Peers) {}
    uint64_t version() const { return Board.Config.Version.value(); }

    Blackboard Board;
    PeerLink Peers;
    ConfigController Config;
    bool Alive = true;
    uint64_t SentBytes = 0;
    uint64_t StoreCalls = 0;
    uint64_t PendingCalls = 0;
    uint64_t MaxPendingCalls = 0;
    std::vector<std::string> Log;
  };

  /// May change a datagram; returns false to drop it.
  using FilterHook = std::function<bool(Node &From, Node &To, Message &Body)>;

  explicit ConfigFleet(uint64_t Seed = 1) : Random(Seed) {}

  Node &add(const std::string &Name, const std::string &Zone);
  void kill(Node &StoppedNode);

  /// Announces to \p To that \p From has \p Version.
  void announce(const Node &From, Node &To, uint64_t Version);

  void run(Duration Time);
  /// Runs until all live nodes have \p Version. Returns the elapsed time, at
  /// most \p Limit.
  Duration runUntil(uint64_t Version, Duration Limit);

  ManualClock TimeSource;
  FleetStore Store;
  FilterHook DatagramFilter = [](Node &, Node &, Message &) { return true; };
  std::function<bool(const Node &)> StoreReachable = [](const Node &) {
    return true;
  };
  std::function<void(StoreAnswer &)> AlterStoreAnswer = [](StoreAnswer &) {};
  /// Whether members exchange versions as with probes.
  bool Gossip = true;
  Duration Latency = std::chrono::milliseconds(1);
  std::vector<std::unique_ptr<Node>> Nodes;

private:
  struct Delivery {
    size_t From;
    size_t To;
    Message Body;
  };
  struct PendingCall {
    size_t Caller;
    StoreCall Call;
    TimePoint StartedAt;
  };

  void step();
  void processActions(size_t Index, ActionSink &Sink);
  void deliver();
  void answerCalls();
  bool answer(PendingCall &Pending);
  void exchangeVersions();
  size_t indexOf(Endpoint Address) const { return Address.Port - 1U; }

  RandomSource Random;
  std::multimap<TimePoint, Delivery> InFlight;
  std::vector<PendingCall> Calls;
  TimePoint NextTick{std::chrono::seconds(1000)};
};

/// A service with \p UpstreamCount upstreams.
ServiceConfig fleetService(uint32_t Id, uint32_t UpstreamCount);

/// The change of \p Version: service 1 with a queue limit equal to the version.
ConfigChange fleetChange(uint64_t Version, uint32_t UpstreamCount = 4);

/// The key of the change of \p Version in the store.
std::string fleetKey(uint64_t Version);

} // namespace indigopoint
