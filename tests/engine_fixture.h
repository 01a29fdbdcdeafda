#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config_codec.h"
#include "decision_engine.h"
#include "manual_clock.h"
#include "model_store.h"

namespace indigopoint {

/// Delivers messages between a few engines in virtual time. Datagrams to
/// endpoints that are not instances, such as callers and upstreams, go to
/// OnExternalDatagram.
class EngineNetwork {
public:
  struct Node {
    EngineSettings Settings;
    std::unique_ptr<DecisionEngine> Engine;
    bool Paused = false;
    std::deque<Event> PendingEvents;
    std::optional<StopProcess> Stopped;
    std::vector<LogLine> Log;
    std::map<size_t, uint64_t> SentCounts; // by index of the message type
    std::deque<StoreCall> Watches;
    const Blackboard &board() const { return Engine->board(); }
    bool runs() const { return Engine && !Paused; }
  };
  struct Link {
    bool Cut = false;
    double DropProbability = 0;
    Duration Delay = std::chrono::microseconds(500);
  };

  explicit EngineNetwork(uint64_t RandomSeed = 1)
      : Random(RandomSeed), RandomSeed(RandomSeed) {}

  /// Starts an instance with the addresses of all instances started before.
  Node &start(const std::string &Name, const std::string &Zone) {
    Node &N = Nodes[Name];
    N.Settings.Name = Name;
    N.Settings.Zone = Zone;
    N.Settings.Region = Region;
    N.Settings.Address = {0x7f000001,
                          static_cast<uint16_t>(6999 + ++PortCount)};
    for (const auto &[Other, Peer] : Nodes)
      if (Other != Name)
        N.Settings.Seeds.push_back(Peer.Settings.Address);
    return restart(Name);
  }
  /// Starts a new process with the same name and address.
  Node &restart(const std::string &Name) {
    Node &N = Nodes[Name];
    N.Settings.Boot = BootId(++BootCount);
    N.Settings.BootTime = BootCount;
    N.PendingEvents.clear();
    N.Watches.clear();
    N.Stopped.reset();
    N.Paused = false;
    N.Engine = std::make_unique<DecisionEngine>(N.Settings, TimeSource,
                                                RandomSeed * 1000 + BootCount);
    return N;
  }
  void kill(const std::string &Name) { Nodes[Name].Engine.reset(); }
  void pause(const std::string &Name) { Nodes[Name].Paused = true; }
  /// Resumes a paused process. It first handles the events that arrived while
  /// it was paused.
  void resume(const std::string &Name) {
    Node &N = Nodes[Name];
    N.Paused = false;
    for (; !N.PendingEvents.empty(); N.PendingEvents.pop_front())
      handle(N, std::move(N.PendingEvents.front()));
  }
  Node &node(const std::string &Name) { return Nodes.at(Name); }
  /// The link for datagrams from \p From to \p To.
  Link &link(const std::string &From, const std::string &To) {
    return Links[{From, To}];
  }
  /// Cuts the link in both directions, or restores it if \p Cut is false.
  void cutBoth(const std::string &A, const std::string &B, bool Cut = true) {
    link(A, B).Cut = link(B, A).Cut = Cut;
  }

  /// Lets an instance handle \p Input now, or once it is resumed if it is
  /// paused.
  void handle(Node &N, Event Input) {
    if (!N.Engine)
      return;
    if (N.Paused)
      return N.PendingEvents.push_back(std::move(Input));
    ActionSink Sink;
    N.Engine->handle(std::move(Input), Sink);
    for (Action &Result : Sink.Actions)
      std::visit([&](auto &TypedAction) { perform(N, TypedAction); }, Result);
  }
  /// Sends a datagram of a caller or upstream to an instance.
  void inject(Endpoint From, const std::string &To, Message Body) {
    handle(node(To), DatagramReceived{From, {}, std::move(Body)});
  }
  /// Puts a value into the store and answers the pending watches.
  void put(const std::string &Key, const std::string &Value) {
    Store.put(Key, Value);
    for (auto &[Name, N] : Nodes)
      for (size_t Remaining = N.Watches.size(); Remaining > 0; --Remaining) {
        StoreCall Call = std::move(N.Watches.front());
        N.Watches.pop_front();
        perform(N, Call);
      }
  }
  void publishChange(const ConfigChange &Change) {
    put("indigopoint/change/" + std::to_string(Change.Version.value()),
        encodeChange(Change));
  }
  void run(Duration Length) {
    for (const TimePoint End = TimeSource.Now + Length; TimeSource.Now < End;)
      step(std::min(End, nextTick()));
  }

  ManualClock TimeSource;
  RandomSource Random;
  std::string Region = "lim";
  /// While true, every store call fails.
  bool StoreDown = false;
  std::map<std::string, Node> Nodes;
  std::function<void(Node &From, Endpoint To, const Message &)>
      OnExternalDatagram;
  /// Called for each datagram between instances; returns false to drop it.
  std::function<bool(Node &From, Node &To, const Message &)> OnDatagram;

private:
  struct DatagramInTransit {
    std::string To;
    DatagramReceived Datagram;
  };

  TimePoint nextTick() const {
    const auto Elapsed = TimeSource.Now.time_since_epoch();
    return TimeSource.Now + TickInterval - Elapsed % TickInterval;
  }
  void step(TimePoint End) {
    while (!DatagramsInTransit.empty() &&
           DatagramsInTransit.begin()->first <= End) {
      auto Arrival = DatagramsInTransit.extract(DatagramsInTransit.begin());
      TimeSource.Now = std::max(TimeSource.Now, Arrival.key());
      handle(node(Arrival.mapped().To), std::move(Arrival.mapped().Datagram));
    }
    TimeSource.Now = End;
    if (End.time_since_epoch() % TickInterval == Duration())
      for (auto &[Name, N] : Nodes)
        if (N.runs())
          handle(N, Tick{});
  }
  Node *nodeAt(Endpoint Address) {
    for (auto &[Name, N] : Nodes)
      if (N.Settings.Address == Address)
        return &N;
    return nullptr;
  }
  void perform(Node &From, SendDatagram &Out) {
    Node *To = nodeAt(Out.To);
    if (To == nullptr) {
      if (OnExternalDatagram)
        OnExternalDatagram(From, Out.To, Out.Body);
      return;
    }
    ++From.SentCounts[Out.Body.index()];
    const Link &L = link(From.Settings.Name, To->Settings.Name);
    if (L.Cut || Random.fraction() < L.DropProbability ||
        (OnDatagram && !OnDatagram(From, *To, Out.Body)))
      return;
    const Sender Origin{From.board().Self.Id, From.Settings.Boot};
    DatagramsInTransit.emplace(TimeSource.Now + L.Delay,
                               DatagramInTransit{To->Settings.Name,
                                                 {From.Settings.Address, Origin,
                                                  std::move(Out.Body)}});
  }
  void perform(Node &From, StoreCall &Call) {
    StoreAnswer Answer{Call.Id, {}};
    if (!StoreDown)
      Answer.Result = Store.answer(Call.Query);
    const bool IsWaiting =
        Answer.Result.ResultStatus == StoreResult::Status::Answered &&
        Call.Query.Wait > Duration() && Answer.Result.Items.empty();
    if (IsWaiting)
      From.Watches.push_back(std::move(Call));
    else
      handle(From, std::move(Answer));
  }
  void perform(Node &From, LogLine &Line) {
    From.Log.push_back(std::move(Line));
  }
  void perform(Node &From, StopProcess &Stop) { From.Stopped = Stop; }

  uint64_t RandomSeed;
  uint64_t BootCount = 0;
  uint16_t PortCount = 0;
  std::multimap<TimePoint, DatagramInTransit> DatagramsInTransit;
  std::map<std::pair<std::string, std::string>, Link> Links;
  ModelStore Store;
};

} // namespace indigopoint
