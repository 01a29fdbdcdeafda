#include "config_fleet.h"

#include <algorithm>

#include "store_format.h"

namespace indigopoint {

namespace {

// Header, ids and field tags of a datagram on the wire.
constexpr size_t DatagramOverhead = 60;

size_t sizeOf(const Message &Body) {
  const auto *Chunk = std::get_if<ConfigChunk>(&Body);
  return DatagramOverhead + (Chunk != nullptr ? Chunk->Bytes.size() : 0);
}

} // namespace

ConfigFleet::Node &ConfigFleet::add(const std::string &Name,
                                    const std::string &Zone) {
  EngineSettings Settings;
  Settings.Name = Name;
  Settings.Zone = Zone;
  Settings.Region = Zone.substr(0, Zone.find('-'));
  Settings.Address = {0x7f000001, static_cast<uint16_t>(Nodes.size() + 1)};
  Nodes.push_back(std::make_unique<Node>(Settings, TimeSource, Random.next()));
  Node &Added = *Nodes.back();
  Added.Board.Self.State = MemberState::Active;
  for (const auto &Other : Nodes) {
    if (Other.get() == &Added || !Other->Alive)
      continue;
    const auto Introduce = [](const Node &Whom, Node &To) {
      const SelfState &Self = Whom.Board.Self;
      To.Board.Members.ById[Self.Id] = {
          Self.Id, Self.Name, Self.Zone, Self.Address, MemberState::Active,
          {},      {},        {}};
      ++To.Board.Members.Generation;
    };
    Introduce(Added, *Other);
    Introduce(*Other, Added);
  }
  return Added;
}

void ConfigFleet::kill(Node &Gone) {
  Gone.Alive = false;
  for (const auto &Other : Nodes) {
    const auto It = Other->Board.Members.ById.find(Gone.Board.Self.Id);
    if (It == Other->Board.Members.ById.end())
      continue;
    It->second.State = MemberState::Dead;
    ++Other->Board.Members.Generation;
  }
}

void ConfigFleet::announce(const Node &From, Node &To, uint64_t Version) {
  ActionSink Sink;
  To.Config.onPeerVersion(From.Board.Self.Id, ConfigVersion(Version), Sink);
  take(indexOf(To.Board.Self.Address), Sink);
}

void ConfigFleet::run(Duration Span) {
  const TimePoint End = TimeSource.Now + Span;
  while (TimeSource.Now < End)
    step();
}

Duration ConfigFleet::runUntil(uint64_t Version, Duration Limit) {
  const TimePoint Start = TimeSource.Now;
  const auto Done = [&] {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Each) {
      return !Each->Alive || Each->version() >= Version;
    });
  };
  while (!Done() && TimeSource.Now - Start < Limit)
    step();
  return TimeSource.Now - Start;
}

void ConfigFleet::step() {
  TimeSource.Now += std::chrono::milliseconds(1);
  deliver();
  answerCalls();
  if (TimeSource.Now < NextTick)
    return;
  NextTick = TimeSource.Now + TickInterval;
  for (size_t Index = 0; Index < Nodes.size(); ++Index) {
    if (!Nodes[Index]->Alive)
      continue;
    ActionSink Sink;
    Nodes[Index]->Config.onTick(Sink);
    take(Index, Sink);
  }
  if (Gossip)
    exchangeVersions();
}

void ConfigFleet::exchangeVersions() {
  for (const auto &Each : Nodes) {
    // On average one exchange per 200 ms, as 20 ticks pass in that time.
    const size_t Chosen = Random.below(Nodes.size());
    Node &Other = *Nodes[Chosen];
    if (Random.below(20) != 0 || Each.get() == &Other || !Each->Alive ||
        !Other.Alive)
      continue;
    announce(*Each, Other, Each->version());
    announce(Other, *Each, Other.version());
  }
}

void ConfigFleet::take(size_t Index, ActionSink &Sink) {
  Node &From = *Nodes[Index];
  for (Action &Each : Sink.Actions) {
    if (auto *Sent = std::get_if<SendDatagram>(&Each)) {
      const size_t To = indexOf(Sent->To);
      From.SentBytes += sizeOf(Sent->Body);
      if (Network(From, *Nodes[To], Sent->Body))
        InFlight.emplace(TimeSource.Now + Latency,
                         Delivery{Index, To, std::move(Sent->Body)});
    } else if (auto *Call = std::get_if<StoreCall>(&Each)) {
      ++From.StoreCalls;
      From.MostOpenCalls = std::max(From.MostOpenCalls, ++From.OpenCalls);
      ++(Call->Kind == StoreCallKind::Watch ? Store.Watches : Store.Reads);
      Calls.push_back({Index, std::move(*Call), TimeSource.Now});
    } else if (auto *Line = std::get_if<LogLine>(&Each)) {
      From.Log.push_back(Line->Text);
    }
  }
}

void ConfigFleet::deliver() {
  while (!InFlight.empty() && InFlight.begin()->first <= TimeSource.Now) {
    Delivery Next = std::move(InFlight.begin()->second);
    InFlight.erase(InFlight.begin());
    Node &From = *Nodes[Next.From];
    Node &To = *Nodes[Next.To];
    if (!To.Alive)
      continue;
    const Sender Origin{From.Board.Self.Id,
                        From.Board.Self.OwnIncarnation.Boot};
    ActionSink Sink;
    if (const auto *Pull = std::get_if<ConfigPull>(&Next.Body))
      To.Config.onConfigPull(Origin, From.Board.Self.Address, *Pull, Sink);
    else if (const auto *Chunk = std::get_if<ConfigChunk>(&Next.Body))
      To.Config.onConfigChunk(Origin, *Chunk, Sink);
    take(Next.To, Sink);
  }
}

void ConfigFleet::answerCalls() {
  std::vector<OpenCall> Open = std::move(Calls);
  Calls.clear();
  std::vector<OpenCall> Left;
  for (OpenCall &Each : Open)
    if (Nodes[Each.Caller]->Alive && !answer(Each))
      Left.push_back(std::move(Each));
  for (OpenCall &Each : Left)
    Calls.push_back(std::move(Each));
}

bool ConfigFleet::answer(OpenCall &Open) {
  if (TimeSource.Now - Open.At < std::chrono::milliseconds(2))
    return false;
  Node &Caller = *Nodes[Open.Caller];
  StoreAnswer Answer;
  Answer.Call = Open.Call.Id;
  const auto It = Store.Keys.find(Open.Call.Key);
  if (Store.Down || !StoreReachable(Caller)) {
    Answer.Status = StoreStatus::Failed;
  } else if (It != Store.Keys.end()) {
    Answer = {Open.Call.Id, StoreStatus::Found, It->second.Revision,
              It->second.Value};
  } else if (Open.Call.Kind == StoreCallKind::Get) {
    Answer.Status = StoreStatus::NotFound;
  } else if (TimeSource.Now - Open.At >= Open.Call.Wait) {
    Answer.Status = StoreStatus::Unchanged;
  } else {
    return false;
  }
  StoreFilter(Answer);
  --Caller.OpenCalls;
  ActionSink Sink;
  Caller.Config.onStoreAnswer(Answer, Sink);
  take(Open.Caller, Sink);
  return true;
}

ServiceConfig fleetService(uint32_t Id, uint32_t Upstreams) {
  ServiceConfig Service;
  Service.Id = ServiceId(Id);
  Service.Name = "service-" + std::to_string(Id);
  Service.Tenant = "andina";
  for (uint32_t Index = 0; Index < Upstreams; ++Index) {
    UpstreamConfig Upstream;
    Upstream.Name = "upstream-" + std::to_string(Index);
    Upstream.Id = upstreamIdOf(Service.Name, Upstream.Name);
    Upstream.Zone = "lim-a";
    Upstream.Address = {0x7f000001 + Index, 9000};
    Service.Upstreams.push_back(Upstream);
  }
  return Service;
}

ConfigChange fleetChange(uint64_t Version, uint32_t Upstreams) {
  ConfigChange Change;
  Change.Version = ConfigVersion(Version);
  Change.ChangeId = "change-" + std::to_string(Version);
  Change.Author = "test";
  Change.ChangedServices = {fleetService(1, Upstreams)};
  Change.ChangedServices[0].QueueLimit = static_cast<uint32_t>(Version);
  return Change;
}

std::string fleetKey(uint64_t Version) {
  return changeKey("indigopoint/", ConfigVersion(Version));
}

} // namespace indigopoint
