#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerHandoverTest : public OwnerTest {
protected:
  OwnerHandoverTest() : ChatUpstream(addUpstream("chat-0")) { configure(); }

  void drop() {
    Board.CurrentOwnership.setOwner(ChatUpstream, instanceIdOf("sibling"));
    ActionSink Sink;
    Owner->dropUpstream(ChatUpstream, Sink);
    collect(Sink);
  }

  void import(uint32_t DispatchCount, uint32_t Flows) {
    HandoverBatch Batch;
    Batch.Upstreams.push_back({ChatUpstream, DispatchCount, Flows, 0});
    Owner->importBatch(Batch);
  }

  UpstreamId ChatUpstream;
};

TEST_F(OwnerHandoverTest, ExportContainsRequestsAndFlows) {
  serve(1, ChatUpstream, 1);
  submit(submission(2, ChatUpstream, 2));
  HandoverBatch Batch;
  Owner->exportUpstream(ChatUpstream, Batch);
  ASSERT_EQ(Batch.Upstreams.size(), 1U);
  EXPECT_EQ(Batch.Upstreams[0].InProgress, 1U);
  EXPECT_EQ(Batch.Upstreams[0].Flows, 2U);
  EXPECT_EQ(Batch.Upstreams[0].DrainingCode, 0U);
}

// Guards against a planned change that interrupts requests: those in progress
// finish at the old owner, and queued ones are returned to run at the new
// owner.
TEST_F(OwnerHandoverTest, OldOwnerEndsDispatchesAndReturnsItsQueue) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, ChatUpstream, Id));
  const std::vector<Dispatch> InProgress = takeSent<Dispatch>();
  drop();
  const SubmitResult Queued = takeOneSent<SubmitResult>();
  EXPECT_EQ(Queued.Id, SubmitId(3));
  EXPECT_EQ(Queued.Status, SubmitStatus::NotOwner);
  pass(milliseconds(50));
  answer(InProgress.at(0), ChatUpstream, DispatchStatus::Done, "late");
  EXPECT_EQ(takeOneSent<SubmitResult>().Payload, "late");
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against a request that fails because the old owner closes its
// connection too early.
TEST_F(OwnerHandoverTest, OldOwnerClosesConnectionsAfterTheirDispatches) {
  serve(1, ChatUpstream, 1);
  submit(submission(2, ChatUpstream, 2));
  const Dispatch InProgress = takeOneSent<Dispatch>();
  drop();
  pass(milliseconds(50));
  EXPECT_NE(takeOneSent<CloseConnection>().Connection, InProgress.Connection);
  answer(InProgress, ChatUpstream);
  EXPECT_EQ(takeOneSent<CloseConnection>().Connection, InProgress.Connection);
}

// Guards against exceeding the slots while the old owner's dispatches run.
TEST_F(OwnerHandoverTest, NewOwnerCountsDispatchesOfTheOldOne) {
  import(2, 0);
  submit(submission(1, ChatUpstream, 1, seconds(25)));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  UpstreamLoad RemainingLoad;
  RemainingLoad.Upstream = ChatUpstream;
  RemainingLoad.Busy = 1;
  receiveLoad(RemainingLoad);
  pass(milliseconds(10));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// Guards against slots that stay occupied when the load report of the old owner
// is lost.
TEST_F(OwnerHandoverTest, InheritedDispatchesExpireAfterRequestLifetime) {
  import(2, 0);
  pass(seconds(30));
  submit(submission(1, ChatUpstream, 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// Guards against losing an import that arrives before this instance owns the
// upstream.
TEST_F(OwnerHandoverTest, ImportBeforeOwnershipIsKept) {
  drop();
  import(2, 7);
  Board.CurrentOwnership.setOwner(ChatUpstream, Board.Self.Id);
  submit(submission(1, ChatUpstream, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  pass(seconds(1));
  EXPECT_EQ(Board.ReportedLoads[ChatUpstream].Load.Flows, 7U);
}

TEST_F(OwnerHandoverTest, OldOwnerReportsRemainingDispatches) {
  submit(submission(1, ChatUpstream, 1, seconds(10)));
  const Dispatch InProgress = takeOneSent<Dispatch>();
  drop();
  takeSent<LoadReport>();
  pass(seconds(1));
  const std::vector<LoadReport> Reports = takeSent<LoadReport>();
  ASSERT_FALSE(Reports.empty());
  EXPECT_EQ(Reports.back().Loads.at(0).Busy, 1U);
  answer(InProgress, ChatUpstream);
  pass(milliseconds(20));
  EXPECT_EQ(takeOneSent<LoadReport>().Loads.at(0).Busy, 0U);
}

// Guards against inherited flows that are counted twice when they send their
// first request to the new owner.
TEST_F(OwnerHandoverTest, InheritedFlowIsCountedOnce) {
  import(0, 5);
  serve(1, ChatUpstream, 1);
  serve(2, ChatUpstream, 2);
  pass(seconds(1));
  EXPECT_EQ(Board.ReportedLoads[ChatUpstream].Load.Flows, 5U);
}

// Guards against a grace period of a draining upstream that restarts at each
// new owner and so never ends.
TEST_F(OwnerHandoverTest, DrainGraceContinuesAtNewOwner) {
  // The grace period of this service is 3 s. The drain may have begun 1.1 s
  // before the health result that reports it.
  observeHealth(ChatUpstream, HealthStatus::Draining);
  pass(milliseconds(1500));
  HandoverBatch Batch;
  Owner->exportUpstream(ChatUpstream, Batch);
  drop();
  Owner->importBatch(Batch);
  Board.CurrentOwnership.setOwner(ChatUpstream, Board.Self.Id);
  submit(submission(1, ChatUpstream, 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
  pass(seconds(1));
  submit(submission(2, ChatUpstream, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against an ejected upstream that gets full traffic again because its
// owner died.
TEST_F(OwnerHandoverTest, TakeoverAfterDeathUsesTheLastReport) {
  drop();
  UpstreamLoad LastLoad;
  LastLoad.Upstream = ChatUpstream;
  LastLoad.Flows = 40;
  LastLoad.Ejected = true;
  receiveLoad(LastLoad);
  Board.CurrentOwnership.setOwner(ChatUpstream, Board.Self.Id);
  pass(seconds(1));
  EXPECT_EQ(Board.ReportedLoads[ChatUpstream].Load.Flows, 40U);
  EXPECT_EQ(Board.ReportedLoads[ChatUpstream].Load.WeightPercent, 10U);
}

} // namespace
} // namespace indigopoint
