#include "status_report.h"

#include <nlohmann/json.hpp>

#include "blackboard.h"
#include "version.h"

namespace indigopoint {

namespace {

using Json = nlohmann::json;

// The bins that are not empty, as [lower bound, upper bound, count].
template <typename Histogram> Json binsOf(const Histogram &Counts) {
  Json Bins = Json::array();
  const auto &Axis = Counts.axis();
  for (const auto &Bin :
       boost::histogram::indexed(Counts, boost::histogram::coverage::all)) {
    const auto Count = static_cast<uint64_t>(*Bin);
    if (Count > 0)
      Bins.push_back(Json::array(
          {static_cast<double>(Axis.value(Bin.index())),
           static_cast<double>(Axis.value(Bin.index() + 1)), Count}));
  }
  return Bins;
}

Json selfOf(const Blackboard &Board) {
  const SelfState &Self = Board.Self;
  return {{"name", Self.Name},
          {"zone", Self.Zone},
          {"region", Self.Region},
          {"address", toString(Self.Address)},
          {"state", nameOf(Self.State)},
          // The process was paused and has not confirmed yet that no other
          // instance has taken over its flows and upstreams.
          {"stale", Self.Stale},
          {"stopRequested", Self.StopRequested},
          {"bootTimeMs", Self.OwnIncarnation.BootTime},
          // Orders the incarnations of one boot.
          {"counter", Self.OwnIncarnation.Counter}};
}

Json membersOf(const Blackboard &Board) {
  Json Members = Json::array();
  for (const auto &[Id, Peer] : Board.Members.ById) {
    Json Entry = {{"name", Peer.Name},
                  {"zone", Peer.Zone},
                  {"address", toString(Peer.Address)},
                  {"state", nameOf(Peer.State)}};
    // The member that forwards messages to this peer.
    if (const Member *RelayMember = Board.Members.find(Peer.RelayMember))
      Entry["via"] = RelayMember->Name;
    Members.push_back(std::move(Entry));
  }
  return Members;
}

Json serviceOf(const ServiceMetrics &Metrics) {
  Json Outcomes = Json::object();
  for (size_t Index = 0; Index < Metrics.Outcomes.size(); ++Index)
    Outcomes[std::string(nameOf(static_cast<Outcome>(Index)))] =
        Metrics.Outcomes[Index];
  return {{"outcomes", Outcomes},
          {"flows",
           {{"opened", Metrics.FlowsOpened},
            {"closed", Metrics.FlowsClosed},
            {"moved", Metrics.FlowsMoved},
            {"broken", Metrics.FlowsBroken}}},
          {"redirects", Metrics.Redirects},
          {"retries", Metrics.Retries},
          {"duplicates", Metrics.Duplicates},
          {"connectionsReplaced", Metrics.ConnectionsReplaced},
          {"ejections", Metrics.Ejections},
          {"histograms",
           {{"requestLatencyUs", binsOf(Metrics.RequestLatency)},
            {"upstreamLatencyUs", binsOf(Metrics.UpstreamLatency)},
            {"queueLength", binsOf(Metrics.QueueLength)},
            {"slotsBusy", binsOf(Metrics.SlotsBusy)}}}};
}

Json upstreamsOf(const Blackboard &Board) {
  Json Upstreams = Json::array();
  for (const auto &[Id, Owner] : Board.CurrentOwnership.owners()) {
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
    if (Owner != Board.Self.Id || Ref.Upstream == nullptr)
      continue;
    Json Entry = {{"name", Ref.Upstream->Name},
                  {"service", Ref.Service->Name},
                  {"zone", Ref.Upstream->Zone},
                  {"address", toString(Ref.Upstream->Address)}};
    const auto It = Board.ReportedLoads.find(Id);
    if (It != Board.ReportedLoads.end()) {
      const UpstreamLoad &Load = It->second.Load;
      Entry.update({{"flows", Load.Flows},
                    {"busy", Load.Busy},
                    {"queued", Load.Queued},
                    {"weightPercent", Load.WeightPercent},
                    {"ejected", Load.Ejected},
                    // The upstream is draining.
                    {"leaving", Load.Draining}});
    }
    Upstreams.push_back(std::move(Entry));
  }
  return Upstreams;
}

Json datagramsOf(const Blackboard &Board, const DropCounters &Drops,
                 const UdpEndpoint::Counters &Datagrams) {
  return {
      {"received", Datagrams.Received},
      {"sent", Datagrams.Sent},
      {"notSent", Datagrams.NotSent},
      {"relayed", Board.EngineMetrics.Relayed},
      {"dropped",
       {{"truncated", Drops.Truncated},
        {"oversized", Drops.Oversized},
        {"wrongVersion", Drops.WrongVersion},
        {"unknownKind", Drops.UnknownKind},
        {"malformed", Drops.Malformed},
        {"unknownPeer", Drops.MissingSender},
        {"outdatedSender", Board.EngineMetrics.OutdatedSenders},
        {"droppedWhileStale", Board.EngineMetrics.DroppedWhileStale},
        {"unexpectedMessage", Board.EngineMetrics.UnexpectedMessages},
        {"unknownService", Board.EngineMetrics.UnknownServices},
        {"unknownDispatchResult", Board.EngineMetrics.UnknownDispatchResults},
        // Answers from another address or connection than expected.
        {"foreignDispatchResult", Board.EngineMetrics.ForeignDispatchResults},
        {"lateResult", Board.EngineMetrics.LateResults},
        {"hopLimit", Board.EngineMetrics.HopLimitReached}}}};
}

} // namespace

std::string statusReport(const Blackboard &Board, const DropCounters &Drops,
                         const UdpEndpoint::Counters &Datagrams) {
  Json Services = Json::object();
  for (const auto &[Name, Metrics] : Board.EngineMetrics.Services)
    Services[Name] = serviceOf(Metrics);
  const Json Report = {{"version", Version},
                       {"self", selfOf(Board)},
                       {"members", membersOf(Board)},
                       {"configurationVersion", Board.Config.Version.value()},
                       // Detected pauses of this process.
                       {"pauses", Board.EngineMetrics.Pauses},
                       {"openFlows", Board.OpenFlows},
                       {"requestsInProgress", Board.RequestsInProgress},
                       {"dispatchesInProgress", Board.DispatchesInProgress},
                       {"services", std::move(Services)},
                       {"upstreams", upstreamsOf(Board)},
                       {"datagrams", datagramsOf(Board, Drops, Datagrams)}};
  // Names come from settings and peers and may contain bytes that are not
  // UTF-8.
  return Report.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace indigopoint
