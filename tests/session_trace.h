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

/// Compares \p Text with tests/golden/NAME.txt. Returns an empty string if
/// they are equal, else where they differ. With UPDATE_GOLDEN set in the
/// environment the file is rewritten instead.
std::string compareWithGolden(const std::string &Name, const std::string &Text);

} // namespace indigopoint
