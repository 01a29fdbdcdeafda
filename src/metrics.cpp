#include "metrics.h"

namespace indigopoint {

LatencyHistogram makeLatencyHistogram() {
  return boost::histogram::make_histogram(
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
          28, 10.0, 1e8));
}

OccupancyHistogram makeOccupancyHistogram() {
  return boost::histogram::make_histogram(
      boost::histogram::axis::integer<>(0, 64));
}

} // namespace indigopoint
