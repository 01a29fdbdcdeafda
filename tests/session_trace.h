#pragma once

#include <string>

#include "fleet.h"

namespace indigopoint {

/// Writes the events of a fleet as readable lines, one for each datagram of the
/// data path and each log line. Omits membership and load traffic.
class SessionTrace {
public:
  explicit SessionTrace(Fleet &TracedFleet);

  /// Writes a comment line of the test.
  void note(const std::string &Text);
  std::string text() const { return Lines; }

private:
  void write(const std::string &From, const std::string &To,
             const Message &Body);
  std::string nameOf(Endpoint Address) const;
  void writeLogs();

  Fleet &TracedFleet;
  TimePoint Start;
  std::string Lines;
};

} // namespace indigopoint
