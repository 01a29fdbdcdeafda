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

constexpr std::chrono::seconds InstanceListPeriod(1);

// The engine ends a graceful shutdown at its time limit. After this margin the
// server stops even if the engine has not.
constexpr std::chrono::seconds StopMargin(1);

// An idle instance stops immediately. The delay lets it send the response to
// the drain call first.
constexpr std::chrono::milliseconds DrainCallDelay(50);

constexpr std::chrono::milliseconds MaxDrainLimit(3'600'000);

uint64_t wallClockMilliseconds() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

// Returns whether the message is sent only by callers and upstreams.
bool isExternalMessage(const Message &Body) {
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
        Platform(Loop, Settings.Platform, Settings.StorePrefix) {}

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
  void onDrainCall(const HttpRequest &DrainCall,
                   const HttpServer::Respond &Respond);
  void drain(Duration Limit);
  DropCounters drops() const;
  uint32_t unfinishedRequests() const;

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
  EngineSettings Options;
  Options.Name = Settings.Name;
  Options.Zone = Settings.Zone;
  Options.Region = Settings.Region;
  Options.Address = Socket.address();
  Options.BootTime = wallClockMilliseconds();
  Options.Boot = BootId(randomBits());
  Options.Seeds = Settings.Seeds;
  Options.StorePrefix = Settings.StorePrefix;
  Self = {instanceIdOf(Settings.Name), Options.Boot};
  const uint64_t Seed = Settings.Seed ? *Settings.Seed : randomBits();
  Random = RandomSource(Seed);
  Engine =
      std::make_unique<DecisionEngine>(std::move(Options), TimeSource, Seed);
  Health = std::make_unique<HealthPoller>(
      Loop, Engine->board(), Settings.HealthProbePeriod, Random.next(),
      [this](const HealthObserved &HealthResult) { handle(HealthResult); });
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
  if (Input.Origin.Instance == InstanceId() && !isExternalMessage(Input.Body)) {
    ++Drops.MissingSender;
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
  // The socket flushes datagrams after each batch that it receives. After any
  // other event they are flushed here.
  const bool FromSocket = std::holds_alternative<DatagramReceived>(Input);
  Sink.Actions.clear();
  TimeSource.refresh();
  Engine->handle(std::move(Input), Sink);
  for (const Action &Action : Sink.Actions)
    std::visit([this](const auto &Alternative) { perform(Alternative); },
               Action);
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
              [this](const HttpRequest &, const HttpServer::Respond &Respond) {
                Respond({200, statusReport(Engine->board(), drops(),
                                           Socket.counters())});
              });
  Admin.route(
      "POST", "/drain",
      [this](const HttpRequest &DrainCall, const HttpServer::Respond &Respond) {
        onDrainCall(DrainCall, Respond);
      });
}

void Server::Impl::onDrainCall(const HttpRequest &DrainCall,
                               const HttpServer::Respond &Respond) {
  uint32_t Milliseconds =
      static_cast<uint32_t>(Settings.DrainLimit.count() / 1000);
  const auto It = DrainCall.Query.find("limit_ms");
  if (It != DrainCall.Query.end()) {
    const char *End = It->second.data() + It->second.size();
    const auto ParseResult =
        std::from_chars(It->second.data(), End, Milliseconds);
    if (ParseResult.ec != std::errc() || ParseResult.ptr != End ||
        Milliseconds > MaxDrainLimit.count()) {
      Respond({400, "limit_ms is no number of milliseconds up to 3600000",
               "text/plain"});
      return;
    }
  }
  Respond({202, "{\"limit_ms\":" + std::to_string(Milliseconds) + "}"});
  const Duration Limit = std::chrono::milliseconds(Milliseconds);
  DrainTimer =
      LoopEvent::after(Loop, DrainCallDelay, [this, Limit] { drain(Limit); });
}

void Server::Impl::drain(Duration Limit) {
  logLine(LogLevel::Info, "server",
          "graceful shutdown started; limit_ms=" +
              std::to_string(Limit.count() / 1000));
  StopTimer = LoopEvent::after(Loop, Limit + StopMargin, [this] {
    OnStop({true, unfinishedRequests()});
  });
  handle(DrainRequested{Limit});
}

// The socket rejects oversized datagrams before they are decoded and counts
// them itself.
DropCounters Server::Impl::drops() const {
  DropCounters Total = Drops;
  Total.Oversized += Socket.counters().Oversized;
  return Total;
}

uint32_t Server::Impl::unfinishedRequests() const {
  const Blackboard &Board = Engine->board();
  return std::max(Board.RequestsInProgress, Board.DispatchesInProgress);
}

// Reads the instance list of the platform once a second, with a jitter that
// spreads the calls of the instances.
void Server::Impl::listInstances() {
  Platform.listInstances(
      [this](InstanceListObserved List) { handle(std::move(List)); });
  const Duration Period = InstanceListPeriod;
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

uint32_t Server::unfinishedRequests() const {
  return PImpl->unfinishedRequests();
}

} // namespace indigopoint
