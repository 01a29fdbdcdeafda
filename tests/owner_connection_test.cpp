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

  ConnectionId connectionOf(uint64_t Flow) {
    submit(submission(NextId++, Chat, Flow));
    const Dispatch Sent = takeOne<Dispatch>();
    answer(Sent, Chat);
    take<SubmitResult>();
    return Sent.Connection;
  }

  uint64_t NextId = 1000;
  UpstreamId Chat;
};

// Guards against flows that share the fate of one connection.
TEST_F(OwnerConnectionTest, EveryFlowHasItsOwnConnection) {
  const ConnectionId First = connectionOf(1);
  EXPECT_NE(connectionOf(2), First);
  EXPECT_EQ(connectionOf(1), First);
}

// Guards against a new owner process that uses a connection of the old one.
TEST(ConnectionIdSourceTest, ProcessesUseDifferentIds) {
  std::set<ConnectionId> Seen;
  for (uint64_t Boot = 1; Boot <= 50; ++Boot) {
    ConnectionIdSource Ids{BootId(Boot)};
    for (int Index = 0; Index < 100; ++Index)
      EXPECT_TRUE(Seen.insert(Ids.next()).second);
  }
}

// Guards F9: an idle connection that went silent is found before its next
// request.
TEST_F(OwnerConnectionTest, ThreeMissedPingsReplaceTheConnection) {
  const ConnectionId Old = connectionOf(1);
  pass(milliseconds(4900));
  EXPECT_TRUE(take<Ping>().empty());
  pass(milliseconds(200));
  EXPECT_EQ(takeOne<Ping>().Connection, Old);
  pass(seconds(14));
  EXPECT_EQ(take<Ping>().size(), 2U);
  EXPECT_TRUE(take<CloseConnection>().empty());
  pass(seconds(2));
  EXPECT_EQ(takeOne<CloseConnection>().Connection, Old);
  EXPECT_NE(connectionOf(1), Old);
}

TEST_F(OwnerConnectionTest, AnsweredPingsKeepTheConnection) {
  const ConnectionId Old = connectionOf(1);
  for (int Round = 0; Round < 6; ++Round) {
    pass(milliseconds(5100));
    const std::vector<Ping> Pings = take<Ping>();
    EXPECT_EQ(Pings.size(), 1U);
    for (const Ping &Each : Pings)
      pong(Each.Connection);
  }
  EXPECT_TRUE(take<CloseConnection>().empty());
  EXPECT_EQ(connectionOf(1), Old);
}

// Guards F9 against ejecting an upstream for one silent connection, and
// against keeping that connection.
TEST_F(OwnerConnectionTest, SilentConnectionAmongWorkingOnesIsReplaced) {
  std::set<ConnectionId> Used;
  for (uint64_t Round = 0; Round < 8; ++Round) {
    submit(submission(Round, Chat, 1, milliseconds(100)));
    Used.insert(takeOne<Dispatch>().Connection);
    pass(milliseconds(20));
    connectionOf(2);
    pass(milliseconds(300));
  }
  EXPECT_EQ(Used.size(), 8U);
  EXPECT_EQ(take<CloseConnection>().size(), 8U);
  pass(seconds(1));
  EXPECT_FALSE(Board.ReportedLoads[Chat].Load.Ejected);
}

// Guards against closing a connection under a request in progress.
TEST_F(OwnerConnectionTest, ReplacedConnectionClosesAfterItsLastDispatch) {
  submit(submission(1, Chat, 1, milliseconds(100)));
  submit(submission(2, Chat, 1, seconds(5)));
  const std::vector<Dispatch> Open = take<Dispatch>();
  ASSERT_EQ(Open.size(), 2U);
  pass(milliseconds(300));
  EXPECT_TRUE(take<CloseConnection>().empty());
  answer(Open[1], Chat);
  EXPECT_EQ(takeOne<CloseConnection>().Connection, Open[1].Connection);
}

TEST_F(OwnerConnectionTest, ReleasedFlowClosesItsConnection) {
  const ConnectionId Old = connectionOf(1);
  ActionSink Sink;
  Owner->onReleaseFlow({Chat, FlowKey(1)}, Sink);
  collect(Sink);
  EXPECT_EQ(takeOne<CloseConnection>().Connection, Old);
}

// Guards against connections that fill up with flows whose home died.
TEST_F(OwnerConnectionTest, FlowWithoutRequestsIsForgotten) {
  Service.IdleTimeout = seconds(30);
  configure();
  connectionOf(1);
  pass(seconds(92));
  EXPECT_EQ(Board.ReportedLoads[Chat].Load.Flows, 0U);
}

// Guards the control budget: 500,000 idle connections would be 100,000 pings
// a second without a bound.
TEST_F(OwnerConnectionTest, PingsPerSecondAreBounded) {
  for (uint64_t Flow = 1; Flow <= 1990; ++Flow)
    connectionOf(Flow);
  pass(seconds(5));
  take<Ping>();
  pass(seconds(10));
  const size_t Pings = take<Ping>().size();
  EXPECT_LE(Pings, 2000U);
  EXPECT_GE(Pings, 1900U);
}

} // namespace
} // namespace indigopoint
