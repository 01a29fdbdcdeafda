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
    "snapshot-taken",
    "configuration-applied",
    "configuration-ignored",
    "upstream-changed",
    "entry-unreadable",
    "upstream-silent",
    "upstream-checked",
    "flow-opened",
    "flow-moved",
    "flow-adopted",
    "flow-reset",
    "packet-dropped",
    "lines-suppressed"};

// A pipe takes this much without blocking when it is reported writable.
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

EventLog::EventLog(Settings Given, const Clock &TimeSource)
    : Given(std::move(Given)), TimeSource(TimeSource) {}

void EventLog::startSecond() {
  constexpr Duration Second = std::chrono::seconds(1);
  const TimePoint Now = TimeSource.now();
  if (Now - SecondStart < Second)
    return;
  SecondStart = Now;
  InSecond = {};
  const auto Last = SuppressedInSecond;
  SuppressedInSecond = {};
  Fields Counts;
  for (size_t Index = 0; Index < LogEventCount; ++Index)
    if (Last[Index] > 0)
      Counts[std::string(EventNames[Index])] = Last[Index];
  if (!Counts.empty())
    write(LogEvent::LinesSuppressed, [&] {
      return Fields{{"lines", std::move(Counts)}};
    });
}

bool EventLog::accepts(LogEvent Event) {
  startSecond();
  const auto Index = static_cast<size_t>(Event);
  if (InSecond[Index] < Given.LinesPerSecond &&
      Buffer.size() - Written < Given.MaxBytes) {
    ++InSecond[Index];
    return true;
  }
  ++SuppressedInSecond[Index];
  ++Suppressed;
  return false;
}

void EventLog::write(LogEvent Event, const std::function<Fields()> &Details) {
  if (!accepts(Event))
    return;
  Fields Line = {{"time", format(Given.WallClock())},
                 {"instance", Given.Name},
                 {"event", nameOf(Event)}};
  Line.update(Details());
  // Names come from outside and may hold bytes that are no UTF-8.
  Buffer += Line.dump(-1, ' ', false, Fields::error_handler_t::replace);
  Buffer += '\n';
}

std::string_view EventLog::pending() const {
  return std::string_view(Buffer).substr(Written);
}

void EventLog::consume(size_t Bytes) {
  Written = std::min(Written + Bytes, Buffer.size());
  if (Written == Buffer.size()) {
    Buffer.clear();
    Written = 0;
  } else if (Written > Buffer.size() / 2) {
    Buffer.erase(0, Written);
    Written = 0;
  }
}

void writePending(EventLog &Log, int Descriptor) {
  while (!Log.pending().empty()) {
    pollfd Ready{Descriptor, POLLOUT, 0};
    if (poll(&Ready, 1, 0) <= 0 || (Ready.revents & POLLOUT) == 0)
      return;
    const std::string_view Next = Log.pending().substr(0, WriteBytes);
    const ssize_t Done = ::write(Descriptor, Next.data(), Next.size());
    if (Done <= 0)
      return;
    Log.consume(Done);
  }
}

} // namespace indigopoint
