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

/// The event that a line of the event log reports.
enum class LogEvent : uint8_t {
  Started,
  Stopping,
  Stopped,
  SettingsReloaded,
  /// The changed settings file has errors; the previous settings stay.
  SettingsRefused,
  /// The store cannot be reached.
  StoreLost,
  StoreRegained,
  /// No upstream answers and the store data is outdated, so the instance is not
  /// ready.
  UpstreamsLost,
  UpstreamsRegained,
  /// The store came back from an older copy.
  StoreRestored,
  /// The restored store has an older registration than what was known.
  RegistrationOutdated,
  /// The process was paused or delayed.
  PauseNoticed,
  /// A snapshot was loaded from the store.
  SnapshotTaken,
  ConfigurationApplied,
  ConfigurationIgnored,
  /// A lower version than the one in force was written to the restored store.
  ConfigurationDeferred,
  UpstreamChanged,
  /// An operator asked that a zone's upstreams get no new flows, or withdrew
  /// that.
  EvacuationStarted,
  EvacuationEnded,
  /// An item of the store could not be decoded.
  EntryUnreadable,
  /// The opening packet of a flow timed out at the upstream.
  UpstreamSilent,
  /// An upstream leaves requests unanswered, by evidence of this instance or of
  /// others.
  UpstreamUnresponsive,
  UpstreamChecked,
  FlowOpened,
  FlowMoved,
  /// The flow was not in the flow table, usually because its earlier packets
  /// went through another instance; the tag of the packet identified the
  /// upstream.
  FlowAdopted,
  /// A packet of an open flow named another upstream than the flow's.
  FlowTagConflict,
  FlowReset,
  PacketDropped,
  LinesSuppressed
};

constexpr size_t LogEventCount = 30;

std::string_view nameOf(LogEvent Value);

/// Collects structured lines, one JSON object each, for a writer that must not
/// block. Each kind of line is limited in rate and the buffer in size; lines
/// that exceed a limit are dropped and counted.
class EventLog {
public:
  using Fields = nlohmann::ordered_json;

  struct Options {
    /// Name of the instance that writes the log.
    std::string Name;
    /// Maximum number of lines of one kind per second.
    uint32_t LinesPerSecond = 200;
    size_t MaxBytes = size_t{256} * 1024;
    /// The time of day.
    std::function<std::chrono::system_clock::time_point()> WallClock =
        std::chrono::system_clock::now;
  };

  EventLog(Options Opts, const Clock &TimeSource);

  /// Adds a line with the time of day, the instance and what \p Details
  /// returns. \p Details is not called for a suppressed line.
  void write(LogEvent Event, const std::function<Fields()> &Details);

  /// The lines that are not written yet.
  std::string_view pending() const;

  /// Removes the first \p Bytes of pending, which were written.
  void consume(size_t Bytes);

  /// Number of suppressed lines of all kinds.
  uint64_t suppressed() const { return Suppressed; }

private:
  /// Counts a line; false if the limit of this second suppresses it.
  bool countAndCheckLimit(LogEvent Event);
  void startNewSecondIfDue();

  Options Opts;
  const Clock &TimeSource;
  std::string Buffer;
  size_t WrittenBytes = 0;
  TimePoint SecondStart{};
  std::array<uint32_t, LogEventCount> LinesInSecond{};
  std::array<uint32_t, LogEventCount> SuppressedInSecond{};
  uint64_t Suppressed = 0;
};

/// Writes pending lines to a descriptor until the write would block.
void writePending(EventLog &Log, int Descriptor);

} // namespace indigopoint
