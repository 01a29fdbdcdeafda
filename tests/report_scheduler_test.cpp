#include "report_scheduler.h"

#include <algorithm>
#include <memory>

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Endpoint Self{0x0a010001, 8166};

UpstreamEvidence evidence(uint64_t Id, Duration Age = {}) {
  return {UpstreamId(Id), 1000, Age};
}

class ReportSchedulerTest : public testing::Test {
protected:
  ReportScheduler makeSender(Endpoint Address, uint32_t StartedAtS) {
    return {{Address, "lim-a", StartedAtS}, TimeSource};
  }

  // Takes the reports that are due until \p Period has passed.
  std::vector<PeerReport> run(ReportScheduler &Sender, Duration Period) {
    std::vector<PeerReport> Out;
    const TimePoint End = TimeSource.Now + Period;
    while (Sender.nextReportAt() < End) {
      TimeSource.Now = std::max(TimeSource.Now, Sender.nextReportAt());
      if (auto Report = Sender.takeReport())
        Out.push_back(*Report);
    }
    TimeSource.Now = End;
    return Out;
  }

  ManualClock TimeSource;
  ReportScheduler Scheduler = makeSender(Self, 1000);
};

TEST_F(ReportSchedulerTest, IsSilentWithoutEvidence) {
  EXPECT_TRUE(run(Scheduler, minutes(1)).empty());
}

TEST_F(ReportSchedulerTest, ReportsEvidenceAtOnce) {
  run(Scheduler, seconds(5));
  Scheduler.addEvidence(evidence(7));
  EXPECT_LE(Scheduler.nextReportAt(), TimeSource.Now);
  const auto Report = Scheduler.takeReport();
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->Evidence, std::vector{evidence(7)});
  EXPECT_EQ(Report->Sender, Self);
  EXPECT_EQ(Report->Zone, "lim-a");
  EXPECT_FALSE(Scheduler.takeReport());
}

// Guards against a flood of reports when many upstreams fail, and against
// evidence that is lost because a report is full.
TEST_F(ReportSchedulerTest, SpreadsABurstOfEvidence) {
  for (uint64_t Id = 1; Id <= 150; ++Id)
    Scheduler.addEvidence(evidence(Id));
  const TimePoint Start = TimeSource.Now;
  const auto Reports = run(Scheduler, seconds(1));
  EXPECT_LE(Reports.size(), 10U);
  size_t Count = 0;
  for (const PeerReport &Report : Reports)
    Count += Report.Evidence.size();
  EXPECT_EQ(Count, 150U);
  EXPECT_EQ(TimeSource.Now - Start, Duration(seconds(1)));
}

TEST_F(ReportSchedulerTest, SendsAtMostTenReportsOfEvidenceASecond) {
  std::vector<TimePoint> SentAt;
  for (uint64_t Step = 0; Step < 5000; ++Step) {
    Scheduler.addEvidence(evidence(Step));
    if (Scheduler.nextReportAt() <= TimeSource.Now && Scheduler.takeReport())
      SentAt.push_back(TimeSource.Now);
    TimeSource.advance(milliseconds(1));
  }
  for (size_t Index = 10; Index < SentAt.size(); ++Index)
    EXPECT_GE(SentAt[Index] - SentAt[Index - 10], Duration(seconds(1)));
  EXPECT_GE(SentAt.size(), 48U);
}

// Guards against an upstream that fails constantly and displaces the evidence
// on others.
TEST_F(ReportSchedulerTest, KeepsTheNewestEvidenceOfAnUpstream) {
  for (int Count = 0; Count < 1000; ++Count)
    Scheduler.addEvidence(evidence(7, milliseconds(1000 - Count)));
  Scheduler.addEvidence(evidence(8));
  const auto Report = Scheduler.takeReport();
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->Evidence,
            (std::vector{evidence(8), evidence(7, milliseconds(1))}));
}

TEST_F(ReportSchedulerTest, DropsEvidenceThatBecameOutdated) {
  Scheduler.addEvidence(evidence(7, milliseconds(1500)));
  TimeSource.advance(milliseconds(501));
  EXPECT_FALSE(Scheduler.takeReport());
  PeerReport Received;
  Received.Evidence = {evidence(1, milliseconds(2000)),
                       evidence(2, milliseconds(2001))};
  removeOutdatedEvidence(Received);
  EXPECT_EQ(Received.Evidence, std::vector{evidence(1, milliseconds(2000))});
}

TEST_F(ReportSchedulerTest, BoundsPendingEvidence) {
  for (uint64_t Id = 1; Id <= 100'000; ++Id)
    Scheduler.addEvidence(evidence(Id));
  EXPECT_LE(run(Scheduler, minutes(1)).size(), 21U);
}

class ReceivedReportTest : public ReportSchedulerTest {
protected:
  PeerReport next(ReportScheduler &Sender) {
    Sender.addEvidence(evidence(++LastId));
    while (true) {
      if (auto Report = Sender.takeReport())
        return *Report;
      TimeSource.advance(milliseconds(10));
    }
  }

  uint64_t LastId = 0;
  ReportScheduler Peer = makeSender({0x0a010002, 8166}, 1000);
};

TEST_F(ReceivedReportTest, IgnoresDuplicatedAndReorderedReports) {
  const PeerReport First = next(Peer);
  const PeerReport Second = next(Peer);
  const PeerReport Third = next(Peer);
  EXPECT_TRUE(Scheduler.accept(First));
  EXPECT_FALSE(Scheduler.accept(First));
  EXPECT_TRUE(Scheduler.accept(Third));
  EXPECT_FALSE(Scheduler.accept(Second));
  EXPECT_FALSE(Scheduler.accept(Third));
}

// Guards against a receiver that waits for a lost report.
TEST_F(ReceivedReportTest, AcceptsReportsAfterLostOnes) {
  EXPECT_TRUE(Scheduler.accept(next(Peer)));
  for (int Count = 0; Count < 100; ++Count)
    next(Peer);
  EXPECT_TRUE(Scheduler.accept(next(Peer)));
}

TEST_F(ReceivedReportTest, KeepsSendersApart) {
  ReportScheduler Other = makeSender({0x0a010003, 8166}, 5);
  EXPECT_TRUE(Scheduler.accept(next(Peer)));
  EXPECT_TRUE(Scheduler.accept(next(Other)));
  EXPECT_TRUE(Scheduler.accept(next(Peer)));
}

TEST_F(ReceivedReportTest, ARestartedSenderBeginsAnew) {
  TimeSource.advance(minutes(5));
  const PeerReport Before = next(Peer);
  EXPECT_TRUE(Scheduler.accept(Before));
  ReportScheduler Restarted = makeSender({0x0a010002, 8166}, 1301);
  EXPECT_TRUE(Scheduler.accept(next(Restarted)));
  EXPECT_TRUE(Scheduler.accept(next(Restarted)));
  EXPECT_FALSE(Scheduler.accept(Before)) << "from before the restart";
}

// Guards against an instance that is never heard again after the clock of its
// machine was set back.
TEST_F(ReceivedReportTest, AcceptsARestartedSenderWhoseClockWasSetBack) {
  EXPECT_TRUE(Scheduler.accept(next(Peer)));
  ReportScheduler Restarted = makeSender({0x0a010002, 8166}, 500);
  EXPECT_FALSE(Scheduler.accept(next(Restarted)));
  TimeSource.advance(seconds(31));
  EXPECT_TRUE(Scheduler.accept(next(Restarted)));
  EXPECT_TRUE(Scheduler.accept(next(Restarted)));
}

// Guards against a paused receiver that takes the reports which waited in its
// socket as new.
TEST_F(ReceivedReportTest, IgnoresReportsThatWereDelayed) {
  for (int Count = 0; Count < 10; ++Count)
    EXPECT_TRUE(Scheduler.accept(next(Peer)));
  std::vector<PeerReport> Waiting;
  for (int Count = 0; Count < 100; ++Count) {
    Waiting.push_back(next(Peer));
    TimeSource.advance(milliseconds(200));
  }
  size_t Accepted = 0;
  for (const PeerReport &Report : Waiting)
    Accepted += Scheduler.accept(Report) ? 1 : 0;
  EXPECT_LE(Accepted, 11U);
  EXPECT_GE(Accepted, 5U) << "the last two seconds";
  EXPECT_TRUE(Scheduler.accept(next(Peer)));
}

// Guards against a sender that is ignored for ever after its machine, and with
// it the clock, was suspended.
TEST_F(ReceivedReportTest, AcceptsASenderWhoseClockStoodStill) {
  std::vector<PeerReport> Reports;
  for (int Count = 0; Count < 200; ++Count) {
    Reports.push_back(next(Peer));
    TimeSource.advance(milliseconds(500));
  }
  size_t Accepted = 0;
  for (size_t Index = 0; Index < Reports.size(); ++Index) {
    if (Index == 100)
      TimeSource.advance(minutes(1));
    Accepted += Scheduler.accept(Reports[Index]) ? 1 : 0;
    TimeSource.advance(milliseconds(500));
  }
  EXPECT_GE(Accepted, 150U);
  EXPECT_LT(Accepted, 200U);
}

// Guards against memory that grows with forged addresses, and against live
// senders that are forgotten for their sake.
TEST_F(ReceivedReportTest, BoundsTheNumberOfSenders) {
  const PeerReport Known = next(Peer);
  EXPECT_TRUE(Scheduler.accept(Known));
  PeerReport Forged = Known;
  size_t Accepted = 0;
  for (uint16_t Port = 1; Port < 20'000; ++Port) {
    Forged.Sender.Port = Port;
    Accepted += Scheduler.accept(Forged) ? 1 : 0;
  }
  EXPECT_LE(Accepted, 4096U);
  EXPECT_FALSE(Scheduler.accept(Known));
  EXPECT_TRUE(Scheduler.accept(next(Peer)));
  TimeSource.advance(minutes(1));
  Forged.Sender.Port = 30'000;
  EXPECT_TRUE(Scheduler.accept(Forged)) << "after the others expired";
}

} // namespace
} // namespace indigopoint
