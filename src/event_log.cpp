#include "event_log.h"

#include <algorithm>
#include <chrono>
#include <ctime>

#include <poll.h>
#include <unistd.h>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, LogEventCount> EventNames = {
    "started",
    "stopping",
    "stopped",
    "settings-reloaded",
    "settings-refused",
    "store-lost",
    "store-regained",
    "upstreams-lost",
    "upstreams-regained",
    "store-restored",
    "registration-outdated",
    "pause-noticed",
    "snapshot-taken",
    "configuration-applied",
    "configuration-ignored",
    "configuration-deferred",
    "upstream-changed",
    "evacuation-started",
    "evacuation-ended",
    "entry-unreadable",
    "upstream-silent",
    "upstream-unresponsive",
    "upstream-checked",
    "flow-opened",
    "flow-moved",
    "flow-adopted",
    "flow-tag-conflict",
    "flow-reset",
    "packet-dropped",
    "lines-suppressed"};

// A pipe that poll reports as writable accepts this much without blocking.
constexpr size_t WriteBytes = 4096;

std::string format(std::chrono::system_clock::time_point Now) {
  using namespace std::chrono;
  const std::time_t Seconds = system_clock::to_time_t(Now);
  const auto Milliseconds =
      duration_cast<milliseconds>(Now.time_since_epoch()).count() % 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[40];
  const size_t Length =
      std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%S.", &Parts);
  const std::string Fraction = std::to_string(1000 + Milliseconds);
  return std::string(Text, Length) + Fraction.substr(1) + "Z";
}

} // namespace

std::string_view nameOf(LogEvent Value) {
  return EventNames.at(static_cast<size_t>(Value));
}

EventLog::EventLog(Options Opts, const Clock &TimeSource)
    : Opts(std::move(Opts)), TimeSource(TimeSource) {}

void EventLog::startNewSecondIfDue() {
  constexpr Duration Second = std::chrono::seconds(1);
  const TimePoint Now = TimeSource.now();
  if (Now - SecondStart < Second)
    return;
  SecondStart = Now;
  LinesInSecond = {};
  const auto PreviousSuppressed = SuppressedInSecond;
  SuppressedInSecond = {};
  Fields Counts;
  for (size_t Index = 0; Index < LogEventCount; ++Index)
    if (PreviousSuppressed[Index] > 0)
      Counts[std::string(EventNames[Index])] = PreviousSuppressed[Index];
  if (!Counts.empty())
    write(LogEvent::LinesSuppressed, [&] {
      return Fields{{"lines", std::move(Counts)}};
    });
}

bool EventLog::countAndCheckLimit(LogEvent Event) {
  startNewSecondIfDue();
  const auto Index = static_cast<size_t>(Event);
  if (LinesInSecond[Index] < Opts.LinesPerSecond &&
      Buffer.size() - WrittenBytes < Opts.MaxBytes) {
    ++LinesInSecond[Index];
    return true;
  }
  ++SuppressedInSecond[Index];
  ++Suppressed;
  return false;
}

void EventLog::write(LogEvent Event, const std::function<Fields()> &Details) {
  if (!countAndCheckLimit(Event))
    return;
  Fields Line = {{"time", format(Opts.WallClock())},
                 {"instance", Opts.Name},
                 {"event", nameOf(Event)}};
  Line.update(Details());
  // Names come from other programs and may hold bytes that are not UTF-8.
  Buffer += Line.dump(-1, ' ', false, Fields::error_handler_t::replace);
  Buffer += '\n';
}

std::string_view EventLog::pending() const {
  return std::string_view(Buffer).substr(WrittenBytes);
}

void EventLog::consume(size_t Bytes) {
  WrittenBytes = std::min(WrittenBytes + Bytes, Buffer.size());
  if (WrittenBytes == Buffer.size()) {
    Buffer.clear();
    WrittenBytes = 0;
  } else if (WrittenBytes > Buffer.size() / 2) {
    Buffer.erase(0, WrittenBytes);
    WrittenBytes = 0;
  }
}

void writePending(EventLog &Log, int Descriptor) {
  while (!Log.pending().empty()) {
    pollfd Ready{Descriptor, POLLOUT, 0};
    if (poll(&Ready, 1, 0) <= 0 || (Ready.revents & POLLOUT) == 0)
      return;
    const std::string_view Chunk = Log.pending().substr(0, WriteBytes);
    const ssize_t BytesWritten =
        ::write(Descriptor, Chunk.data(), Chunk.size());
    if (BytesWritten <= 0)
      return;
    Log.consume(BytesWritten);
  }
}

} // namespace indigopoint
