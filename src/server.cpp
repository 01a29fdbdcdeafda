#include "server.h"

#include <charconv>
#include <chrono>

#include "event_loop.h"
#include "health_poller.h"
#include "http_server.h"
#include "overloaded.h"
#include "platform_client.h"
#include "random_source.h"
#include "status_report.h"
#include "steady_clock.h"
#include "udp_endpoint.h"

namespace indigopoint {

namespace {

constexpr std::chrono::seconds ListPeriod(1);

// The engine ends a planned stop at its limit. The margin covers an engine
// that does not.
constexpr std::chrono::seconds StopMargin(1);

// An instance without work stops at once; its answer to the drain call has to
// leave first.
constexpr std::chrono::milliseconds AnswerTime(50);

constexpr std::chrono::milliseconds MaxDrainLimit(3'600'000);

uint64_t wallClockMilliseconds() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

// Whether only callers and upstreams send the message.
bool comesFromOutside(const Message &Body) {
  return std::holds_alternative<Request>(Body) ||
         std::holds_alternative<Cancel>(Body) ||
         std::holds_alternative<CloseFlow>(Body) ||
         std::holds_alternative<DispatchResult>(Body) ||
         std::holds_alternative<Pong>(Body);
}

} // namespace

struct Server::Impl {
  Impl(EventLoop &Loop, const ProcessSettings &Settings, StopHook OnStop)
      : Loop(Loop), Settings(Settings), OnStop(std::move(OnStop)), Admin(Loop),
        Platform(Loop, Settings.Platform) {}

  std::string start();
  void startEngine();
  void startTimers();
  void receive(Endpoint From, std::string_view Bytes);
  void countDrop(std::error_code Error);
  void handle(Event Input);
  void perform(const SendDatagram &Action);
  void perform(const StoreCall &Action);
  void perform(const LogLine &Action);
  void perform(const StopProcess &Action);
  void listInstances();
  void addRoutes();
  void onDrainCall(const HttpRequest &Asked, const HttpServer::Respond &Answer);
  void drain(Duration Limit);
  DropCounters drops() const;
  uint32_t unfinished() const;

  EventLoop &Loop;
  ProcessSettings Settings;
  StopHook OnStop;
  EventClock TimeSource;
  RandomSource Random{0};
  Sender Self;
  UdpEndpoint Socket{MaxDatagramBytes};
  HttpServer Admin;
  PlatformClient Platform;
  std::unique_ptr<DecisionEngine> Engine;
  std::unique_ptr<HealthPoller> Health;
  ActionSink Sink;
  DropCounters Drops;
  LoopEvent TickTimer;
  LoopEvent ListTimer;
  LoopEvent DrainTimer;
  LoopEvent StopTimer;
};

std::string Server::Impl::start() {
  const auto OnReceive = [this](Endpoint From, std::string_view Bytes) {
    receive(From, Bytes);
  };
  if (const auto Error = Socket.open(Loop, Settings.Address, OnReceive))
    return "cannot bind " + toString(Settings.Address) + ": " +
           Error.message() + "; free this address or change /address";
  if (const auto Error = Admin.open(Settings.AdminAddress))
    return "cannot listen on " + toString(Settings.AdminAddress) + ": " +
           Error.message() + "; free this address or change /adminAddress";
  startEngine();
  addRoutes();
  startTimers();
  return {};
}

void Server::Impl::startEngine() {
  EngineSettings Given;
  Given.Name = Settings.Name;
  Given.Zone = Settings.Zone;
  Given.Region = Settings.Region;
  Given.Address = Socket.address();
  Given.BootTime = wallClockMilliseconds();
  Given.Boot = BootId(randomBits());
  Given.Seeds = Settings.Seeds;
  Given.StorePrefix = Settings.StorePrefix;
  Self = {instanceIdOf(Settings.Name), Given.Boot};
  const uint64_t Seed = Settings.Seed ? *Settings.Seed : randomBits();
  Random = RandomSource(Seed);
  Engine = std::make_unique<DecisionEngine>(std::move(Given), TimeSource, Seed);
  Health = std::make_unique<HealthPoller>(
      Loop, Engine->board(), Settings.HealthProbePeriod, Random.next(),
      [this](const HealthObserved &Observed) { handle(Observed); });
}

void Server::Impl::startTimers() {
  TickTimer = LoopEvent::every(Loop, TickInterval, [this] { handle(Tick()); });
  if (Settings.Platform.Port != 0)
    listInstances();
}

void Server::Impl::receive(Endpoint From, std::string_view Bytes) {
  DatagramReceived Input;
  Input.From = From;
  if (const auto Error = decodeDatagram(Bytes, Input.Origin, Input.Body)) {
    countDrop(Error);
    return;
  }
  if (Input.Origin.Instance == InstanceId() && !comesFromOutside(Input.Body)) {
    ++Drops.UnknownPeer;
    return;
  }
  handle(std::move(Input));
}

void Server::Impl::countDrop(std::error_code Error) {
  switch (static_cast<WireError>(Error.value())) {
  case WireError::Truncated:
    ++Drops.Truncated;
    break;
  case WireError::Oversized:
    ++Drops.Oversized;
    break;
  case WireError::WrongVersion:
    ++Drops.WrongVersion;
    break;
  case WireError::UnknownKind:
    ++Drops.UnknownKind;
    break;
  case WireError::Malformed:
    ++Drops.Malformed;
    break;
  }
}

void Server::Impl::handle(Event Input) {
  // Datagrams are flushed by the socket after each batch it receives, and here
  // after everything else.
  const bool FromSocket = std::holds_alternative<DatagramReceived>(Input);
  Sink.Actions.clear();
  TimeSource.refresh();
  Engine->handle(std::move(Input), Sink);
  for (const Action &Each : Sink.Actions)
    std::visit([this](const auto &Given) { perform(Given); }, Each);
  if (!FromSocket)
    Socket.flush();
}

void Server::Impl::perform(const SendDatagram &Action) {
  const std::error_code Error =
      encodeDatagram(Self, Action.Body, Socket.nextBuffer());
  if (!Error)
    Socket.commit(Action.To);
  else
    logLine(LogLevel::Warning, "server",
            "cannot send a datagram; reason=\"" + Error.message() +
                "\" to=" + toString(Action.To));
}

void Server::Impl::perform(const StoreCall &Action) {
  Platform.call(Action,
                [this](StoreAnswer Answer) { handle(std::move(Answer)); });
}

void Server::Impl::perform(const LogLine &Action) {
  logLine(Action.Level, Action.Component, Action.Text);
}

void Server::Impl::perform(const StopProcess &Action) {
  OnStop({false, Action.Unfinished});
}

void Server::Impl::addRoutes() {
  Admin.route("GET", "/status",
              [this](const HttpRequest &, const HttpServer::Respond &Answer) {
                Answer({200, statusReport(Engine->board(), drops(),
                                          Socket.counters())});
              });
  Admin.route(
      "POST", "/drain",
      [this](const HttpRequest &Asked, const HttpServer::Respond &Answer) {
        onDrainCall(Asked, Answer);
      });
}

void Server::Impl::onDrainCall(const HttpRequest &Asked,
                               const HttpServer::Respond &Answer) {
  uint32_t Milliseconds =
      static_cast<uint32_t>(Settings.DrainLimit.count() / 1000);
  const auto Given = Asked.Query.find("limit_ms");
  if (Given != Asked.Query.end()) {
    const char *End = Given->second.data() + Given->second.size();
    const auto Read = std::from_chars(Given->second.data(), End, Milliseconds);
    if (Read.ec != std::errc() || Read.ptr != End ||
        Milliseconds > MaxDrainLimit.count()) {
      Answer({400, "limit_ms is no number of milliseconds up to 3600000",
              "text/plain"});
      return;
    }
  }
  Answer({202, "{\"limit_ms\":" + std::to_string(Milliseconds) + "}"});
  const Duration Limit = std::chrono::milliseconds(Milliseconds);
  DrainTimer =
      LoopEvent::after(Loop, AnswerTime, [this, Limit] { drain(Limit); });
}

void Server::Impl::drain(Duration Limit) {
  logLine(LogLevel::Info, "server",
          "planned stop started; limit_ms=" +
              std::to_string(Limit.count() / 1000));
  StopTimer = LoopEvent::after(Loop, Limit + StopMargin, [this] {
    OnStop({true, unfinished()});
  });
  handle(DrainRequested{Limit});
}

// The socket refuses oversized datagrams before they are decoded.
DropCounters Server::Impl::drops() const {
  DropCounters All = Drops;
  All.Oversized += Socket.counters().Oversized;
  return All;
}

uint32_t Server::Impl::unfinished() const {
  const Blackboard &Board = Engine->board();
  return std::max(Board.RequestsInProgress, Board.DispatchesInProgress);
}

// The platform's list is read once a second, at a time that differs between
// instances.
void Server::Impl::listInstances() {
  Platform.listInstances(
      [this](InstanceListObserved List) { handle(std::move(List)); });
  const Duration Period = ListPeriod;
  ListTimer = LoopEvent::after(
      Loop, Period * 9 / 10 + Duration(Random.below(Period.count() / 5)),
      [this] { listInstances(); });
}

Server::Server(EventLoop &Loop, const ProcessSettings &Settings,
               StopHook OnStop)
    : PImpl(std::make_unique<Impl>(Loop, Settings, std::move(OnStop))) {}

Server::~Server() = default;

std::string Server::start() { return PImpl->start(); }

Endpoint Server::address() const { return PImpl->Socket.address(); }

Endpoint Server::adminAddress() const { return PImpl->Admin.address(); }

DropCounters Server::drops() const { return PImpl->drops(); }

void Server::drain(Duration Limit) { PImpl->drain(Limit); }

uint32_t Server::unfinished() const { return PImpl->unfinished(); }

} // namespace indigopoint
