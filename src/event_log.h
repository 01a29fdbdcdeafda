#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "clock.h"

namespace indigopoint {

/// What a line of the event log tells.
enum class LogEvent : uint8_t {
  Started,
  Stopping,
  Stopped,
  SettingsReloaded,
  SettingsRefused,
  StoreLost,
  StoreRegained,
  SnapshotTaken,
  ConfigurationApplied,
  ConfigurationIgnored,
  UpstreamChanged,
  EntryUnreadable,
  UpstreamSilent,
  UpstreamChecked,
  FlowOpened,
  FlowMoved,
  FlowAdopted,
  FlowReset,
  PacketDropped,
  LinesSuppressed
};

constexpr size_t LogEventCount = 20;

std::string_view nameOf(LogEvent Value);

/// Collects structured lines, one JSON object each, for a writer that must not
/// block. Keeps the volume bounded: each kind of line has a rate, and the
/// buffer has a size; what exceeds them is counted.
class EventLog {
public:
  using Fields = nlohmann::ordered_json;

  struct Settings {
    /// The instance that writes.
    std::string Name;
    /// Lines of one kind in a second.
    uint32_t LinesPerSecond = 200;
    size_t MaxBytes = size_t{256} * 1024;
    /// The time of day.
    std::function<std::chrono::system_clock::time_point()> WallClock =
        std::chrono::system_clock::now;
  };

  EventLog(Settings Given, const Clock &TimeSource);

  /// Adds a line with the time of day, the instance and what \p Details
  /// returns. It is not called for a line that is suppressed.
  void write(LogEvent Event, const std::function<Fields()> &Details);

  /// What waits to be written; whole lines.
  std::string_view pending() const;

  /// The first \p Bytes of pending were written.
  void consume(size_t Bytes);

  /// Lines that were suppressed, of all kinds.
  uint64_t suppressed() const { return Suppressed; }

private:
  bool accepts(LogEvent Event);
  void startSecond();

  Settings Given;
  const Clock &TimeSource;
  std::string Buffer;
  size_t Written = 0;
  TimePoint SecondStart{};
  std::array<uint32_t, LogEventCount> InSecond{};
  std::array<uint32_t, LogEventCount> SuppressedInSecond{};
  uint64_t Suppressed = 0;
};

/// Writes what is pending to a descriptor, as far as that is possible without
/// blocking.
void writePending(EventLog &Log, int Descriptor);

} // namespace indigopoint
