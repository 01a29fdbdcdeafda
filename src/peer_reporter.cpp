#include "peer_reporter.h"

#include <algorithm>
#include <chrono>

#include "event_loop.h"
#include "peer_report_codec.h"
#include "report_scheduler.h"
#include "udp_endpoint.h"

namespace indigopoint {

namespace {

uint32_t unixSeconds() {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

struct PeerReporter::Impl {
  Impl(EventLoop &Loop, Options Opts, EventClock &TimeSource,
       Hooks ReportHooks);

  bool isEnabled() const { return Opts.ReportAddress.Port != 0; }
  void receive(std::string_view Datagram);
  void answer(const PeerReport &Question);
  void send(const PeerReport &Report, const std::vector<Endpoint> &Recipients);
  void sendIfDue();
  void schedule();

  EventLoop &Loop;
  Options Opts;
  EventClock &TimeSource;
  Hooks ReportHooks;
  ReportScheduler Scheduler;
  UdpEndpoint Socket{MaxReportBytes};
  LoopEvent SendTimer;
  TimePoint TimerExpiry = TimePoint::max();
  Counters Statistics;
};

PeerReporter::Impl::Impl(EventLoop &Loop, Options Opts, EventClock &TimeSource,
                         Hooks ReportHooks)
    : Loop(Loop), Opts(std::move(Opts)), TimeSource(TimeSource),
      ReportHooks(std::move(ReportHooks)),
      Scheduler({this->Opts.Self, this->Opts.Zone, unixSeconds()}, TimeSource) {
}

void PeerReporter::Impl::receive(std::string_view Datagram) {
  TimeSource.refresh();
  std::optional<PeerReport> Report =
      decodePeerReport(Datagram, Opts.Self, Opts.Zone);
  if (!Report) {
    ++Statistics.Rejected;
    return;
  }
  if (!Scheduler.accept(*Report)) {
    ++Statistics.Outdated;
    return;
  }
  ++Statistics.Received;
  removeOutdatedEvidence(*Report);
  ReportHooks.OnReport(*Report);
  answer(*Report);
}

// An instance that asks has a client that waits, so the answer is not delayed.
void PeerReporter::Impl::answer(const PeerReport &Question) {
  std::vector<FlowPlacement> Placements;
  for (const FlowAddress &Flow : Question.Queries)
    if (const auto Placement = ReportHooks.Placement(Flow))
      Placements.push_back(*Placement);
  if (!Placements.empty())
    send(Scheduler.answer(std::move(Placements)), {Question.Sender});
}

void PeerReporter::Impl::send(const PeerReport &Report,
                              const std::vector<Endpoint> &Recipients) {
  const std::string Bytes = encodePeerReport(Report);
  if (!Bytes.empty())
    for (const Endpoint Peer : Recipients) {
      Socket.nextBuffer() = Bytes;
      Socket.commit({Peer.Address, Opts.ReportAddress.Port});
    }
  Socket.flush();
}

void PeerReporter::Impl::sendIfDue() {
  TimeSource.refresh();
  TimerExpiry = TimePoint::max();
  if (const std::optional<PeerReport> Report = Scheduler.takeReport())
    send(*Report, ReportHooks.Recipients());
  schedule();
}

// Evidence can bring the next report forward.
void PeerReporter::Impl::schedule() {
  const TimePoint Due = Scheduler.nextReportAt();
  if (Due >= TimerExpiry)
    return;
  TimerExpiry = Due;
  SendTimer =
      LoopEvent::after(Loop, std::max(Duration(), Due - TimeSource.now()),
                       [this] { sendIfDue(); });
}

PeerReporter::PeerReporter(EventLoop &Loop, Options Opts,
                           EventClock &TimeSource, Hooks ReportHooks)
    : PImpl(std::make_unique<Impl>(Loop, std::move(Opts), TimeSource,
                                   std::move(ReportHooks))) {}

PeerReporter::~PeerReporter() = default;

std::string PeerReporter::open() {
  if (!PImpl->isEnabled())
    return {};
  const Endpoint Address = PImpl->Opts.ReportAddress;
  if (const auto Error = PImpl->Socket.open(
          PImpl->Loop, Address, [this](Endpoint, std::string_view Datagram) {
            PImpl->receive(Datagram);
          }))
    return "cannot bind " + toString(Address) + ": " + Error.message() +
           "; free this address or change /reportAddress";
  PImpl->schedule();
  return {};
}

void PeerReporter::addEvidence(const Upstream &UnresponsiveUpstream,
                               bool HasStopped) {
  if (!PImpl->isEnabled())
    return;
  const UpstreamRegistration &Registration = UnresponsiveUpstream.Registration;
  PImpl->Scheduler.addEvidence(
      {Registration.Id, Registration.StartedAtMs, Duration(), HasStopped});
  PImpl->schedule();
}

void PeerReporter::addPlacement(const FlowPlacement &Placement) {
  if (!PImpl->isEnabled())
    return;
  PImpl->Scheduler.addPlacement(Placement);
  PImpl->schedule();
}

void PeerReporter::addQuery(const FlowAddress &Flow) {
  if (!PImpl->isEnabled())
    return;
  PImpl->Scheduler.addQuery(Flow);
  PImpl->schedule();
}

PeerReporter::Counters PeerReporter::counters() const {
  Counters Out = PImpl->Statistics;
  Out.Sent = PImpl->Socket.counters().Sent;
  Out.Rejected += PImpl->Socket.counters().Oversized;
  return Out;
}

} // namespace indigopoint
