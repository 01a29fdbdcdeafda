#include "event_log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

EventLog::Options options() {
  EventLog::Options Out;
  Out.Name = "lim-a-1";
  Out.LinesPerSecond = 3;
  Out.MaxBytes = 1000;
  Out.WallClock = [] {
    return std::chrono::system_clock::time_point(1700000000123ms);
  };
  return Out;
}

EventLog::Fields details() { return {{"flow", "1.2.3.4:5>6.7.8.9:10"}}; }

TEST(EventLogTest, WritesOneJsonObjectPerLine) {
  ManualClock TimeSource;
  EventLog Log(options(), TimeSource);
  Log.write(LogEvent::FlowOpened, details);
  EXPECT_EQ(Log.pending(),
            "{\"time\":\"2023-11-14T22:13:20.123Z\",\"instance\":\"lim-a-1\","
            "\"event\":\"flow-opened\",\"flow\":\"1.2.3.4:5>6.7.8.9:10\"}\n");
}

// Guards against a flood of one kind of line that suppresses other kinds.
TEST(EventLogTest, LimitsTheRateOfEachKind) {
  ManualClock TimeSource;
  EventLog Log(options(), TimeSource);
  for (int Index = 0; Index < 10; ++Index)
    Log.write(LogEvent::PacketDropped, details);
  EXPECT_EQ(Log.suppressed(), 7U);
  Log.consume(Log.pending().size());
  Log.write(LogEvent::StoreLost, details);
  EXPECT_NE(Log.pending().find("store-lost"), std::string::npos);
  Log.consume(Log.pending().size());
  TimeSource.advance(1s);
  Log.write(LogEvent::StoreRegained, details);
  EXPECT_NE(Log.pending().find("\"lines\":{\"packet-dropped\":7}"),
            std::string::npos);
}

TEST(EventLogTest, LimitsTheBufferSize) {
  ManualClock TimeSource;
  EventLog Log(options(), TimeSource);
  for (int Index = 0; Index < 100; ++Index) {
    TimeSource.advance(1s);
    Log.write(LogEvent::FlowOpened, details);
  }
  EXPECT_LT(Log.pending().size(), 1400U);
  EXPECT_GT(Log.suppressed(), 50U);
}

TEST(EventLogTest, ReplacesInvalidUtf8) {
  ManualClock TimeSource;
  EventLog Log(options(), TimeSource);
  Log.write(LogEvent::EntryUnreadable, [] {
    return EventLog::Fields{{"key", "servers/\xff\xfe"}};
  });
  EXPECT_NE(Log.pending().find("entry-unreadable"), std::string::npos);
}

// Guards against a writer that blocks because nobody reads from the pipe.
TEST(EventLogTest, WritePendingDoesNotBlock) {
  ManualClock TimeSource;
  EventLog::Options Opts = options();
  Opts.LinesPerSecond = 100'000;
  Opts.MaxBytes = size_t{1024} * 1024;
  EventLog Log(Opts, TimeSource);
  for (int Index = 0; Index < 5000; ++Index)
    Log.write(LogEvent::FlowOpened, details);
  int Pipe[2];
  ASSERT_EQ(pipe(Pipe), 0);
  writePending(Log, Pipe[1]);
  EXPECT_FALSE(Log.pending().empty());
  close(Pipe[0]);
  close(Pipe[1]);
}

TEST(EventLogTest, NamesEveryEvent) {
  for (size_t Index = 0; Index < LogEventCount; ++Index)
    EXPECT_FALSE(nameOf(static_cast<LogEvent>(Index)).empty());
  EXPECT_EQ(nameOf(LogEvent::LinesSuppressed), "lines-suppressed");
}

} // namespace
} // namespace indigopoint
