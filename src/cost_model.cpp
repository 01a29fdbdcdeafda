#include "cost_model.h"

#include <algorithm>
#include <cmath>

namespace indigopoint {

namespace {

// Response times outside of this range count as its ends.
constexpr double MinResponseTimeUs = 1e3;
constexpr double MaxResponseTimeUs = 1e8;

// With fewer samples, a request of a rare long kind changes the mean by half.
constexpr double MinSamples = 50;

// The residual at an age is the mean of the longer response times. Fewer than
// this many give no mean.
constexpr double MinLongerSamples = 3;

// The weight of a response time halves within this time. Costs change with
// versions of a service, and rare long requests need many samples.
constexpr Duration HalfLife = std::chrono::seconds(60);

// The decay of all bins is not worth its time at each sample.
constexpr Duration DecayInterval = std::chrono::seconds(1);

// Bounds the memory to about 1 MB.
constexpr size_t MaxRoutes = 1024;

double microseconds(Duration Length) {
  return static_cast<double>(std::chrono::microseconds(Length).count());
}

} // namespace

CostModel::Distribution::Distribution()
    : Samples(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<double>(),
          boost::histogram::axis::regular<
              double, boost::histogram::axis::transform::log>(
              Bins, MinResponseTimeUs, MaxResponseTimeUs))) {}

bool CostModel::Distribution::isLearned() const { return Weight >= MinSamples; }

void CostModel::Distribution::decay(TimePoint Now) {
  const Duration Elapsed = Now - LastDecay;
  if (Weight > 0 && Elapsed < DecayInterval)
    return;
  const double Factor =
      std::exp2(-microseconds(Elapsed) / microseconds(HalfLife));
  Samples *= Factor;
  Weight *= Factor;
  LastDecay = Now;
}

// The lowest edge counts as age 0, so its residual is the mean.
void CostModel::Distribution::update() {
  const auto &Axis = Samples.axis();
  double Longer = 0;
  double LongerSum = 0;
  size_t FirstWithoutData = Bins;
  for (size_t Bin = Bins; Bin-- > 0;) {
    const auto Bounds = Axis.bin(static_cast<int>(Bin));
    const double Count = Samples.at(static_cast<int>(Bin));
    Longer += Count;
    LongerSum += Count * std::sqrt(Bounds.lower() * Bounds.upper());
    const double Age = Bin == 0 ? 0 : Bounds.lower();
    if (Longer >= MinLongerSamples)
      Residuals.at(Bin) = LongerSum / Longer - Age;
    else
      FirstWithoutData = Bin;
  }
  for (size_t Bin = std::max<size_t>(FirstWithoutData, 1); Bin < Bins; ++Bin)
    Residuals.at(Bin) = Residuals.at(Bin - 1);
}

// If there is no place for a new route, it replaces the one without samples for
// the longest time, which was probably removed.
CostModel::Distribution &CostModel::entryOf(Endpoint Route) {
  if (Routes.size() >= MaxRoutes && !Routes.contains(Route)) {
    const auto Oldest = std::min_element(
        Routes.begin(), Routes.end(), [](const auto &A, const auto &B) {
          return A.second.LastDecay < B.second.LastDecay;
        });
    addToSums(Oldest->second, -1);
    Routes.erase(Oldest);
  }
  return Routes[Route];
}

void CostModel::record(Endpoint Route, Duration ResponseTime, TimePoint Now) {
  Distribution &Entry = entryOf(Route);
  addToSums(Entry, -1);
  Entry.decay(Now);
  Entry.Samples(std::clamp(microseconds(ResponseTime), MinResponseTimeUs,
                           MaxResponseTimeUs * 0.999));
  Entry.Weight += 1;
  Entry.update();
  addToSums(Entry, 1);
}

void CostModel::addToSums(const Distribution &Entry, int Sign) {
  if (!Entry.isLearned())
    return;
  LearnedWeight += Sign * Entry.Weight;
  LearnedSum += Sign * Entry.Weight * Entry.Residuals.front();
}

const CostModel::Distribution *CostModel::findLearned(Endpoint Route) const {
  const auto It = Routes.find(Route);
  return It == Routes.end() || !It->second.isLearned() ? nullptr : &It->second;
}

std::optional<double> CostModel::expectedCost(Endpoint Route) const {
  const Distribution *Entry = findLearned(Route);
  if (Entry == nullptr)
    return std::nullopt;
  return Entry->Residuals.front() / mean();
}

double CostModel::meanResidual(Endpoint Route, Duration Age) const {
  const Distribution *Entry = findLearned(Route);
  if (Entry == nullptr)
    return 1;
  const auto &Axis = Entry->Samples.axis();
  const double AgeUs = std::max(microseconds(Age), 0.0);
  const int Bin = std::clamp(Axis.index(std::max(AgeUs, MinResponseTimeUs)), 0,
                             static_cast<int>(Bins) - 1);
  const double Lower = Bin == 0 ? 0 : Axis.bin(Bin).lower();
  const double Upper = Axis.bin(Bin).upper();
  const double Share = std::clamp((AgeUs - Lower) / (Upper - Lower), 0.0, 1.0);
  const auto Index = static_cast<size_t>(Bin);
  const double AtLower = Entry->Residuals.at(Index);
  const double AtUpper = Entry->Residuals.at(std::min(Index + 1, Bins - 1));
  return (AtLower + Share * (AtUpper - AtLower)) / mean();
}

std::optional<Duration> CostModel::meanResponseTime() const {
  // Rounding errors of the sums remain after the last learned route is erased.
  if (LearnedWeight < MinSamples / 2)
    return std::nullopt;
  return Duration(static_cast<int64_t>(mean()));
}

} // namespace indigopoint
