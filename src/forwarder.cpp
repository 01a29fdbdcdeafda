#include "forwarder.h"

#include <optional>

#include <unistd.h>

#include "event_loop.h"
#include "flow_steering.h"
#include "forwarder_report.h"
#include "http_server.h"
#include "rotation_exit.h"
#include "steady_clock.h"
#include "steering_log.h"
#include "udp_endpoint.h"
#include "upstream_check.h"
#include "version.h"

namespace indigopoint {

namespace {

// Flushes the log and looks after what is due.
constexpr Duration MaintenancePeriod = std::chrono::milliseconds(250);
constexpr Duration SweepPeriod = std::chrono::seconds(1);

// How often a stopping instance looks whether it may end.
constexpr Duration QuietCheckPeriod = std::chrono::milliseconds(50);

// Packets that arrive while the first configuration is on its way wait this
// long. Clients repeat after 200 ms, and most give up after 500 ms.
constexpr Duration HoldTime = std::chrono::milliseconds(400);

// A scraper that sends or reads nothing for this long is cut off.
constexpr Duration ReportIdleTimeout = std::chrono::seconds(10);

} // namespace

struct Forwarder::State {
  State(EventLoop &Loop, ForwarderSettings Settings, ForwarderProtocol Protocol,
        StopHook OnStop);

  std::string start();
  std::string openReport();
  ForwarderView view() const;
  void logSilence(const FlowAddress &Flow, const Upstream &Silent);
  void check(const Upstream &Given);
  void onCheck(UpstreamId Id, bool IsAccepting);
  void startReceiving();
  void receive(std::string_view Datagram);
  void sendReset(const PacketHeader &Packet);
  void logDecision(const PacketHeader &Packet,
                   const SteeringDecision &Decision);
  void maintain();
  void stop();
  void finishStop();
  bool isReady() const {
    return !Exit && Routes.isLoaded() && Upstreams.isComplete();
  }
  EventLog::Fields beliefs() const;

  EventLoop &Loop;
  ForwarderSettings Settings;
  ForwarderProtocol Protocol;
  StopHook OnStop;
  EventClock Time;
  EventLog Log;
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  SteeringMetrics Metrics;
  FlowSteering Steering;
  StoreBeliefs Beliefs;
  StoreFollower Follower;
  UpstreamCheck Checks;
  UdpEndpoint Data;
  HttpServer Ready;
  HttpServer Report;
  LoopEvent MaintenanceTimer;
  LoopEvent StopTimer;
  LoopEvent HoldTimer;
  bool Receiving = false;
  uint64_t NotPackets = 0;
  TimePoint SweptAt{};
  TimePoint LastPacket{};
  std::optional<RotationExit> Exit;
};

Forwarder::State::State(EventLoop &Loop, ForwarderSettings Settings,
                        ForwarderProtocol Protocol, StopHook OnStop)
    : Loop(Loop), Settings(std::move(Settings)), Protocol(std::move(Protocol)),
      OnStop(std::move(OnStop)),
      Log({this->Settings.Name, this->Settings.LogLinesPerSecond}, Time),
      Steering({this->Settings.Zone, leastFlowsZoneFirst(this->Settings.Zone)},
               Time, Routes, Upstreams, Metrics,
               {[this](const FlowAddress &Flow, const Upstream &Silent) {
                  logSilence(Flow, Silent);
                },
                [this](const Upstream &Given) { check(Given); }}),
      Beliefs(this->Protocol.DecodeFact, Time, Log, Routes, Upstreams),
      Follower(Loop, this->Settings, this->Protocol.Store, Time, Log,
               [this](const StoreSync::Update &Update) {
                 Beliefs.apply(Update);
                 startReceiving();
               }),
      Checks(Loop, [this](UpstreamId Id,
                          bool IsAccepting) { onCheck(Id, IsAccepting); }),
      Data(this->Protocol.MaxPacketBytes), Ready(Loop),
      Report(Loop, ReportIdleTimeout) {}

std::string Forwarder::State::start() {
  Time.refresh();
  const auto OnReceive = [this](Endpoint, std::string_view Datagram) {
    receive(Datagram);
  };
  if (const auto Error = Data.open(Loop, Settings.DataAddress, OnReceive))
    return "cannot bind " + toString(Settings.DataAddress) + ": " +
           Error.message() + "; free this address or change /dataAddress";
  Data.setReceiving(false);
  HoldTimer =
      LoopEvent::after(Loop, HoldTime, [this] { Data.setReceiving(true); });
  if (const auto Error = Ready.open(Settings.ReadyAddress))
    return "cannot listen on " + toString(Settings.ReadyAddress) + ": " +
           Error.message() + "; free this address or change /readyAddress";
  Ready.route("GET", Protocol.ReadyPath,
              [this](const HttpRequest &, const HttpServer::Respond &Answer) {
                Answer({isReady() ? 200 : 503, "{}"});
              });
  if (std::string Problem = openReport(); !Problem.empty())
    return Problem;
  Log.write(LogEvent::Started, [this] {
    return EventLog::Fields{{"version", Version},
                            {"zone", Settings.Zone},
                            {"dataAddress", toString(Settings.DataAddress)},
                            {"store", toString(Settings.Store)},
                            {"peerAddress", toString(Settings.PeerAddress)},
                            {"process", getpid()}};
  });
  if (std::string Problem = Follower.start(); !Problem.empty())
    return Problem;
  MaintenanceTimer =
      LoopEvent::every(Loop, MaintenancePeriod, [this] { maintain(); });
  return {};
}

std::string Forwarder::State::openReport() {
  if (Settings.MetricsAddress.Port == 0)
    return {};
  Report.route(
      "GET", "/metrics",
      [this](const HttpRequest &, const HttpServer::Respond &Answer) {
        Time.refresh();
        Answer({200, metricsText(view()), "text/plain; version=0.0.4"});
      });
  Report.route("GET", "/status",
               [this](const HttpRequest &, const HttpServer::Respond &Answer) {
                 Time.refresh();
                 Answer({200, forwarderStatus(view())});
               });
  if (const auto Error = Report.open(Settings.MetricsAddress))
    return "cannot listen on " + toString(Settings.MetricsAddress) + ": " +
           Error.message() + "; free this address or change /metricsAddress";
  return {};
}

ForwarderView Forwarder::State::view() const {
  return {Metrics, Routes,           Upstreams,  Follower,
          Log,     Steering.flows(), NotPackets, isReady()};
}

void Forwarder::State::logSilence(const FlowAddress &Flow,
                                  const Upstream &Silent) {
  Log.write(LogEvent::UpstreamSilent, [&] {
    const UpstreamRegistration &Said = Silent.Registration;
    EventLog::Fields Line = {{"flow", toString(Flow)},
                             {"upstream", toHex(Said.Id)},
                             {"service", Said.Service},
                             {"zone", Said.Zone},
                             {"state", nameOf(Silent.State)}};
    Line.update(beliefs());
    return Line;
  });
}

void Forwarder::State::check(const Upstream &Given) {
  if (const Upstream *Control = Upstreams.lastAnswering(Given))
    Checks.start(Given, *Control);
}

void Forwarder::State::onCheck(UpstreamId Id, bool IsAccepting) {
  Time.refresh();
  Steering.noteCheck(Id, IsAccepting);
  Log.write(LogEvent::UpstreamChecked, [&] {
    const Upstream *Checked = Upstreams.find(Id);
    EventLog::Fields Line = {
        {"upstream", toHex(Id)},
        {"accepting", IsAccepting},
        {"dead", Checked != nullptr && Checked->Reach.isDead(Time.now())}};
    Line.update(beliefs());
    return Line;
  });
}

void Forwarder::State::startReceiving() {
  if (Receiving || !Routes.isLoaded())
    return;
  Receiving = true;
  HoldTimer = LoopEvent();
  Data.setReceiving(true);
}

void Forwarder::State::receive(std::string_view Datagram) {
  Time.refresh();
  PacketHeader Packet;
  if (!Protocol.DecodePacket(Datagram, Packet)) {
    ++NotPackets;
    return;
  }
  LastPacket = Time.now();
  const SteeringDecision Decision = Steering.steer(Packet);
  if (Decision.Action == SteeringAction::Forward) {
    const UpstreamRegistration &To = Decision.To->Registration;
    Protocol.EncodeForward(Datagram, To.Id, tagOf(Packet.Flow, To.Id),
                           Data.nextBuffer());
    Data.commit(To.Address);
  } else if (Decision.Action == SteeringAction::Reset) {
    sendReset(Packet);
  }
  logDecision(Packet, Decision);
}

// Clients are reached at the port that this process receives at.
void Forwarder::State::sendReset(const PacketHeader &Packet) {
  Protocol.EncodeReset(Packet, Data.nextBuffer());
  Data.commit({Packet.Flow.Client.Address, Settings.DataAddress.Port});
}

EventLog::Fields Forwarder::State::beliefs() const {
  EventLog::Fields Out = {{"configuration", Routes.version().value()}};
  Out.update(Follower.beliefs());
  return Out;
}

void Forwarder::State::logDecision(const PacketHeader &Packet,
                                   const SteeringDecision &Decision) {
  const auto Event = logEventOf(Decision);
  if (!Event)
    return;
  Log.write(*Event, [&] {
    EventLog::Fields Line = describe(Packet, Decision);
    Line.update(beliefs());
    return Line;
  });
}

void Forwarder::State::maintain() {
  Time.refresh();
  Upstreams.noteConfirmed(Follower.sync().confirmedAt());
  if (Time.now() - SweptAt >= SweepPeriod) {
    SweptAt = Time.now();
    Steering.sweep();
  }
  writePending(Log, STDOUT_FILENO);
}

void Forwarder::State::stop() {
  Time.refresh();
  if (Exit)
    return;
  Exit.emplace(Time.now(), Settings.StopLimit);
  Log.write(LogEvent::Stopping, [this] {
    return EventLog::Fields{{"flows", Steering.flows()}};
  });
  StopTimer =
      LoopEvent::every(Loop, QuietCheckPeriod, [this] { finishStop(); });
}

void Forwarder::State::finishStop() {
  Time.refresh();
  if (!Exit->mayEnd(LastPacket, Time.now()))
    return;
  const bool Quiet = Exit->isQuiet(LastPacket, Time.now());
  Log.write(LogEvent::Stopped, [&] {
    return EventLog::Fields{{"flows", Steering.flows()}, {"quiet", Quiet}};
  });
  writePending(Log, STDOUT_FILENO);
  OnStop();
}

Forwarder::Forwarder(EventLoop &Loop, ForwarderSettings Settings,
                     ForwarderProtocol Protocol, StopHook OnStop)
    : S(std::make_unique<State>(Loop, std::move(Settings), std::move(Protocol),
                                std::move(OnStop))) {}

Forwarder::~Forwarder() = default;

std::string Forwarder::start() { return S->start(); }

void Forwarder::reload(const ForwarderSettings &Settings) {
  S->Time.refresh();
  S->Log.write(LogEvent::SettingsReloaded, [&] {
    return EventLog::Fields{{"changed", Settings != S->Settings},
                            {"store", toString(Settings.Store)}};
  });
  // The sockets stay bound, and a reset is sent from their port.
  const Endpoint Bound = S->Settings.DataAddress;
  S->Settings = Settings;
  S->Follower.reload(Settings);
  S->Settings.DataAddress = Bound;
}

void Forwarder::refuseSettings(const std::string &Reason) {
  S->Time.refresh();
  S->Log.write(LogEvent::SettingsRefused, [&] {
    return EventLog::Fields{{"reason", Reason}};
  });
}

void Forwarder::stop() { S->stop(); }

} // namespace indigopoint
