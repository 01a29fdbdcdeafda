#include "forwarder.h"

#include <optional>

#include <unistd.h>

#include "drain_monitor.h"
#include "event_loop.h"
#include "flow_steering.h"
#include "forwarder_log.h"
#include "forwarder_report_server.h"
#include "http_server.h"
#include "packet_path.h"
#include "pause_guard.h"
#include "peer_reporter.h"
#include "steady_clock.h"
#include "upstream_check.h"
#include "version.h"

namespace indigopoint {

namespace {

// How often the log is flushed and the last store sync is recorded.
constexpr Duration MaintenancePeriod = std::chrono::milliseconds(250);
constexpr Duration ExpiryPeriod = std::chrono::seconds(1);

// How often a draining instance checks whether it may stop.
constexpr Duration DrainCheckPeriod = std::chrono::milliseconds(50);

// Reports carry about 100 placements in the second in which a stopping instance
// still gets packets.
constexpr size_t MaxPlacementsAtStop = 100;

// The store removes the registration of an upstream that did not renew it for
// three periods, and needs some time to notice.
constexpr int PeriodsUntilRemoval = 3;
constexpr Duration RemovalDelay = std::chrono::seconds(1);

Duration registrationLifetime(const ForwarderSettings &Settings) {
  return Settings.RegistrationPeriod * PeriodsUntilRemoval + RemovalDelay;
}

} // namespace

struct Forwarder::Impl {
  Impl(EventLoop &Loop, ForwarderSettings Settings, ForwarderProtocol Protocol,
       StopHook OnStop);

  std::string start();
  ForwarderView view();
  void startCheck(const Upstream &Suspect);
  void onCheckResult(UpstreamId Id, std::optional<CheckResult> Result);
  void receiveReport(const PeerReport &Report);
  void maintain();
  void stop();
  void finishStop();
  void recordActivity();
  bool isReady() const {
    return !Drain && Routes.isLoaded() && Upstreams.isComplete() &&
           Gate.isReachable(TimeSource.now());
  }
  void updateGate();

  EventLoop &Loop;
  ForwarderSettings Settings;
  ForwarderProtocol Protocol;
  StopHook OnStop;
  EventClock TimeSource;
  EventLog Log;
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  SteeringMetrics Metrics;
  /// Of the maintenance timer.
  TimerLateness Lateness{MaintenancePeriod};
  ReachabilityGate Gate;
  bool WasReachable = true;
  /// How often no upstream was reachable any more.
  uint64_t UpstreamLosses = 0;
  Spillover Spill;
  FlowSteering Steering;
  StoreUpdateApplier UpdateApplier;
  StoreFollower Follower;
  ForwarderLog FlowLog;
  PeerReporter Reports;
  UpstreamCheck Checks;
  LinkLoad Load;
  PacketPath Packets;
  HttpServer ReadinessServer;
  ForwarderReportServer ReportServer;
  LoopEvent MaintenanceTimer;
  LoopEvent StopTimer;
  TimePoint LastExpiry{};
  std::optional<DrainMonitor> Drain;
  PauseGuard Pauses;
};

Forwarder::Impl::Impl(EventLoop &Loop, ForwarderSettings Settings,
                      ForwarderProtocol Protocol, StopHook OnStop)
    : Loop(Loop), Settings(std::move(Settings)), Protocol(std::move(Protocol)),
      OnStop(std::move(OnStop)),
      Log({this->Settings.Name, this->Settings.LogLinesPerSecond}, TimeSource),
      Upstreams(this->Settings.Policy.Reachability),
      Gate(this->Settings.Policy.Reachability.LeaveSilentZone),
      Spill(this->Settings.Zone),
      Steering({this->Settings.Zone,
                makeZoneAwareLeastFlowsPolicy(this->Settings.Zone,
                                              this->Settings.Policy.Placement,
                                              &Spill),
                this->Settings.Policy.Placement, this->Settings.Policy.Checks,
                this->Settings.PeerAddress, &Gate, &Spill},
               TimeSource, Routes, Upstreams, Metrics,
               {.OnOpenTimeout =
                    [this](const FlowAddress &Flow,
                           const Upstream &UnresponsiveUpstream) {
                      FlowLog.writeOpenTimeout(Flow, UnresponsiveUpstream);
                    },
                .OnCheckNeeded =
                    [this](const Upstream &Suspect) { startCheck(Suspect); },
                .OnReset =
                    [this](const PacketHeader &Packet,
                           const SteeringDecision &Decision) {
                      Packets.sendReset(Packet);
                      FlowLog.writeDecision(Packet, Decision);
                    },
                .IsOutdated =
                    [this] {
                      return Pauses.isOutdated(Follower.sync().confirmedAt(),
                                               TimeSource.now());
                    },
                .IsLinkCongested =
                    [this] {
                      return Load.wasCongestedSince(TimeSource.now() -
                                                    UpstreamCheck::Timeout);
                    },
                .InstancesOfZone =
                    [this](const std::string &Zone) {
                      return Follower.membersOf(Zone);
                    },
                .OnTagConflict =
                    [this](const FlowAddress &Flow, const Upstream &Target,
                           const Upstream &Named) {
                      FlowLog.writeTagConflict(Flow, Target, Named);
                    },
                .OnPlacement =
                    [this](const FlowPlacement &Placement) {
                      Reports.addPlacement(Placement);
                    },
                .OnUnidentifiedFlow =
                    [this](const FlowAddress &Flow) { Reports.addQuery(Flow); },
                .OnUnresponsive =
                    [this](const Upstream &Target) {
                      Reports.addEvidence(Target, false);
                      FlowLog.writeUnresponsive(Target, "own");
                    },
                .OnStopped =
                    [this](const Upstream &Target) {
                      Reports.addEvidence(Target, true);
                    },
                .OnReportedUnresponsive =
                    [this](const Upstream &Target) {
                      FlowLog.writeUnresponsive(Target, "reported");
                    }}),
      UpdateApplier(this->Protocol.DecodeItem, TimeSource, Log, Routes,
                    Upstreams, registrationLifetime(this->Settings)),
      Follower(Loop, this->Settings, this->Protocol.Store, TimeSource, Log,
               {[this](const StoreSync::Update &Update) {
                  UpdateApplier.apply(Update);
                  if (Routes.isLoaded())
                    Packets.startReceiving();
                },
                [this] { return Routes.version(); },
                [this](const StoreItem &Known, const StoreItem *Restored) {
                  return UpdateApplier.supersedes(Known, Restored);
                },
                [this] { return Lateness.recentMax(TimeSource.now()); },
                {[this] { return UpdateApplier.undecidedVersion(); },
                 [this](ConfigVersion Version) {
                   return UpdateApplier.lostConfigurations(Version);
                 },
                 [this](const std::vector<LostConfiguration> &Known) {
                   UpdateApplier.recordLostConfigurations(Known);
                 }}}),
      FlowLog(Log, TimeSource, Routes, Follower, Lateness),
      Reports(Loop,
              {this->Settings.ReportAddress, this->Settings.PeerAddress,
               this->Settings.Zone},
              TimeSource,
              {[this] { return Follower.recentPeersInZone(); },
               [this](const PeerReport &Report) { receiveReport(Report); },
               [this](const FlowAddress &Flow) {
                 return Steering.placementOf(Flow);
               }}),
      Checks(Loop, this->Settings.Policy.Checks.UseReference,
             [this](UpstreamId Id, std::optional<CheckResult> Result) {
               onCheckResult(Id, Result);
             }),
      Load(this->Settings.LinkMbps),
      Packets(this->Protocol, Steering, Metrics, FlowLog, Load, TimeSource,
              [this] { recordActivity(); }),
      ReadinessServer(Loop), ReportServer(Loop, [this] { return view(); }) {}

std::string Forwarder::Impl::start() {
  TimeSource.refresh();
  if (const auto Error = Packets.open(Loop, Settings.DataAddress))
    return "cannot bind " + toString(Settings.DataAddress) + ": " +
           Error.message() + "; free this address or change /dataAddress";
  if (const auto Error = ReadinessServer.open(Settings.ReadyAddress))
    return "cannot listen on " + toString(Settings.ReadyAddress) + ": " +
           Error.message() + "; free this address or change /readyAddress";
  ReadinessServer.route(
      "GET", Protocol.ReadyPath,
      [this](const HttpRequest &, const HttpServer::Respond &Respond) {
        recordActivity();
        updateGate();
        Respond({isReady() ? 200 : 503, "{}"});
      });
  if (std::string Problem = ReportServer.open(Settings.MetricsAddress);
      !Problem.empty())
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
  if (std::string Problem = Reports.open(); !Problem.empty())
    return Problem;
  MaintenanceTimer =
      LoopEvent::every(Loop, MaintenancePeriod, [this] { maintain(); });
  return {};
}

ForwarderView Forwarder::Impl::view() {
  TimeSource.refresh();
  return {Metrics,
          Routes,
          Upstreams,
          Follower,
          Log,
          Steering.flows(),
          Packets.invalidDatagrams(),
          isReady(),
          TimeSource.now(),
          Reports.counters(),
          UpstreamLosses,
          Spill,
          Lateness};
}

void Forwarder::Impl::startCheck(const Upstream &Suspect) {
  if (const Upstream *ReferenceUpstream =
          Upstreams.mostRecentlyAnswering(Suspect, TimeSource.now()))
    Checks.start(Suspect, *ReferenceUpstream);
}

// Packets that have arrived may show that the upstream has answered. The loss
// of many upstreams costs one pass over the flows, after the last check.
void Forwarder::Impl::onCheckResult(UpstreamId Id,
                                    std::optional<CheckResult> Result) {
  recordActivity();
  if (Result != CheckResult::Accepted)
    Packets.readPending();
  if (Result)
    Steering.recordCheckResult(Id, *Result);
  else
    Steering.recordVoidCheck(Id);
  if (!Checks.isPending())
    Steering.resetFlowsOfDeadUpstreams();
  Packets.flush();
  if (Result)
    FlowLog.writeCheckResult(Id, *Result, Upstreams.find(Id));
}

void Forwarder::Impl::receiveReport(const PeerReport &Report) {
  recordActivity();
  if (!Report.Evidence.empty())
    Packets.readPending();
  Steering.recordPeerEvidence(Report);
  Packets.recordPlacements(Report.Placements);
}

// Packets that arrived during a pause are read before any timer fires, so each
// of them checks for a pause as well.
void Forwarder::Impl::recordActivity() {
  TimeSource.refresh();
  if (!Pauses.recordActivity(TimeSource.now()))
    return;
  FlowLog.writePause();
  Gate.discardWaits();
  Follower.confirmNow();
}

void Forwarder::Impl::maintain() {
  recordActivity();
  Lateness.recordFiring(TimeSource.now());
  Upstreams.recordStoreSync(Follower.sync().confirmedAt());
  if (!Pauses.isOutdated(Follower.sync().confirmedAt(), TimeSource.now()))
    UpdateApplier.applyDue();
  // A watch can last longer than the bound for changes leaves.
  if (UpdateApplier.takeConfirmationRequest())
    Follower.confirmNow();
  updateGate();
  Packets.dropExpired();
  Steering.startRequestedChecks();
  Steering.resetFlowsOfDeadUpstreams();
  Packets.flush();
  if (TimeSource.now() - LastExpiry >= ExpiryPeriod) {
    LastExpiry = TimeSource.now();
    Steering.sweep();
  }
  writePending(Log, STDOUT_FILENO);
}

// This may run before packets that arrived in time are read, so the gate's word
// counts only after they are. An answer among them withdraws it.
void Forwarder::Impl::updateGate() {
  if (Drain || !Routes.isLoaded())
    return;
  const bool WasZoneSilent = Gate.isZoneSilent();
  const bool WasZoneSuspect = Gate.isZoneSuspect();
  Gate.update({Upstreams.available(), Upstreams.availableIn(Settings.Zone),
               Follower.sync().confirmedAt() + Follower.maxUsualAge(),
               Upstreams.lastStartIn(Settings.Zone)},
              TimeSource.now());
  if (WasReachable && !Gate.isReachable(TimeSource.now()))
    Packets.readPending();
  if (Gate.isZoneSilent() && !WasZoneSilent)
    Steering.leaveSilentZone();
  else if (Gate.isZoneSuspect() && !WasZoneSuspect)
    Steering.checkLateUpstreams();
  const bool IsReachable = Gate.isReachable(TimeSource.now());
  if (IsReachable == WasReachable)
    return;
  WasReachable = IsReachable;
  if (!IsReachable)
    ++UpstreamLosses;
  FlowLog.writeReachability(Gate, IsReachable);
}

void Forwarder::Impl::stop() {
  TimeSource.refresh();
  if (Drain)
    return;
  Drain.emplace(TimeSource.now(), Settings.StopLimit);
  Follower.stop();
  // Instances that were restarted since do not know these placements.
  for (const FlowPlacement &Placement :
       Steering.recentPlacements(MaxPlacementsAtStop))
    Reports.addPlacement(Placement);
  Log.write(LogEvent::Stopping, [this] {
    return EventLog::Fields{{"flows", Steering.flows()}};
  });
  StopTimer =
      LoopEvent::every(Loop, DrainCheckPeriod, [this] { finishStop(); });
}

void Forwarder::Impl::finishStop() {
  TimeSource.refresh();
  if (!Drain->isDrainComplete(Packets.lastPacketTime(), TimeSource.now()))
    return;
  const bool TrafficStopped =
      Drain->hasTrafficStopped(Packets.lastPacketTime(), TimeSource.now());
  // "quiet" is false if the stop limit passed while packets still arrived.
  Log.write(LogEvent::Stopped, [&] {
    return EventLog::Fields{{"flows", Steering.flows()},
                            {"quiet", TrafficStopped}};
  });
  writePending(Log, STDOUT_FILENO);
  // Packets that have arrived are still forwarded.
  Packets.readLast();
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
  PImpl->Settings = Settings;
  PImpl->Load.setRate(Settings.LinkMbps);
  PImpl->Follower.reload(Settings);
}

void Forwarder::logRejectedSettings(const std::string &Reason) {
  PImpl->TimeSource.refresh();
  PImpl->Log.write(LogEvent::SettingsRefused, [&] {
    return EventLog::Fields{{"reason", Reason}};
  });
}

void Forwarder::stop() { PImpl->stop(); }

} // namespace indigopoint
