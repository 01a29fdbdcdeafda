#include "peer_report_codec.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "gen/protocol_types.h"

namespace indigopoint {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol =
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

constexpr int32_t ReportVersion = 1;

// Entries of one kind in a report; more do not fit into MaxReportBytes.
constexpr size_t MaxEntries = 100;

// The header of a list of up to 127 entries takes at most two bytes. An empty
// list is counted with one.
constexpr size_t Lists = 3;
constexpr size_t ExtraListBytes = Lists;

// Evidence is used for 2 s. A much higher age is an error of the sender.
constexpr Duration MaxAge = std::chrono::seconds(60);

bool isAgePlausible(Duration Age) { return Age >= Duration() && Age <= MaxAge; }

wire::ReportedEvidence toWire(const UpstreamEvidence &Evidence) {
  wire::ReportedEvidence Out;
  Out.upstream = static_cast<int64_t>(Evidence.Upstream.value());
  Out.startedAtMs = Evidence.StartedAtMs;
  Out.age = Evidence.Age.count();
  Out.hasStopped = Evidence.HasStopped;
  return Out;
}

UpstreamEvidence fromWire(const wire::ReportedEvidence &Evidence) {
  return {UpstreamId(static_cast<uint64_t>(Evidence.upstream)),
          Evidence.startedAtMs, Duration(Evidence.age), Evidence.hasStopped};
}

wire::Endpoint toWire(const Endpoint &Address) {
  wire::Endpoint Out;
  Out.address = static_cast<int32_t>(Address.Address);
  Out.port = static_cast<int16_t>(Address.Port);
  return Out;
}

Endpoint fromWire(const wire::Endpoint &Address) {
  return {static_cast<uint32_t>(Address.address),
          static_cast<uint16_t>(Address.port)};
}

wire::ReportedFlow toWire(const FlowAddress &Flow) {
  wire::ReportedFlow Out;
  Out.client = toWire(Flow.Client);
  Out.serviceAddress = toWire(Flow.ServiceAddress);
  return Out;
}

FlowAddress fromWire(const wire::ReportedFlow &Flow) {
  return {fromWire(Flow.client), fromWire(Flow.serviceAddress)};
}

wire::ReportedPlacement toWire(const FlowPlacement &Placement) {
  wire::ReportedPlacement Out;
  Out.flow = toWire(Placement.Flow);
  Out.upstream = static_cast<int64_t>(Placement.Upstream.value());
  Out.sequence = static_cast<int32_t>(Placement.Sequence);
  return Out;
}

FlowPlacement fromWire(const wire::ReportedPlacement &Placement) {
  return {fromWire(Placement.flow),
          UpstreamId(static_cast<uint64_t>(Placement.upstream)),
          static_cast<uint32_t>(Placement.sequence)};
}

template <typename Struct> std::string write(const Struct &Value) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

// Adds the entry if it fits into the free bytes. The encoding of a struct does
// not depend on where it stands in a message.
template <typename Struct>
void addIfItFits(Struct Entry, std::vector<Struct> &Entries, size_t &Free) {
  if (Entries.size() == MaxEntries)
    return;
  const size_t Size = write(Entry).size();
  if (Size > Free)
    return;
  Free -= Size;
  Entries.push_back(std::move(Entry));
}

bool read(std::string_view Bytes, wire::PeerReport &Out) {
  try {
    // The buffer is only observed, so it is never written to.
    const auto Buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data())),
        static_cast<uint32_t>(Bytes.size()));
    // The limits bound the memory that a false size field can request.
    CompactProtocol Protocol(Buffer, static_cast<int32_t>(MaxReportBytes),
                             static_cast<int32_t>(MaxEntries));
    Out.read(&Protocol);
    return Buffer->available_read() == 0;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace

std::string encodePeerReport(const PeerReport &Report) {
  wire::PeerReport Out;
  Out.version = ReportVersion;
  Out.sender = toWire(Report.Sender);
  Out.zone = Report.Zone;
  Out.sequence = static_cast<int64_t>(Report.Sequence);
  const size_t Used = write(Out).size() + ExtraListBytes;
  if (Used > MaxReportBytes)
    return {};
  size_t Free = MaxReportBytes - Used;

  std::vector<UpstreamEvidence> Evidence = Report.Evidence;
  std::stable_sort(Evidence.begin(), Evidence.end(),
                   [](const auto &A, const auto &B) { return A.Age < B.Age; });
  std::set<UpstreamId> UpstreamIds;
  for (const UpstreamEvidence &Entry : Evidence)
    if (isAgePlausible(Entry.Age) && UpstreamIds.insert(Entry.Upstream).second)
      addIfItFits(toWire(Entry), Out.evidence, Free);
  for (const FlowPlacement &Entry : Report.Placements)
    addIfItFits(toWire(Entry), Out.placements, Free);
  for (const FlowAddress &Entry : Report.Queries)
    addIfItFits(toWire(Entry), Out.queries, Free);
  return write(Out);
}

std::optional<PeerReport> decodePeerReport(std::string_view Bytes,
                                           Endpoint Self,
                                           const std::string &Zone) {
  wire::PeerReport In;
  if (Bytes.size() > MaxReportBytes || !read(Bytes, In) ||
      In.version != ReportVersion)
    return std::nullopt;
  PeerReport Out;
  Out.Sender = fromWire(In.sender);
  Out.Zone = std::move(In.zone);
  Out.Sequence = static_cast<uint64_t>(In.sequence);
  if (Out.Zone != Zone || Out.Sender == Self || Out.Sender.Port == 0)
    return std::nullopt;
  std::set<UpstreamId> UpstreamIds;
  for (const wire::ReportedEvidence &Entry : In.evidence) {
    Out.Evidence.push_back(fromWire(Entry));
    if (!isAgePlausible(Out.Evidence.back().Age) ||
        !UpstreamIds.insert(Out.Evidence.back().Upstream).second)
      return std::nullopt;
  }
  for (const wire::ReportedPlacement &Entry : In.placements)
    Out.Placements.push_back(fromWire(Entry));
  for (const wire::ReportedFlow &Entry : In.queries)
    Out.Queries.push_back(fromWire(Entry));
  return Out;
}

} // namespace indigopoint
