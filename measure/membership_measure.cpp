#include "membership_measure.h"

#include <algorithm>
#include <deque>
#include <iomanip>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "blackboard.h"
#include "membership_controller.h"
#include "update_queue.h"

namespace indigopoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// UDP and IP headers, and the header of a datagram between instances.
constexpr uint64_t HeaderBytes = 28 + 24;

class SteppedClock : public Clock {
public:
  TimePoint now() const override { return Now; }
  TimePoint Now{std::chrono::hours(1)};
};

uint64_t sizeOf(const std::vector<MemberUpdate> &Updates) {
  uint64_t Bytes = 0;
  for (const MemberUpdate &Update : Updates)
    Bytes += estimatedBytes(Update);
  return Bytes;
}

uint64_t sizeOf(const Message &Body) {
  if (const auto *ProbeBody = std::get_if<Probe>(&Body))
    return HeaderBytes + 16 + sizeOf(ProbeBody->Updates);
  if (const auto *ProbeBody = std::get_if<ProbeAck>(&Body))
    return HeaderBytes + 16 + sizeOf(ProbeBody->Updates);
  return HeaderBytes + 20;
}

/// Simulates a region of membership controllers without other controllers.
/// Datagrams are delivered at the next tick.
class Region {
public:
  explicit Region(size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index)
      add(Index);
  }

  void run(Duration Length) {
    for (const TimePoint End = TimeSource.Now + Length; TimeSource.Now < End;)
      tick();
  }

  /// Kills instance 0 and returns the time until all other instances have
  /// declared it dead.
  Duration killFirst() {
    const InstanceId KilledInstance = Nodes[0].Board->Self.Id;
    const TimePoint Start = TimeSource.Now;
    Nodes[0].Alive = false;
    while (!isDeadEverywhere(KilledInstance) &&
           TimeSource.Now - Start < seconds(60))
      tick();
    return TimeSource.Now - Start;
  }

  void clearCounts() {
    for (Node &N : Nodes)
      N.Bytes = N.Datagrams = 0;
  }
  uint64_t bytes() const {
    uint64_t Sum = 0;
    for (const Node &N : Nodes)
      Sum += N.Bytes;
    return Sum;
  }
  uint64_t maxBytes() const {
    uint64_t Max = 0;
    for (const Node &N : Nodes)
      Max = std::max(Max, N.Bytes);
    return Max;
  }
  uint64_t datagrams() const {
    uint64_t Sum = 0;
    for (const Node &N : Nodes)
      Sum += N.Datagrams;
    return Sum;
  }
  bool isMembershipComplete() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [this](const Node &N) {
      return N.Board->Members.ById.size() + 1 == Nodes.size();
    });
  }

private:
  struct Node {
    std::unique_ptr<Blackboard> Board;
    std::unique_ptr<MembershipController> Members;
    bool Alive = true;
    uint64_t Bytes = 0;
    uint64_t Datagrams = 0;
  };
  struct DatagramInFlight {
    size_t To;
    Endpoint From;
    Sender Origin;
    Message Body;
  };

  void add(size_t Index) {
    EngineSettings Settings;
    Settings.Zone = "lim-" + std::string(1, static_cast<char>('a' + Index % 3));
    Settings.Name = Settings.Zone + "-" + std::to_string(Index);
    Settings.Region = "lim";
    Settings.Address = {0x7f000001, static_cast<uint16_t>(1 + Index)};
    Settings.BootTime = Settings.Address.Port;
    Settings.Boot = BootId(Index + 1);
    // One reachable seed is enough to discover all members.
    for (size_t Seed = 0; Seed < std::min<size_t>(Index, 3); ++Seed)
      Settings.Seeds.push_back(Nodes[Seed].Board->Self.Address);
    Node N;
    N.Board = std::make_unique<Blackboard>(Settings, TimeSource, Index + 1);
    N.Board->Config.Version = ConfigVersion(1);
    N.Members = std::make_unique<MembershipController>(*N.Board);
    Nodes.push_back(std::move(N));
  }

  void tick() {
    TimeSource.Now += TickInterval;
    std::deque<DatagramInFlight> DueDatagrams;
    DueDatagrams.swap(InFlight);
    for (const DatagramInFlight &Datagram : DueDatagrams)
      deliver(Datagram);
    for (size_t Index = 0; Index < Nodes.size(); ++Index) {
      ActionSink Sink;
      if (!Nodes[Index].Alive)
        continue;
      Nodes[Index].Members->onTick(Sink);
      // The handover of records is not simulated: a joining instance becomes
      // active as soon as its member table is synchronised.
      if (Nodes[Index].Members->isSynced())
        Nodes[Index].Members->becomeActive(Sink);
      collect(Index, Sink);
    }
  }

  void deliver(const DatagramInFlight &Datagram) {
    Node &N = Nodes[Datagram.To];
    if (!N.Alive)
      return;
    ActionSink Sink;
    if (const auto *Body = std::get_if<Probe>(&Datagram.Body))
      N.Members->onProbe(Datagram.From, Datagram.Origin, *Body, Sink);
    else if (const auto *Body = std::get_if<ProbeAck>(&Datagram.Body))
      N.Members->onProbeAck(Datagram.From, Datagram.Origin, *Body, Sink);
    else if (const auto *Body = std::get_if<IndirectProbe>(&Datagram.Body))
      N.Members->onIndirectProbe(Datagram.From, Datagram.Origin, *Body, Sink);
    collect(Datagram.To, Sink);
  }

  void collect(size_t From, ActionSink &Sink) {
    Node &N = Nodes[From];
    const Sender Origin{N.Board->Self.Id, N.Board->Self.OwnIncarnation.Boot};
    for (Action &CurrentAction : Sink.Actions) {
      auto *Datagram = std::get_if<SendDatagram>(&CurrentAction);
      if (Datagram == nullptr)
        continue;
      N.Bytes += sizeOf(Datagram->Body);
      ++N.Datagrams;
      InFlight.push_back({static_cast<size_t>(Datagram->To.Port - 1),
                          N.Board->Self.Address, Origin,
                          std::move(Datagram->Body)});
    }
  }

  bool isDeadEverywhere(InstanceId KilledInstance) const {
    return std::all_of(
        Nodes.begin(), Nodes.end(), [KilledInstance](const Node &N) {
          const Member *Target = N.Board->Members.find(KilledInstance);
          return !N.Alive ||
                 (Target != nullptr && Target->State == MemberState::Dead);
        });
  }

  SteppedClock TimeSource;
  std::vector<Node> Nodes;
  std::deque<DatagramInFlight> InFlight;
};

void measureRegion(size_t Count, std::ostream &Table, std::ostream &JsonLines) {
  constexpr uint64_t QuietSeconds = 20;
  Region TestRegion(Count);
  // Member table pages are requested more often in the first minute, which
  // would distort the steady-state traffic.
  TestRegion.run(seconds(65));
  const bool Complete = TestRegion.isMembershipComplete();
  TestRegion.clearCounts();
  TestRegion.run(seconds(QuietSeconds));
  const uint64_t Mean = TestRegion.bytes() / Count / QuietSeconds;
  const uint64_t Max = TestRegion.maxBytes() / QuietSeconds;
  const double Datagrams = static_cast<double>(TestRegion.datagrams()) /
                           static_cast<double>(Count * QuietSeconds);
  const auto Death =
      std::chrono::duration_cast<milliseconds>(TestRegion.killFirst()).count();
  Table << std::setw(9) << Count << std::setw(10) << Mean << std::setw(10)
        << Max << std::setw(13) << std::fixed << std::setprecision(1)
        << Datagrams << std::setw(16) << Death << std::setw(10)
        << (Complete ? "yes" : "no") << '\n';
  JsonLines << R"({"measure":"membership","instances":)" << Count
            << R"(,"bytes_per_second":)" << Mean
            << R"(,"most_bytes_per_second":)" << Max
            << R"(,"datagrams_per_second":)" << Datagrams
            << R"(,"death_known_ms":)" << Death << R"(,"complete":)"
            << (Complete ? "true" : "false") << "}\n";
}

} // namespace

int measureMembership(std::ostream &Table, std::ostream &JsonLines) {
  Table << "instances   bytes/s  most B/s  datagrams/s  death known ms"
           "  complete\n";
  for (size_t Count : {8, 50, 400})
    measureRegion(Count, Table, JsonLines);
  return 0;
}

} // namespace indigopoint
