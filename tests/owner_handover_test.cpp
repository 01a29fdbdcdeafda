#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerHandoverTest : public OwnerTest {
protected:
  OwnerHandoverTest() : Chat(addUpstream("chat-0")) { configure(); }

  void drop() {
    Board.CurrentOwnership.setOwner(Chat, instanceIdOf("sibling"));
    ActionSink Sink;
    Owner->dropUpstream(Chat, Sink);
    collect(Sink);
  }

  void import(uint32_t InProgress, uint32_t Flows) {
    HandoverBatch Batch;
    Batch.Upstreams.push_back({Chat, InProgress, Flows, 0});
    Owner->importBatch(Batch);
  }

  UpstreamId Chat;
};

TEST_F(OwnerHandoverTest, ExportHoldsRequestsAndFlows) {
  serve(1, Chat, 1);
  submit(submission(2, Chat, 2));
  HandoverBatch Batch;
  Owner->exportUpstream(Chat, Batch);
  ASSERT_EQ(Batch.Upstreams.size(), 1U);
  EXPECT_EQ(Batch.Upstreams[0].InProgress, 1U);
  EXPECT_EQ(Batch.Upstreams[0].Flows, 2U);
  EXPECT_EQ(Batch.Upstreams[0].DrainingCode, 0U);
}

// Guards P7: requests in progress end at the old owner, queued ones run at the
// new one.
TEST_F(OwnerHandoverTest, OldOwnerEndsDispatchesAndReturnsItsQueue) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<Dispatch> Open = takeSent<Dispatch>();
  drop();
  const SubmitResult Queued = takeOneSent<SubmitResult>();
  EXPECT_EQ(Queued.Id, SubmitId(3));
  EXPECT_EQ(Queued.Status, SubmitStatus::NotOwner);
  pass(milliseconds(50));
  answer(Open.at(0), Chat, DispatchStatus::Done, "late");
  EXPECT_EQ(takeOneSent<SubmitResult>().Payload, "late");
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against a request that is cut because its connection was closed.
TEST_F(OwnerHandoverTest, OldOwnerClosesConnectionsAfterTheirDispatches) {
  serve(1, Chat, 1);
  submit(submission(2, Chat, 2));
  const Dispatch Open = takeOneSent<Dispatch>();
  drop();
  pass(milliseconds(50));
  EXPECT_NE(takeOneSent<CloseConnection>().Connection, Open.Connection);
  answer(Open, Chat);
  EXPECT_EQ(takeOneSent<CloseConnection>().Connection, Open.Connection);
}

// Guards against exceeding the slots while the old owner's dispatches run.
TEST_F(OwnerHandoverTest, NewOwnerCountsDispatchesOfTheOldOne) {
  import(2, 0);
  submit(submission(1, Chat, 1, seconds(25)));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  UpstreamLoad Rest;
  Rest.Upstream = Chat;
  Rest.Busy = 1;
  receiveLoad(Rest);
  pass(milliseconds(10));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// Guards against slots that stay taken when the old owner's report is lost.
TEST_F(OwnerHandoverTest, OldDispatchesEndByTheirDeadline) {
  import(2, 0);
  pass(seconds(30));
  submit(submission(1, Chat, 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// The same with the import before the upstream is owned here.
TEST_F(OwnerHandoverTest, ImportBeforeOwnershipIsKept) {
  drop();
  import(2, 7);
  Board.CurrentOwnership.setOwner(Chat, Board.Self.Id);
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  pass(seconds(1));
  EXPECT_EQ(Board.ReportedLoads[Chat].Load.Flows, 7U);
}

TEST_F(OwnerHandoverTest, OldOwnerReportsWhatIsLeft) {
  submit(submission(1, Chat, 1, seconds(10)));
  const Dispatch Open = takeOneSent<Dispatch>();
  drop();
  takeSent<LoadReport>();
  pass(seconds(1));
  const std::vector<LoadReport> Reports = takeSent<LoadReport>();
  ASSERT_FALSE(Reports.empty());
  EXPECT_EQ(Reports.back().Loads.at(0).Busy, 1U);
  answer(Open, Chat);
  pass(milliseconds(20));
  EXPECT_EQ(takeOneSent<LoadReport>().Loads.at(0).Busy, 0U);
}

// Guards against inherited flows that are counted twice when they show up.
TEST_F(OwnerHandoverTest, InheritedFlowIsCountedOnce) {
  import(0, 5);
  serve(1, Chat, 1);
  serve(2, Chat, 2);
  pass(seconds(1));
  EXPECT_EQ(Board.ReportedLoads[Chat].Load.Flows, 5U);
}

// Guards P6: the grace of a leaving upstream does not start again at each
// owner.
TEST_F(OwnerHandoverTest, DrainGraceGoesOnAtTheNewOwner) {
  // The drain may have begun 1.1 s before the hint.
  observeHealth(Chat, HealthStatus::Draining);
  pass(milliseconds(1500));
  HandoverBatch Batch;
  Owner->exportUpstream(Chat, Batch);
  drop();
  Owner->importBatch(Batch);
  Board.CurrentOwnership.setOwner(Chat, Board.Self.Id);
  submit(submission(1, Chat, 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
  pass(seconds(1));
  submit(submission(2, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against an ejected upstream that gets full traffic since its owner
// died.
TEST_F(OwnerHandoverTest, TakeoverAfterDeathUsesTheLastReport) {
  drop();
  UpstreamLoad Last;
  Last.Upstream = Chat;
  Last.Flows = 40;
  Last.Ejected = true;
  receiveLoad(Last);
  Board.CurrentOwnership.setOwner(Chat, Board.Self.Id);
  pass(seconds(1));
  EXPECT_EQ(Board.ReportedLoads[Chat].Load.Flows, 40U);
  EXPECT_EQ(Board.ReportedLoads[Chat].Load.WeightPercent, 10U);
}

} // namespace
} // namespace indigopoint
