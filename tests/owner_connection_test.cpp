#include <set>

#include "connection_table.h"
#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerConnectionTest : public OwnerTest {
protected:
  OwnerConnectionTest() : Chat(addUpstream("chat-0")) { configure(); }

  void pong(ConnectionId Id) {
    ActionSink Sink;
    Owner->onPong(configOf(Chat).Address, {Id}, Sink);
    collect(Sink);
  }

  ConnectionId serveAndGetConnection(uint64_t Flow) {
    submit(submission(NextId++, Chat, Flow));
    const Dispatch Sent = takeOneSent<Dispatch>();
    answer(Sent, Chat);
    takeSent<SubmitResult>();
    return Sent.Connection;
  }

  uint64_t NextId = 1000;
  UpstreamId Chat;
};

// Guards against flows that share one connection and fail together with it.
TEST_F(OwnerConnectionTest, EveryFlowHasItsOwnConnection) {
  const ConnectionId First = serveAndGetConnection(1);
  EXPECT_NE(serveAndGetConnection(2), First);
  EXPECT_EQ(serveAndGetConnection(1), First);
}

// Guards against a second copy of an answer that arrives late, while the next
// request of the flow is in progress on the same connection.
TEST_F(OwnerConnectionTest, SecondCopyOfAnAnswerIsNoAnswerToTheNextRequest) {
  submit(submission(1, Chat, 1));
  const Dispatch First = takeOneSent<Dispatch>();
  answer(First, Chat);
  ASSERT_EQ(takeSent<SubmitResult>().size(), 1U);
  submit(submission(2, Chat, 1));
  const Dispatch Second = takeOneSent<Dispatch>();
  ASSERT_EQ(Second.Connection, First.Connection);
  answer(First, Chat);
  EXPECT_TRUE(takeSent<SubmitResult>().empty());
  answer(Second, Chat);
  EXPECT_EQ(takeSent<SubmitResult>().size(), 1U);
}

// Guards against a new owner process that reuses a connection id of an earlier
// process.
TEST(ConnectionIdSourceTest, ProcessesUseDifferentIds) {
  std::set<ConnectionId> Seen;
  for (uint64_t Boot = 1; Boot <= 50; ++Boot) {
    ConnectionIdSource Ids{BootId(Boot)};
    for (int Index = 0; Index < 100; ++Index)
      EXPECT_TRUE(Seen.insert(Ids.next()).second);
  }
}

// Guards against detecting an unresponsive idle connection only with its next
// request.
TEST_F(OwnerConnectionTest, ThreeMissedPingsReplaceTheConnection) {
  const ConnectionId OldConnection = serveAndGetConnection(1);
  pass(milliseconds(4900));
  EXPECT_TRUE(takeSent<Ping>().empty());
  pass(milliseconds(200));
  EXPECT_EQ(takeOneSent<Ping>().Connection, OldConnection);
  pass(seconds(14));
  EXPECT_EQ(takeSent<Ping>().size(), 2U);
  EXPECT_TRUE(takeSent<CloseConnection>().empty());
  pass(seconds(2));
  EXPECT_EQ(takeOneSent<CloseConnection>().Connection, OldConnection);
  EXPECT_NE(serveAndGetConnection(1), OldConnection);
}

TEST_F(OwnerConnectionTest, AnsweredPingsKeepTheConnection) {
  const ConnectionId OldConnection = serveAndGetConnection(1);
  for (int Round = 0; Round < 6; ++Round) {
    pass(milliseconds(5100));
    const std::vector<Ping> Pings = takeSent<Ping>();
    EXPECT_EQ(Pings.size(), 1U);
    for (const Ping &Pinged : Pings)
      pong(Pinged.Connection);
  }
  EXPECT_TRUE(takeSent<CloseConnection>().empty());
  EXPECT_EQ(serveAndGetConnection(1), OldConnection);
}

// Guards against ejecting an upstream because of one unresponsive connection,
// and against keeping that connection.
TEST_F(OwnerConnectionTest, UnresponsiveConnectionAmongWorkingOnesIsReplaced) {
  std::set<ConnectionId> Connections;
  for (uint64_t Round = 0; Round < 8; ++Round) {
    submit(submission(Round, Chat, 1, milliseconds(100)));
    Connections.insert(takeOneSent<Dispatch>().Connection);
    pass(milliseconds(20));
    serveAndGetConnection(2);
    pass(milliseconds(300));
  }
  EXPECT_EQ(Connections.size(), 8U);
  EXPECT_EQ(takeSent<CloseConnection>().size(), 8U);
  pass(seconds(1));
  EXPECT_FALSE(Board.ReportedLoads[Chat].Load.Ejected);
}

// Guards against closing a connection while a request on it is in progress.
TEST_F(OwnerConnectionTest, ReplacedConnectionClosesAfterItsLastDispatch) {
  submit(submission(1, Chat, 1, milliseconds(100)));
  submit(submission(2, Chat, 1, seconds(5)));
  const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
  ASSERT_EQ(Dispatches.size(), 2U);
  pass(milliseconds(300));
  EXPECT_TRUE(takeSent<CloseConnection>().empty());
  answer(Dispatches[1], Chat);
  EXPECT_EQ(takeOneSent<CloseConnection>().Connection,
            Dispatches[1].Connection);
}

TEST_F(OwnerConnectionTest, ReleasedFlowClosesItsConnection) {
  const ConnectionId OldConnection = serveAndGetConnection(1);
  ActionSink Sink;
  Owner->onReleaseFlow({Chat, FlowKey(1)}, Sink);
  collect(Sink);
  EXPECT_EQ(takeOneSent<CloseConnection>().Connection, OldConnection);
}

// Guards against flows of failed home instances that occupy connections
// forever.
TEST_F(OwnerConnectionTest, IdleFlowIsRemoved) {
  Service.IdleTimeout = seconds(30);
  configure();
  serveAndGetConnection(1);
  pass(seconds(92));
  EXPECT_EQ(Board.ReportedLoads[Chat].Load.Flows, 0U);
}

// Limits the ping traffic: without a limit, 500,000 idle connections would
// cause 100,000 pings a second.
TEST_F(OwnerConnectionTest, PingsPerSecondAreBounded) {
  for (uint64_t Flow = 1; Flow <= 1990; ++Flow)
    serveAndGetConnection(Flow);
  pass(seconds(5));
  takeSent<Ping>();
  pass(seconds(10));
  const size_t Pings = takeSent<Ping>().size();
  EXPECT_LE(Pings, 2000U);
  EXPECT_GE(Pings, 1900U);
}

} // namespace
} // namespace indigopoint
