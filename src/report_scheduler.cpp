#include "report_scheduler.h"

#include <algorithm>

namespace indigopoint {

namespace {

// At most ten reports of evidence a second.
constexpr Duration MinEvidenceInterval = std::chrono::milliseconds(100);

// About 30 bytes each, so that they fit into a report of 1,200 bytes. More
// evidence waits for the next report.
constexpr size_t MaxEvidencePerReport = 20;

// About 40 and 25 bytes each; they fit beside the evidence.
constexpr size_t MaxPlacementsPerReport = 10;
constexpr size_t MaxQueriesPerReport = 4;

// What can be sent within Lifetime. More is not sent; clients then wait for
// their time limit.
constexpr size_t MaxPendingPlacements = 200;
constexpr size_t MaxPendingQueries = 80;

// What can be sent within Lifetime.
constexpr size_t MaxPendingEvidence = 400;

// More than the largest zone has. Bounds the memory if addresses are forged.
constexpr size_t MaxSenders = 4096;

// A sender that was not heard from for this time may begin again with any
// sequence number, since the clock of its machine may have been set back.
constexpr Duration SequenceLifetime = std::chrono::seconds(30);

// The clock of a virtual machine stops when the machine is suspended, and all
// later reports seem delayed. After two windows the difference is taken as the
// normal one. The datagrams that waited in the socket during a pause of the
// receiver are read within much less than a window.
constexpr Duration OffsetWindow = std::chrono::seconds(10);

// A sequence number is the start of the process in seconds, followed by the
// milliseconds since then.
constexpr unsigned EraShift = 32;

// Removes and returns the first entries.
template <typename Entry>
std::vector<Entry> popFirst(std::deque<Entry> &Entries, size_t Max) {
  const auto End =
      Entries.begin() + static_cast<ptrdiff_t>(std::min(Max, Entries.size()));
  std::vector<Entry> Out(Entries.begin(), End);
  Entries.erase(Entries.begin(), End);
  return Out;
}

uint64_t eraOf(uint64_t Sequence) { return Sequence >> EraShift; }

Duration timeOf(uint64_t Sequence) {
  return std::chrono::milliseconds(Sequence & ((uint64_t{1} << EraShift) - 1));
}

} // namespace

ReportScheduler::ReportScheduler(Options Opts, const Clock &TimeSource)
    : Opts(std::move(Opts)), TimeSource(TimeSource),
      StartedAt(TimeSource.now()), NextEvidenceAt(StartedAt) {}

void ReportScheduler::addEvidence(const UpstreamEvidence &Evidence) {
  const TimePoint Now = TimeSource.now();
  dropOutdatedEvidence();
  bool HasStopped = Evidence.HasStopped;
  std::erase_if(Pending, [&](const PendingEvidence &Entry) {
    const bool IsSame = Entry.Upstream == Evidence.Upstream;
    HasStopped |= IsSame && Entry.HasStopped;
    return IsSame;
  });
  // The oldest entry is the first one.
  if (Pending.size() == MaxPendingEvidence)
    Pending.erase(Pending.begin());
  const PendingEvidence Added{Evidence.Upstream, Evidence.StartedAtMs,
                              Now - std::max(Evidence.Age, Duration()),
                              HasStopped};
  Pending.insert(std::upper_bound(Pending.begin(), Pending.end(), Added,
                                  [](const auto &A, const auto &B) {
                                    return A.FoundAt < B.FoundAt;
                                  }),
                 Added);
}

void ReportScheduler::dropOutdatedEvidence() {
  std::erase_if(Pending, [Now = TimeSource.now()](const auto &Entry) {
    return Now - Entry.FoundAt > Lifetime;
  });
}

TimePoint ReportScheduler::nextReportAt() const {
  return hasPending() ? NextEvidenceAt : TimePoint::max();
}

std::optional<PeerReport> ReportScheduler::takeReport() {
  const TimePoint Now = TimeSource.now();
  dropOutdatedEvidence();
  if (!hasPending() || Now < NextEvidenceAt)
    return std::nullopt;
  NextEvidenceAt = Now + MinEvidenceInterval;
  PeerReport Report = makeReport();
  Report.Evidence = extractEvidence();
  Report.Placements = popFirst(PendingPlacements, MaxPlacementsPerReport);
  Report.Queries = popFirst(PendingQueries, MaxQueriesPerReport);
  return Report;
}

bool ReportScheduler::hasPending() const {
  return !Pending.empty() || !PendingPlacements.empty() ||
         !PendingQueries.empty();
}

PeerReport ReportScheduler::makeReport() {
  PeerReport Report;
  Report.Sender = Opts.Self;
  Report.Zone = Opts.Zone;
  Report.Sequence = nextSequence();
  return Report;
}

void ReportScheduler::addPlacement(const FlowPlacement &Placement) {
  if (PendingPlacements.size() < MaxPendingPlacements)
    PendingPlacements.push_back(Placement);
}

// A client that sends several packets at once needs one answer.
void ReportScheduler::addQuery(const FlowAddress &Flow) {
  if (PendingQueries.size() < MaxPendingQueries &&
      std::find(PendingQueries.begin(), PendingQueries.end(), Flow) ==
          PendingQueries.end())
    PendingQueries.push_back(Flow);
}

PeerReport ReportScheduler::answer(std::vector<FlowPlacement> Placements) {
  PeerReport Report = makeReport();
  Report.Placements = std::move(Placements);
  return Report;
}

std::vector<UpstreamEvidence> ReportScheduler::extractEvidence() {
  std::vector<UpstreamEvidence> Out;
  while (!Pending.empty() && Out.size() < MaxEvidencePerReport) {
    const PendingEvidence &Newest = Pending.back();
    Out.push_back({Newest.Upstream, Newest.StartedAtMs,
                   TimeSource.now() - Newest.FoundAt, Newest.HasStopped});
    Pending.pop_back();
  }
  return Out;
}

uint64_t ReportScheduler::nextSequence() {
  const uint64_t Milliseconds =
      static_cast<uint64_t>(millisecondsOf(TimeSource.now() - StartedAt));
  Sequence = std::max(Sequence + 1,
                      (uint64_t{Opts.StartedAtS} << EraShift) + Milliseconds);
  return Sequence;
}

bool ReportScheduler::accept(const PeerReport &Report) {
  const TimePoint Now = TimeSource.now();
  auto It = Senders.find(Report.Sender);
  if (It != Senders.end() && Report.Sequence <= It->second.Sequence) {
    if (Now - It->second.AcceptedAt <= SequenceLifetime)
      return false;
    Senders.erase(It);
    It = Senders.end();
  }
  if (It == Senders.end()) {
    if (!mayAddSender(Now))
      return false;
    It = Senders.try_emplace(Report.Sender).first;
  }
  Sender &Origin = It->second;
  if (recordDelay(Origin, Report.Sequence, Now) > Lifetime)
    return false;
  Origin.Sequence = Report.Sequence;
  Origin.AcceptedAt = Now;
  return true;
}

Duration ReportScheduler::recordDelay(Sender &Origin, uint64_t Sequence,
                                      TimePoint Now) {
  const Duration Offset = Now.time_since_epoch() - timeOf(Sequence);
  const bool IsNewProcess = eraOf(Sequence) != eraOf(Origin.Sequence) ||
                            Origin.WindowStart == TimePoint();
  if (IsNewProcess) {
    Origin.WindowStart = Now;
    Origin.Offset = Origin.PreviousOffset = Offset;
  } else if (Now - Origin.WindowStart > OffsetWindow) {
    Origin.WindowStart = Now;
    Origin.PreviousOffset = Origin.Offset;
    Origin.Offset = Offset;
  }
  Origin.Offset = std::min(Origin.Offset, Offset);
  return Offset - std::min(Origin.Offset, Origin.PreviousOffset);
}

bool ReportScheduler::mayAddSender(TimePoint Now) {
  if (Senders.size() >= MaxSenders)
    std::erase_if(Senders, [Now](const auto &Entry) {
      return Now - Entry.second.AcceptedAt > SequenceLifetime;
    });
  return Senders.size() < MaxSenders;
}

void removeOutdatedEvidence(PeerReport &Report) {
  std::erase_if(Report.Evidence, [](const UpstreamEvidence &Entry) {
    return Entry.Age > ReportScheduler::Lifetime;
  });
}

} // namespace indigopoint
