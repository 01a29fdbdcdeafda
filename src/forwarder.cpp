#include "forwarder.h"

#include <optional>

#include <unistd.h>

#include "drain_monitor.h"
#include "event_loop.h"
#include "flow_steering.h"
#include "forwarder_report.h"
#include "http_server.h"
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

struct Forwarder::Impl {
  Impl(EventLoop &Loop, ForwarderSettings Settings, ForwarderProtocol Protocol,
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
  EventLog::Fields storeStateFields() const;

  EventLoop &Loop;
  ForwarderSettings Settings;
  ForwarderProtocol Protocol;
  StopHook OnStop;
  EventClock TimeSource;
  EventLog Log;
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  SteeringMetrics Metrics;
  FlowSteering Steering;
  StoreUpdateApplier Beliefs;
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
  std::optional<DrainMonitor> Exit;
};

Forwarder::Impl::Impl(EventLoop &Loop, ForwarderSettings Settings,
                      ForwarderProtocol Protocol, StopHook OnStop)
    : Loop(Loop), Settings(std::move(Settings)), Protocol(std::move(Protocol)),
      OnStop(std::move(OnStop)),
      Log({this->Settings.Name, this->Settings.LogLinesPerSecond}, TimeSource),
      Steering({this->Settings.Zone,
                makeZoneAwareLeastFlowsPolicy(this->Settings.Zone)},
               TimeSource, Routes, Upstreams, Metrics,
               {[this](const FlowAddress &Flow, const Upstream &Silent) {
                  logSilence(Flow, Silent);
                },
                [this](const Upstream &Given) { check(Given); }}),
      Beliefs(this->Protocol.DecodeItem, TimeSource, Log, Routes, Upstreams),
      Follower(Loop, this->Settings, this->Protocol.Store, TimeSource, Log,
               [this](const StoreSync::Update &Update) {
                 Beliefs.apply(Update);
                 startReceiving();
               }),
      Checks(Loop, [this](UpstreamId Id,
                          bool IsAccepting) { onCheck(Id, IsAccepting); }),
      Data(this->Protocol.MaxPacketBytes), Ready(Loop),
      Report(Loop, ReportIdleTimeout) {}

std::string Forwarder::Impl::start() {
  TimeSource.refresh();
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

std::string Forwarder::Impl::openReport() {
  if (Settings.MetricsAddress.Port == 0)
    return {};
  Report.route(
      "GET", "/metrics",
      [this](const HttpRequest &, const HttpServer::Respond &Answer) {
        TimeSource.refresh();
        Answer({200, metricsText(view()), "text/plain; version=0.0.4"});
      });
  Report.route("GET", "/status",
               [this](const HttpRequest &, const HttpServer::Respond &Answer) {
                 TimeSource.refresh();
                 Answer({200, forwarderStatus(view())});
               });
  if (const auto Error = Report.open(Settings.MetricsAddress))
    return "cannot listen on " + toString(Settings.MetricsAddress) + ": " +
           Error.message() + "; free this address or change /metricsAddress";
  return {};
}

ForwarderView Forwarder::Impl::view() const {
  return {Metrics, Routes,           Upstreams,  Follower,
          Log,     Steering.flows(), NotPackets, isReady()};
}

void Forwarder::Impl::logSilence(const FlowAddress &Flow,
                                 const Upstream &Silent) {
  Log.write(LogEvent::UpstreamSilent, [&] {
    const UpstreamRegistration &Said = Silent.Registration;
    EventLog::Fields Line = {{"flow", toString(Flow)},
                             {"upstream", toHex(Said.Id)},
                             {"service", Said.Service},
                             {"zone", Said.Zone},
                             {"state", nameOf(Silent.State)}};
    Line.update(storeStateFields());
    return Line;
  });
}

void Forwarder::Impl::check(const Upstream &Given) {
  if (const Upstream *Control = Upstreams.mostRecentlyAnswering(Given))
    Checks.start(Given, *Control);
}

void Forwarder::Impl::onCheck(UpstreamId Id, bool IsAccepting) {
  TimeSource.refresh();
  Steering.recordCheckResult(Id, IsAccepting);
  Log.write(LogEvent::UpstreamChecked, [&] {
    const Upstream *Checked = Upstreams.find(Id);
    EventLog::Fields Line = {
        {"upstream", toHex(Id)},
        {"accepting", IsAccepting},
        {"dead",
         Checked != nullptr && Checked->Reachability.isDead(TimeSource.now())}};
    Line.update(storeStateFields());
    return Line;
  });
}

void Forwarder::Impl::startReceiving() {
  if (Receiving || !Routes.isLoaded())
    return;
  Receiving = true;
  HoldTimer = LoopEvent();
  Data.setReceiving(true);
}

void Forwarder::Impl::receive(std::string_view Datagram) {
  TimeSource.refresh();
  PacketHeader Packet;
  if (!Protocol.DecodePacket(Datagram, Packet)) {
    ++NotPackets;
    return;
  }
  LastPacket = TimeSource.now();
  const SteeringDecision Decision = Steering.steer(Packet);
  if (Decision.Action == SteeringAction::Forward) {
    const UpstreamRegistration &To = Decision.Target->Registration;
    Protocol.EncodeForward(Datagram, To.Id, tagOf(Packet.Flow, To.Id),
                           Data.nextBuffer());
    Data.commit(To.Address);
  } else if (Decision.Action == SteeringAction::Reset) {
    sendReset(Packet);
  }
  logDecision(Packet, Decision);
}

// Clients are reached at the port that this process receives at.
void Forwarder::Impl::sendReset(const PacketHeader &Packet) {
  Protocol.EncodeReset(Packet, Data.nextBuffer());
  Data.commit({Packet.Flow.Client.Address, Settings.DataAddress.Port});
}

EventLog::Fields Forwarder::Impl::storeStateFields() const {
  EventLog::Fields Out = {{"configuration", Routes.version().value()}};
  Out.update(Follower.storeStateFields());
  return Out;
}

void Forwarder::Impl::logDecision(const PacketHeader &Packet,
                                  const SteeringDecision &Decision) {
  const auto Event = logEventOf(Decision);
  if (!Event)
    return;
  Log.write(*Event, [&] {
    EventLog::Fields Line = describe(Packet, Decision);
    Line.update(storeStateFields());
    return Line;
  });
}

void Forwarder::Impl::maintain() {
  TimeSource.refresh();
  Upstreams.recordStoreSync(Follower.sync().confirmedAt());
  if (TimeSource.now() - SweptAt >= SweepPeriod) {
    SweptAt = TimeSource.now();
    Steering.sweep();
  }
  writePending(Log, STDOUT_FILENO);
}

void Forwarder::Impl::stop() {
  TimeSource.refresh();
  if (Exit)
    return;
  Exit.emplace(TimeSource.now(), Settings.StopLimit);
  Log.write(LogEvent::Stopping, [this] {
    return EventLog::Fields{{"flows", Steering.flows()}};
  });
  StopTimer =
      LoopEvent::every(Loop, QuietCheckPeriod, [this] { finishStop(); });
}

void Forwarder::Impl::finishStop() {
  TimeSource.refresh();
  if (!Exit->isDrainComplete(LastPacket, TimeSource.now()))
    return;
  const bool Quiet = Exit->hasTrafficStopped(LastPacket, TimeSource.now());
  Log.write(LogEvent::Stopped, [&] {
    return EventLog::Fields{{"flows", Steering.flows()}, {"quiet", Quiet}};
  });
  writePending(Log, STDOUT_FILENO);
  OnStop();
}

Forwarder::Forwarder(EventLoop &Loop, ForwarderSettings Settings,
                     ForwarderProtocol Protocol, StopHook OnStop)
    : PImpl(std::make_unique<Impl>(Loop, std::move(Settings),
                                   std::move(Protocol), std::move(OnStop))) {}

Forwarder::~Forwarder() = default;

std::string Forwarder::start() { return PImpl->start(); }

void Forwarder::reload(const ForwarderSettings &Settings) {
  PImpl->TimeSource.refresh();
  PImpl->Log.write(LogEvent::SettingsReloaded, [&] {
    return EventLog::Fields{{"changed", Settings != PImpl->Settings},
                            {"store", toString(Settings.Store)}};
  });
  // The sockets stay bound, and a reset is sent from their port.
  const Endpoint Bound = PImpl->Settings.DataAddress;
  PImpl->Settings = Settings;
  PImpl->Follower.reload(Settings);
  PImpl->Settings.DataAddress = Bound;
}

void Forwarder::logRejectedSettings(const std::string &Reason) {
  PImpl->TimeSource.refresh();
  PImpl->Log.write(LogEvent::SettingsRefused, [&] {
    return EventLog::Fields{{"reason", Reason}};
  });
}

void Forwarder::stop() { PImpl->stop(); }

} // namespace indigopoint
