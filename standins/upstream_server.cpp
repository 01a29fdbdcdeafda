#include "upstream_server.h"

#include <algorithm>

#include "echo.h"
#include "wire_codec.h"

namespace indigopoint::standin {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds HealthSamplePeriod(50);
constexpr size_t HealthSamplesKept = 400;

} // namespace

UpstreamServer::UpstreamServer(TimerLoop &Loop, UpstreamSettings Settings,
                               uint64_t Seed)
    : Loop(Loop), Settings(std::move(Settings)), StartedAt(Loop.now()),
      Random(Seed), Socket(Loop, [this](Endpoint From, std::string_view Bytes) {
        onDatagram(From, Bytes);
      }) {
  Loop.every(HealthSamplePeriod, [this] {
    if (HealthHistory.size() == HealthSamplesKept)
      HealthHistory.erase(HealthHistory.begin());
    HealthHistory.push_back({this->Loop.now(), currentHealth()});
  });
}

void UpstreamServer::onDatagram(Endpoint From, std::string_view Bytes) {
  Sender Origin;
  Message Body;
  if (decodeDatagram(Bytes, Origin, Body)) {
    Record.countOtherMessage("undecodable");
    return;
  }
  std::visit(
      [&](auto &TypedMessage) {
        if constexpr (requires { handle(From, std::move(TypedMessage)); }) {
          if (SilencedConnections.count(TypedMessage.Connection) > 0)
            Record.countOtherMessage("silent");
          else
            handle(From, std::move(TypedMessage));
        } else
          Record.countOtherMessage("unexpected");
      },
      Body);
}

DispatchStatus UpstreamServer::admission(const Dispatch &Message) {
  const bool Known = Connections.count(Message.Connection) > 0;
  if (Behaviour.DrainingSince) {
    const Duration SinceDrainStart = Loop.now() - *Behaviour.DrainingSince;
    Record.recordArrivalInDrain(SinceDrainStart);
    if (!Known || SinceDrainStart > Settings.DrainGrace)
      return DispatchStatus::Draining;
  }
  const size_t Capacity = Settings.Slots + Settings.Backlog;
  const bool Full = Requests.size() >= Capacity ||
                    (!Known && Connections.size() >= Settings.Connections);
  if (Full || Random.below(100) < Behaviour.ShedPercent)
    return DispatchStatus::Shed;
  return DispatchStatus::Done;
}

void UpstreamServer::handle(Endpoint From, Dispatch Message) {
  Record.countArrival(Message, Settings.Service);
  const DispatchStatus Status = admission(Message);
  if (Status != DispatchStatus::Done) {
    answer(From, Message, Status, "");
    return;
  }
  Connections.insert(Message.Connection);
  const TimePoint Deadline = Loop.now() + Message.Deadline;
  Requests.push_back({From, std::move(Message), Deadline});
  Record.recordInProgress(Requests.size());
  startQueuedRequests();
}

void UpstreamServer::startQueuedRequests() {
  for (auto It = Requests.begin();
       It != Requests.end() && Running < Settings.Slots;) {
    const auto Next = It++;
    if (Next->Running)
      continue;
    const TimePoint Now = Loop.now();
    if (Next->Deadline <= Now) {
      answer(Next->From, Next->Message, DispatchStatus::Expired, "");
      Requests.erase(Next);
      continue;
    }
    Next->Running = true;
    ++Running;
    Record.countRun(Next->Message);
    Loop.after(drawServiceTime(Settings, Now - StartedAt, Random),
               [this, Next] { finish(Next); });
  }
}

void UpstreamServer::finish(std::list<PendingRequest>::iterator It) {
  const Dispatch &Message = It->Message;
  answer(It->From, Message, DispatchStatus::Done,
         encodeEcho(
             {Message.Flow, Message.Request, Settings.Service, Settings.Name},
             Message.Payload));
  Requests.erase(It);
  --Running;
  startQueuedRequests();
}

// A running request cannot be cancelled; it is answered when it ends.
void UpstreamServer::handle(Endpoint From, const CancelDispatch &Message) {
  const auto It = std::find_if(
      Requests.begin(), Requests.end(), [&](const PendingRequest &Candidate) {
        return !Candidate.Running && Candidate.From == From &&
               Candidate.Message.Id == Message.Id &&
               Candidate.Message.Connection == Message.Connection;
      });
  if (It == Requests.end())
    return;
  answer(From, It->Message, DispatchStatus::Cancelled, "");
  Requests.erase(It);
}

void UpstreamServer::handle(Endpoint From, const Ping &Message) {
  Record.countOtherMessage("ping");
  send(From, Pong{Message.Connection});
}

void UpstreamServer::handle(Endpoint, const CloseConnection &Message) {
  Connections.erase(Message.Connection);
}

void UpstreamServer::answer(Endpoint To, const Dispatch &Message,
                            DispatchStatus Status, std::string Payload) {
  Record.countResult(Status);
  if (SilencedConnections.count(Message.Connection) == 0)
    send(To, DispatchResult{Message.Connection, Message.Id, Status,
                            std::move(Payload)});
}

void UpstreamServer::send(Endpoint To, const Message &Body) {
  std::string Bytes;
  if (encodeDatagram(Sender(), Body, Bytes))
    Record.countOtherMessage("unsent");
  else
    Socket.send(To, Bytes);
}

Json UpstreamServer::currentHealth() const {
  const double Load = static_cast<double>(Requests.size()) /
                      static_cast<double>(Settings.Slots);
  return {{"status", Behaviour.DrainingSince ? "draining" : "healthy"},
          {"load", Load}};
}

Json UpstreamServer::health() {
  const TimePoint SampleTime = Loop.now() - Behaviour.HealthLag;
  Json Answer = currentHealth();
  if (Behaviour.HealthLag.count() > 0 && !HealthHistory.empty()) {
    const auto It = std::find_if(HealthHistory.rbegin(), HealthHistory.rend(),
                                 [SampleTime](const HealthSample &Sample) {
                                   return Sample.Since <= SampleTime;
                                 });
    Answer =
        It == HealthHistory.rend() ? HealthHistory.front().Value : It->Value;
  }
  if (!Behaviour.FalseHealthStatus.empty())
    Answer["status"] = Behaviour.FalseHealthStatus;
  return Answer;
}

Json UpstreamServer::stats() const {
  Json Answer = Record.toJson();
  Answer["name"] = Settings.Name;
  Answer["service"] = Settings.Service.value();
  Answer["connections"] = Connections.size();
  Answer["inProgress"] = Requests.size();
  return Answer;
}

ConnectionId UpstreamServer::silence(const Json &Connection) {
  ConnectionId Chosen;
  if (Connection.is_number())
    Chosen = ConnectionId(Connection.get<uint64_t>());
  else if (!Connections.empty())
    Chosen = *std::next(
        Connections.begin(),
        static_cast<std::ptrdiff_t>(Random.below(Connections.size())));
  SilencedConnections.insert(Chosen);
  return Chosen;
}

Json UpstreamServer::control(const Json &Command) {
  Json Answer = Json::object();
  for (const auto &[Name, Value] : Command.items()) {
    if (Name == "draining") {
      Behaviour.DrainingSince.reset();
      if (Value.get<bool>())
        Behaviour.DrainingSince = Loop.now();
    } else if (Name == "silent_connection")
      Answer["connection"] = silence(Value).value();
    else if (Name == "health_lies")
      Behaviour.FalseHealthStatus = Value.get<std::string>();
    else if (Name == "health_lag_ms")
      Behaviour.HealthLag = std::chrono::milliseconds(Value.get<uint64_t>());
    else if (Name == "shed_percent")
      Behaviour.ShedPercent = Value.get<uint32_t>();
    else if (Name == "crash" && Value.get<bool>())
      std::_Exit(1);
    else
      throw std::invalid_argument("unknown command " + Name);
  }
  return Answer;
}

} // namespace indigopoint::standin
