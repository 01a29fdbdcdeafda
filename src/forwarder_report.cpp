#include "forwarder_report.h"

#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

#include "document_reader.h"
#include "memory_usage.h"
#include "version.h"

namespace indigopoint {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

// Collects metrics by family and formats them as text.
class MetricsBuilder {
public:
  void counter(const std::string &Name, const std::string &Help,
               std::vector<ClientMetric::Label> Labels, uint64_t Value) {
    ClientMetric Metric;
    Metric.label = std::move(Labels);
    Metric.counter.value = static_cast<double>(Value);
    add(Name, Help, MetricType::Counter, std::move(Metric));
  }

  void gauge(const std::string &Name, const std::string &Help,
             std::vector<ClientMetric::Label> Labels, double Value) {
    ClientMetric Metric;
    Metric.label = std::move(Labels);
    Metric.gauge.value = Value;
    add(Name, Help, MetricType::Gauge, std::move(Metric));
  }

  void histogram(const std::string &Name, const std::string &Help,
                 std::vector<ClientMetric::Label> Labels,
                 const LatencyHistogram &Latencies, Duration Sum) {
    ClientMetric Metric;
    Metric.label = std::move(Labels);
    uint64_t Count = static_cast<uint64_t>(Latencies.at(-1));
    const auto &Axis = Latencies.axis();
    for (int Index = 0; Index < Axis.size(); ++Index) {
      Count += static_cast<uint64_t>(Latencies.at(Index));
      Metric.histogram.bucket.push_back({Count, Axis.bin(Index).upper() / 1e6});
    }
    Count += static_cast<uint64_t>(Latencies.at(Axis.size()));
    Metric.histogram.sample_count = Count;
    Metric.histogram.sample_sum = secondsOf(Sum);
    add(Name, Help, MetricType::Histogram, std::move(Metric));
  }

  std::string text() const {
    return prometheus::TextSerializer().Serialize(MetricFamilies);
  }

private:
  // The metrics of one family must be added one after another.
  void add(const std::string &Name, const std::string &Help, MetricType Type,
           ClientMetric Metric) {
    if (MetricFamilies.empty() || MetricFamilies.back().name != Name)
      MetricFamilies.push_back({Name, Help, Type, {}});
    MetricFamilies.back().metric.push_back(std::move(Metric));
  }

  std::vector<MetricFamily> MetricFamilies;
};

void addDecisions(const ForwarderView &View, MetricsBuilder &Out) {
  for (size_t Action = 0; Action < SteeringActionCount; ++Action)
    for (size_t Reason = 0; Reason < SteeringReasonCount; ++Reason) {
      const auto A = static_cast<SteeringAction>(Action);
      const auto R = static_cast<SteeringReason>(Reason);
      if (const uint64_t Count = View.Metrics.decisions(A, R))
        Out.counter("indigopoint_packets_total", "Packets by decision.",
                    {{"action", std::string(nameOf(A))},
                     {"reason", std::string(nameOf(R))}},
                    Count);
    }
  for (size_t Index = 0; Index < ResetCauseCount; ++Index) {
    const auto Cause = static_cast<ResetCause>(Index);
    Out.counter("indigopoint_flow_resets_total", "Open flows reset by cause.",
                {{"cause", std::string(nameOf(Cause))}},
                View.Metrics.flowResets(Cause));
  }
  Out.counter("indigopoint_flow_tag_conflicts_total",
              "Open flows of which a packet named another upstream.", {},
              View.Metrics.TagConflicts);
  Out.counter("indigopoint_packets_released_total",
              "Packets that were held until their upstream was known.", {},
              View.Metrics.ReleasedPackets);
  Out.counter("indigopoint_datagrams_refused_total",
              "Datagrams that were no packet of a client.", {},
              View.InvalidDatagrams);
}

void addServices(const ForwarderView &View, MetricsBuilder &Out) {
  for (const auto &[Name, Service] : View.Metrics.services()) {
    Out.counter("indigopoint_flows_opened_total", "New flows.",
                {{"service", Name}, {"zone", "own"}}, Service.OpenedInZone);
    Out.counter("indigopoint_flows_opened_total", "New flows.",
                {{"service", Name}, {"zone", "other"}},
                Service.OpenedInOtherZones);
  }
  for (const auto &[Name, Service] : View.Metrics.services())
    Out.gauge("indigopoint_spillover_share",
              "Share of new flows sent to other zones because the own one is "
              "slow.",
              {{"service", Name}}, View.Spill.shareOf(Name));
  for (const auto &[Name, Service] : View.Metrics.services())
    Out.counter("indigopoint_flows_evacuated_total",
                "New flows sent to other zones while the own one is evacuated.",
                {{"service", Name}}, Service.OpenedDuringEvacuation);
  for (const auto &[Name, Service] : View.Metrics.services())
    // Opening packets that were not followed by another packet of the flow
    // before the open timeout.
    Out.counter("indigopoint_openings_silent_total",
                "Opening packets without a next packet in time.",
                {{"service", Name}}, Service.OpenTimeouts);
  for (const auto &[Name, Service] : View.Metrics.services())
    Out.histogram("indigopoint_open_seconds",
                  "From an opening packet to the client's next one.",
                  {{"service", Name}}, Service.OpenLatency,
                  Service.OpenLatencySum);
}

void addState(const ForwarderView &View, MetricsBuilder &Out) {
  Out.gauge("indigopoint_build_info", "Version of the program.",
            {{"version", Version}}, 1);
  Out.gauge("indigopoint_ready", "1 while it takes traffic.", {},
            View.Ready ? 1 : 0);
  Out.gauge("indigopoint_flows", "Flows whose packets passed lately.", {},
            static_cast<double>(View.Flows));
  Out.gauge("indigopoint_configuration_version", "Version in force.", {},
            static_cast<double>(View.Routes.version().value()));
  // Time since the store confirmed the current data, to this instance or to the
  // peer that sent the data.
  Out.gauge("indigopoint_store_age_seconds",
            "Since the store last confirmed what is known.", {},
            secondsOf(View.Follower.dataAge()));
  Out.counter("indigopoint_store_restorations_total",
              "Times that the store came back from an older copy.", {},
              View.Follower.restorations());
  Out.counter("indigopoint_upstreams_lost_total",
              "Times that no upstream was reachable any more.", {},
              View.UpstreamLosses);
  Out.gauge("indigopoint_store_failures", "Failed calls in a row.", {},
            View.Follower.sync().failures());
  Out.gauge("indigopoint_peers", "Other instances heard of lately.", {},
            static_cast<double>(View.Follower.peerCount()));
  for (const UpstreamState State :
       {UpstreamState::Ready, UpstreamState::Draining,
        UpstreamState::Unregistered})
    Out.gauge("indigopoint_upstreams", "Upstreams by state.",
              {{"state", std::string(nameOf(State))}},
              static_cast<double>(View.Upstreams.count(State)));
  Out.gauge("indigopoint_unresponsive_upstreams",
            "Upstreams that leave requests unanswered.", {},
            static_cast<double>(View.Upstreams.countUnresponsive(View.Now)));
  Out.gauge("indigopoint_evacuated_zones", "Zones that are evacuated.", {},
            static_cast<double>(View.Upstreams.evacuations().zones().size()));
  const StoreFollower::Calls &Calls = View.Follower.calls();
  Out.counter("indigopoint_calls_total", "Calls by target and result.",
              {{"target", "store"}, {"result", "answered"}}, Calls.Store);
  Out.counter("indigopoint_calls_total", "Calls by target and result.",
              {{"target", "store"}, {"result", "failed"}}, Calls.StoreFailed);
  Out.counter("indigopoint_calls_total", "Calls by target and result.",
              {{"target", "peer"}, {"result", "answered"}}, Calls.Peer);
  Out.counter("indigopoint_calls_total", "Calls by target and result.",
              {{"target", "peer"}, {"result", "failed"}}, Calls.PeerFailed);
  for (const auto &[Result, Count] :
       {std::pair("sent", View.Reports.Sent),
        std::pair("received", View.Reports.Received),
        std::pair("rejected", View.Reports.Rejected),
        std::pair("outdated", View.Reports.Outdated)})
    Out.counter("indigopoint_peer_reports_total",
                "Reports between the instances of the zone.",
                {{"result", Result}}, Count);
  Out.gauge("indigopoint_timer_late_max_seconds",
            "Longest time by which the maintenance timer fired late.", {},
            secondsOf(View.Lateness.max()));
  Out.histogram("indigopoint_timer_late_seconds",
                "Time by which the maintenance timer fired late.", {},
                View.Lateness.histogram(), View.Lateness.sum());
  Out.counter("indigopoint_log_lines_suppressed_total",
              "Log lines over the rate or size.", {}, View.Log.suppressed());
}

void addMemory(MetricsBuilder &Out) {
  const MemoryUsage Usage = memoryUsage();
  for (const auto &[State, Bytes] :
       {std::pair("used", Usage.HeapUsed), std::pair("free", Usage.HeapFree)})
    Out.gauge("indigopoint_heap_bytes", "Heap in use, and freed but kept.",
              {{"state", State}}, static_cast<double>(Bytes));
  Out.gauge("indigopoint_resident_peak_bytes",
            "Most physical memory since the start.", {},
            static_cast<double>(Usage.ResidentPeak));
  const DocumentStatistics Documents = documentStatistics();
  Out.gauge("indigopoint_document_max_bytes", "Largest document that was read.",
            {}, static_cast<double>(Documents.LargestDocument));
  Out.gauge("indigopoint_document_max_memory_bytes",
            "Most memory that the values of a document took.", {},
            static_cast<double>(Documents.MostMemory));
  Out.counter("indigopoint_documents_refused_total",
              "Documents that were malformed or took too much memory.", {},
              Documents.Refused);
}

} // namespace

std::string metricsText(const ForwarderView &View) {
  MetricsBuilder Out;
  addState(View, Out);
  addMemory(Out);
  addDecisions(View, Out);
  addServices(View, Out);
  return Out.text();
}

std::string forwarderStatus(const ForwarderView &View) {
  nlohmann::ordered_json Out = {
      {"version", Version},
      {"ready", View.Ready},
      {"configuration", View.Routes.version().value()},
      {"routes", View.Routes.size()},
      {"era", View.Follower.sync().position().Era},
      {"revision", View.Follower.sync().position().Revision},
      {"storeRestorations", View.Follower.restorations()},
      {"storeAgeMs", millisecondsOf(View.Follower.dataAge())},
      {"storeFailures", View.Follower.sync().failures()},
      {"peers", View.Follower.peerCount()},
      {"flows", View.Flows}};
  for (const UpstreamState State :
       {UpstreamState::Ready, UpstreamState::Draining,
        UpstreamState::Unregistered})
    Out["upstreams"][std::string(nameOf(State))] = View.Upstreams.count(State);
  Out["unresponsiveUpstreams"] = View.Upstreams.countUnresponsive(View.Now);
  Out["evacuations"] = nlohmann::ordered_json::array();
  for (const auto &[Zone, StartedAt] : View.Upstreams.evacuations().zones())
    Out["evacuations"].push_back(
        {{"zone", Zone}, {"ageMs", millisecondsOf(View.Now - StartedAt)}});
  // Zones are named by keys of the store, which may hold bytes that are not
  // UTF-8.
  return Out.dump(2, ' ', false,
                  nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace indigopoint
