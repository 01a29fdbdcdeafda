#include "service_load_table.h"

#include <algorithm>
#include <cmath>

#include "balancing_policy.h"

namespace indigopoint {

namespace {

// Reports come twice a second in zones of up to 32 instances; older ones
// describe load that has changed. In zones of more than 128 instances they come
// less often than this, and part of the demand is then unknown.
constexpr Duration MaxReportAge = std::chrono::seconds(2);

constexpr Duration UnusedLifetime = std::chrono::minutes(1);

// Time constant of the average of openings a second, as short as the time
// between two reports.
constexpr double RateSeconds = 0.5;

// Bounds of memory against many services and forged senders.
constexpr size_t MaxServices = 64;
constexpr size_t MaxSenders = 1024;

// No instance has more flows than its flow table.
constexpr double MaxPlausibleLoad = 1e6;

bool isPlausible(const ServiceLoad &Load) {
  const auto IsInRange = [](double Value) {
    return Value >= 0 && Value <= MaxPlausibleLoad;
  };
  return IsInRange(Load.OpeningsPerSecond) && IsInRange(Load.OpenExchanges);
}

} // namespace

std::map<std::string, ZoneSlots>
slotsByZone(const std::vector<Upstream *> &Upstreams,
            const std::function<bool(const Upstream &)> &TakesNewFlows,
            TimePoint Now, double WarmupShare) {
  const auto Usual = medianResponseTime(Upstreams, Now);
  std::map<std::string, ZoneSlots> Out;
  for (const Upstream *Target : Upstreams) {
    ZoneSlots &Slots = Out[Target->Registration.Zone];
    const double Known = Target->Registration.Slots;
    Slots.Known += Known;
    if (TakesNewFlows(*Target) && !Target->Reachability.isSuspect(Now))
      Slots.Usable += Known * (Target->WarmupEnd > Now ? WarmupShare : 1) /
                      std::max(1.0, slowdownOf(*Target, Usual, Now));
  }
  return Out;
}

double capacityOf(const std::string &Zone,
                  const std::map<std::string, ZoneSlots> &Slots,
                  double MinMissingShare) {
  ZoneSlots Own;
  double UsableElsewhere = 0;
  for (const auto &[Name, ZoneSlots] : Slots) {
    if (Name == Zone)
      Own = ZoneSlots;
    else
      UsableElsewhere += ZoneSlots.Usable;
  }
  const double MissingShare =
      Own.Known > 0 ? std::max(0.0, 1 - Own.Usable / Own.Known) : 1;
  if (MissingShare < MinMissingShare && Own.Usable > 0)
    return Own.Usable;
  const auto Zones =
      static_cast<double>(Slots.size() + (Own.Known > 0 ? 0 : 1));
  return Own.Usable + MissingShare * UsableElsewhere / Zones;
}

double ServiceLoadTable::OwnLoad::openings(TimePoint Now) const {
  const double Seconds = std::chrono::duration<double>(Now - DecayedAt).count();
  return DecayedOpenings * std::exp(-Seconds / RateSeconds);
}

void ServiceLoadTable::recordOpening(const std::string &Service,
                                     double Requests) {
  if (OwnLoads.size() >= MaxServices && !OwnLoads.contains(Service))
    return;
  OwnLoad &Load = OwnLoads[Service];
  const TimePoint Now = TimeSource.now();
  Load.DecayedOpenings = Load.openings(Now) + Requests;
  Load.DecayedAt = Now;
}

void ServiceLoadTable::recordExchangeStart(const std::string &Service) {
  if (OwnLoads.size() < MaxServices || OwnLoads.contains(Service))
    ++OwnLoads[Service].OpenExchanges;
}

void ServiceLoadTable::recordExchangeEnd(const std::string &Service) {
  const auto It = OwnLoads.find(Service);
  if (It != OwnLoads.end() && It->second.OpenExchanges > 0)
    --It->second.OpenExchanges;
}

// A sender whose clock was set back may begin with a lower sequence; its old
// report is then replaced as soon as it has expired. Each report holds all
// loads, so one without loads means that there is none.
void ServiceLoadTable::recordPeerReport(const PeerReport &Report) {
  const TimePoint Now = TimeSource.now();
  if (Report.Loads.size() > MaxServices ||
      !std::ranges::all_of(Report.Loads, isPlausible))
    return;
  const auto It = Reports.find(Report.Sender);
  if (It == Reports.end() ? Reports.size() >= MaxSenders
                          : It->second.Sequence >= Report.Sequence &&
                                Now - It->second.ReceivedAt <= MaxReportAge)
    return;
  Reports[Report.Sender] = {Report.Zone, Report.Sequence, Now, Report.Loads};
}

std::vector<ServiceLoad> ServiceLoadTable::ownLoads() const {
  const TimePoint Now = TimeSource.now();
  std::vector<ServiceLoad> Out;
  Out.reserve(OwnLoads.size());
  for (const auto &[Service, Load] : OwnLoads)
    Out.push_back({Service, Load.openings(Now) / RateSeconds,
                   static_cast<double>(Load.OpenExchanges)});
  return Out;
}

ServiceLoadTable::Demand
ServiceLoadTable::demand(const std::string &Service) const {
  Demand Out;
  Out.Instances = 1;
  const auto Own = OwnLoads.find(Service);
  if (Own != OwnLoads.end()) {
    Out.OpeningsPerSecond =
        Own->second.openings(TimeSource.now()) / RateSeconds;
    Out.OpenExchanges = Own->second.OpenExchanges;
  }
  addReported(Service, Zone, Out);
  return Out;
}

ServiceLoadTable::Demand
ServiceLoadTable::demandOfZone(const std::string &Service,
                               const std::string &OtherZone) const {
  Demand Out;
  addReported(Service, OtherZone, Out);
  return Out;
}

void ServiceLoadTable::addReported(const std::string &Service,
                                   const std::string &FromZone,
                                   Demand &Out) const {
  const TimePoint Now = TimeSource.now();
  for (const auto &[Sender, Received] : Reports) {
    const Duration Age = Now - Received.ReceivedAt;
    if (Age > MaxReportAge || Received.Zone != FromZone)
      continue;
    ++Out.Instances;
    Out.Age = std::max(Out.Age, Age);
    for (const ServiceLoad &Load : Received.Loads) {
      if (Load.Service != Service)
        continue;
      Out.OpeningsPerSecond += Load.OpeningsPerSecond;
      Out.OpenExchanges += Load.OpenExchanges;
    }
  }
}

void ServiceLoadTable::expire() {
  const TimePoint Now = TimeSource.now();
  std::erase_if(Reports, [Now](const auto &Entry) {
    return Now - Entry.second.ReceivedAt > MaxReportAge;
  });
  std::erase_if(OwnLoads, [Now](const auto &Entry) {
    return Entry.second.OpenExchanges == 0 &&
           Now - Entry.second.DecayedAt > UnusedLifetime;
  });
}

} // namespace indigopoint
