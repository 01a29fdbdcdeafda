// A small model of a region in virtual time: instances of four zones, upstreams
// with slots and queue places, and clients that retransmit and retry.

#pragma once

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "admission_policy.h"
#include "balancing_policy.h"
#include "manual_clock.h"
#include "service_load_table.h"

namespace indigopoint {

constexpr size_t ModelKinds = 2;
constexpr size_t UrgentKind = 0;
constexpr size_t NormalKind = 1;

/// The outcomes of the requests of one kind.
struct KindOutcomes {
  size_t Sent = 0;
  size_t InTarget = 0;
  size_t Late = 0;
  size_t Refused = 0;
  /// Neither answered within the time limit nor refused.
  size_t Lost = 0;
  /// Work of the requests that were served within the target.
  double WorkInTarget = 0;
  std::vector<Duration> RefusalTimes;

  double share(size_t Count) const {
    return Sent == 0 ? 0
                     : static_cast<double>(Count) / static_cast<double>(Sent);
  }
  Duration refusalP99() const;
};

struct AdmissionScenario {
  /// Offered load of each zone as a multiple of the capacity of one zone with
  /// all upstreams at full speed.
  std::function<double(size_t Zone, double Seconds)> LoadOf;
  bool Admission = true;
  /// Zone 3 has no instances and upstreams; its clients reach other zones.
  bool ZoneLost = false;
  /// Zone 3 has no upstreams, but its instances work.
  bool UpstreamsOfZoneLost = false;
  /// Each fourth upstream is five times as slow.
  bool SlowQuarter = false;
  /// Instances send no reports.
  bool NoReports = false;
  double Seconds = 7;
  /// Requests sent earlier are not counted.
  double CountFrom = 4;
  uint64_t Seed = 1;
};

struct AdmissionResult {
  std::array<KindOutcomes, ModelKinds> Kinds;
  /// The share of all requests that were refused, by tenth of a second.
  std::vector<double> RefusedByTenth;

  double CountedSeconds = 0;

  /// Worth a second of the requests served within the target: 2 for an urgent
  /// one, 1 for another one.
  double worth() const;
  /// Slots that were busy with requests that were served within the target.
  double workInTarget() const;
};

/// Plays a scenario and returns the outcomes.
AdmissionResult runAdmissionModel(const AdmissionScenario &Scenario);

} // namespace indigopoint
