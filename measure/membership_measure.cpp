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
  if (const auto *Sent = std::get_if<Probe>(&Body))
    return HeaderBytes + 16 + sizeOf(Sent->Updates);
  if (const auto *Sent = std::get_if<ProbeAck>(&Body))
    return HeaderBytes + 16 + sizeOf(Sent->Updates);
  return HeaderBytes + 20;
}

/// Membership controllers alone. Datagrams take until the next tick.
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

  /// The time until all others have declared instance 0 dead.
  Duration killFirst() {
    const InstanceId Lost = Nodes[0].Board->Self.Id;
    const TimePoint Start = TimeSource.Now;
    Nodes[0].Alive = false;
    while (!isDeadEverywhere(Lost) && TimeSource.Now - Start < seconds(60))
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
  uint64_t mostBytes() const {
    uint64_t Most = 0;
    for (const Node &N : Nodes)
      Most = std::max(Most, N.Bytes);
    return Most;
  }
  uint64_t datagrams() const {
    uint64_t Sum = 0;
    for (const Node &N : Nodes)
      Sum += N.Datagrams;
    return Sum;
  }
  bool allKnown() const {
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
  struct Flight {
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
    // Any one of the first few is enough to find the others.
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
    std::deque<Flight> Arrived;
    Arrived.swap(InFlight);
    for (const Flight &Given : Arrived)
      deliver(Given);
    for (size_t Index = 0; Index < Nodes.size(); ++Index) {
      ActionSink Sink;
      if (!Nodes[Index].Alive)
        continue;
      Nodes[Index].Members->onTick(Sink);
      // Records are not part of this measurement: a joiner that knows all
      // others has its place.
      if (Nodes[Index].Members->isSynced())
        Nodes[Index].Members->becomeActive(Sink);
      collect(Index, Sink);
    }
  }

  void deliver(const Flight &Given) {
    Node &N = Nodes[Given.To];
    if (!N.Alive)
      return;
    ActionSink Sink;
    if (const auto *Got = std::get_if<Probe>(&Given.Body))
      N.Members->onProbe(Given.From, Given.Origin, *Got, Sink);
    else if (const auto *Got = std::get_if<ProbeAck>(&Given.Body))
      N.Members->onProbeAck(Given.From, Given.Origin, *Got, Sink);
    else if (const auto *Got = std::get_if<IndirectProbe>(&Given.Body))
      N.Members->onIndirectProbe(Given.From, Given.Origin, *Got, Sink);
    collect(Given.To, Sink);
  }

  void collect(size_t From, ActionSink &Sink) {
    Node &N = Nodes[From];
    const Sender Origin{N.Board->Self.Id, N.Board->Self.OwnIncarnation.Boot};
    for (Action &Done : Sink.Actions) {
      auto *Out = std::get_if<SendDatagram>(&Done);
      if (Out == nullptr)
        continue;
      N.Bytes += sizeOf(Out->Body);
      ++N.Datagrams;
      InFlight.push_back({static_cast<size_t>(Out->To.Port - 1),
                          N.Board->Self.Address, Origin, std::move(Out->Body)});
    }
  }

  bool isDeadEverywhere(InstanceId Lost) const {
    return std::all_of(Nodes.begin(), Nodes.end(), [Lost](const Node &N) {
      const Member *Known = N.Board->Members.find(Lost);
      return !N.Alive ||
             (Known != nullptr && Known->State == MemberState::Dead);
    });
  }

  SteppedClock TimeSource;
  std::vector<Node> Nodes;
  std::deque<Flight> InFlight;
};

void measureRegion(size_t Count, std::ostream &Table, std::ostream &JsonLines) {
  constexpr uint64_t QuietSeconds = 20;
  Region Measured(Count);
  // Pages of the member table are read faster in the first minute.
  Measured.run(seconds(65));
  const bool Complete = Measured.allKnown();
  Measured.clearCounts();
  Measured.run(seconds(QuietSeconds));
  const uint64_t Mean = Measured.bytes() / Count / QuietSeconds;
  const uint64_t Most = Measured.mostBytes() / QuietSeconds;
  const double Datagrams = static_cast<double>(Measured.datagrams()) /
                           static_cast<double>(Count * QuietSeconds);
  const auto Death =
      std::chrono::duration_cast<milliseconds>(Measured.killFirst()).count();
  Table << std::setw(9) << Count << std::setw(10) << Mean << std::setw(10)
        << Most << std::setw(13) << std::fixed << std::setprecision(1)
        << Datagrams << std::setw(16) << Death << std::setw(10)
        << (Complete ? "yes" : "no") << '\n';
  JsonLines << R"({"measure":"membership","instances":)" << Count
            << R"(,"bytes_per_second":)" << Mean
            << R"(,"most_bytes_per_second":)" << Most
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
