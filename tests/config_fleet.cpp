#include "config_fleet.h"

#include <algorithm>

#include "store_format.h"

namespace indigopoint {

namespace {

// Size of the header, ids and field tags of a datagram on the wire.
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
  Node &NewNode = *Nodes.back();
  NewNode.Board.Self.State = MemberState::Active;
  for (const auto &Peer : Nodes) {
    if (Peer.get() == &NewNode || !Peer->Alive)
      continue;
    const auto AddMember = [](const Node &Member, Node &To) {
      const SelfState &Self = Member.Board.Self;
      To.Board.Members.ById[Self.Id] = {
          Self.Id, Self.Name, Self.Zone, Self.Address, MemberState::Active,
          {},      {},        {}};
      ++To.Board.Members.Generation;
    };
    AddMember(NewNode, *Peer);
    AddMember(*Peer, NewNode);
  }
  return NewNode;
}

void ConfigFleet::kill(Node &StoppedNode) {
  StoppedNode.Alive = false;
  for (const auto &Peer : Nodes) {
    const auto It = Peer->Board.Members.ById.find(StoppedNode.Board.Self.Id);
    if (It == Peer->Board.Members.ById.end())
      continue;
    It->second.State = MemberState::Dead;
    ++Peer->Board.Members.Generation;
  }
}

void ConfigFleet::announce(const Node &From, Node &To, uint64_t Version) {
  ActionSink Sink;
  To.Config.onPeerVersion(From.Board.Self.Id, ConfigVersion(Version), Sink);
  processActions(indexOf(To.Board.Self.Address), Sink);
}

void ConfigFleet::run(Duration Span) {
  const TimePoint End = TimeSource.Now + Span;
  while (TimeSource.Now < End)
    step();
}

Duration ConfigFleet::runUntil(uint64_t Version, Duration Limit) {
  const TimePoint Start = TimeSource.Now;
  const auto AllUpdated = [&] {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Instance) {
      return !Instance->Alive || Instance->version() >= Version;
    });
  };
  while (!AllUpdated() && TimeSource.Now - Start < Limit)
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
    processActions(Index, Sink);
  }
  if (Gossip)
    exchangeVersions();
}

void ConfigFleet::exchangeVersions() {
  for (const auto &Instance : Nodes) {
    // On average one exchange per 200 ms, as 20 ticks pass in that time.
    const size_t PeerIndex = Random.below(Nodes.size());
    Node &Peer = *Nodes[PeerIndex];
    if (Random.below(20) != 0 || Instance.get() == &Peer || !Instance->Alive ||
        !Peer.Alive)
      continue;
    announce(*Instance, Peer, Instance->version());
    announce(Peer, *Instance, Peer.version());
  }
}

void ConfigFleet::processActions(size_t Index, ActionSink &Sink) {
  Node &From = *Nodes[Index];
  for (Action &Item : Sink.Actions) {
    if (auto *Datagram = std::get_if<SendDatagram>(&Item)) {
      const size_t ReceiverIndex = indexOf(Datagram->To);
      From.SentBytes += sizeOf(Datagram->Body);
      if (DatagramFilter(From, *Nodes[ReceiverIndex], Datagram->Body))
        InFlight.emplace(
            TimeSource.Now + Latency,
            Delivery{Index, ReceiverIndex, std::move(Datagram->Body)});
    } else if (auto *Call = std::get_if<StoreCall>(&Item)) {
      ++From.StoreCalls;
      From.MaxPendingCalls =
          std::max(From.MaxPendingCalls, ++From.PendingCalls);
      ++(Call->Query.QueryKind == StoreQuery::Kind::Watch ? Store.Watches
                                                          : Store.Reads);
      Calls.push_back({Index, std::move(*Call), TimeSource.Now});
    } else if (auto *Line = std::get_if<LogLine>(&Item)) {
      From.Log.push_back(Line->Text);
    }
  }
}

void ConfigFleet::deliver() {
  while (!InFlight.empty() && InFlight.begin()->first <= TimeSource.Now) {
    Delivery Datagram = std::move(InFlight.begin()->second);
    InFlight.erase(InFlight.begin());
    Node &From = *Nodes[Datagram.From];
    Node &To = *Nodes[Datagram.To];
    if (!To.Alive)
      continue;
    const Sender Origin{From.Board.Self.Id,
                        From.Board.Self.OwnIncarnation.Boot};
    ActionSink Sink;
    if (const auto *Pull = std::get_if<ConfigPull>(&Datagram.Body))
      To.Config.onConfigPull(Origin, From.Board.Self.Address, *Pull, Sink);
    else if (const auto *Chunk = std::get_if<ConfigChunk>(&Datagram.Body))
      To.Config.onConfigChunk(Origin, *Chunk, Sink);
    processActions(Datagram.To, Sink);
  }
}

void ConfigFleet::answerCalls() {
  std::vector<PendingCall> CallsToAnswer = std::move(Calls);
  Calls.clear();
  std::vector<PendingCall> UnansweredCalls;
  for (PendingCall &Call : CallsToAnswer)
    if (Nodes[Call.Caller]->Alive && !answer(Call))
      UnansweredCalls.push_back(std::move(Call));
  for (PendingCall &Call : UnansweredCalls)
    Calls.push_back(std::move(Call));
}

bool ConfigFleet::answer(PendingCall &Pending) {
  if (TimeSource.Now - Pending.StartedAt < std::chrono::milliseconds(2))
    return false;
  Node &Caller = *Nodes[Pending.Caller];
  const StoreQuery &Query = Pending.Call.Query;
  StoreAnswer Answer{Pending.Call.Id, {}};
  if (!Store.Down && StoreReachable(Caller))
    Answer.Result = Store.answer(Query);
  if (Answer.Result.ResultStatus == StoreResult::Status::Answered &&
      Answer.Result.Items.empty() &&
      TimeSource.Now - Pending.StartedAt < Query.Wait)
    return false;
  AlterStoreAnswer(Answer);
  --Caller.PendingCalls;
  ActionSink Sink;
  Caller.Config.onStoreAnswer(Answer, Sink);
  processActions(Pending.Caller, Sink);
  return true;
}

ServiceConfig fleetService(uint32_t Id, uint32_t UpstreamCount) {
  ServiceConfig Service;
  Service.Id = ServiceId(Id);
  Service.Name = "service-" + std::to_string(Id);
  Service.Tenant = "andina";
  for (uint32_t Index = 0; Index < UpstreamCount; ++Index) {
    UpstreamConfig Upstream;
    Upstream.Name = "upstream-" + std::to_string(Index);
    Upstream.Id = upstreamIdOf(Service.Name, Upstream.Name);
    Upstream.Zone = "lim-a";
    Upstream.Address = {0x7f000001 + Index, 9000};
    Service.Upstreams.push_back(Upstream);
  }
  return Service;
}

ConfigChange fleetChange(uint64_t Version, uint32_t UpstreamCount) {
  ConfigChange Change;
  Change.Version = ConfigVersion(Version);
  Change.ChangeId = "change-" + std::to_string(Version);
  Change.Author = "test";
  Change.ChangedServices = {fleetService(1, UpstreamCount)};
  Change.ChangedServices[0].QueueLimit = static_cast<uint32_t>(Version);
  return Change;
}

std::string fleetKey(uint64_t Version) {
  return changeKey("indigopoint/", ConfigVersion(Version));
}

} // namespace indigopoint
