#include "work_queue.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

WorkItem workOf(uint64_t Id, uint64_t Flow, int DeadlineMs) {
  WorkItem Item;
  Item.Key.Id = SubmitId(Id);
  Item.Body.Flow = FlowKey(Flow);
  Item.Deadline = TimePoint() + std::chrono::milliseconds(DeadlineMs);
  return Item;
}

std::vector<uint64_t> popAllIds(WorkQueue &Queue) {
  std::vector<uint64_t> Ids;
  while (!Queue.empty())
    Ids.push_back(Queue.pop().Key.Id.value());
  return Ids;
}

using Ids = std::vector<uint64_t>;

// Guards against missing a deadline that another order would meet.
TEST(WorkQueueTest, EarliestDeadlineFirst) {
  WorkQueue Queue;
  Queue.push(workOf(1, 1, 300));
  Queue.push(workOf(2, 2, 100));
  Queue.push(workOf(3, 3, 200));
  EXPECT_EQ(popAllIds(Queue), (Ids{2, 3, 1}));
}

// Guards against one flow that occupies all slots with early deadlines.
TEST(WorkQueueTest, OneRequestPerFlowAndRound) {
  WorkQueue Queue;
  for (uint64_t Id = 1; Id <= 4; ++Id)
    Queue.push(workOf(Id, 1, 100 + static_cast<int>(Id)));
  Queue.push(workOf(5, 2, 900));
  EXPECT_EQ(popAllIds(Queue), (Ids{1, 5, 2, 3, 4}));
}

// Guards against serving a flow twice in a round when it sends its next request
// at once.
TEST(WorkQueueTest, ServedFlowWaitsForTheNextRound) {
  WorkQueue Queue;
  Queue.push(workOf(1, 1, 100));
  Queue.push(workOf(2, 2, 900));
  EXPECT_EQ(Queue.pop().Key.Id, SubmitId(1));
  Queue.push(workOf(3, 1, 200));
  EXPECT_EQ(popAllIds(Queue), (Ids{2, 3}));
}

// Guards against a request with a late deadline that is served in an earlier
// round than an urgent request of the same flow.
TEST(WorkQueueTest, UrgentRequestGetsTheFirstRoundOfItsFlow) {
  WorkQueue Queue;
  Queue.push(workOf(1, 1, 900));
  Queue.push(workOf(2, 2, 500));
  Queue.push(workOf(3, 1, 100));
  EXPECT_EQ(popAllIds(Queue), (Ids{3, 2, 1}));
}

TEST(WorkQueueTest, RequestsAheadCountsRequestsServedEarlier) {
  WorkQueue Queue;
  Queue.push(workOf(1, 1, 100));
  Queue.push(workOf(2, 2, 300));
  const TimePoint Deadline = TimePoint() + std::chrono::milliseconds(200);
  EXPECT_EQ(Queue.requestsAhead(FlowKey(3), Deadline), 1U);
  EXPECT_EQ(Queue.requestsAhead(FlowKey(1), Deadline), 2U);
}

TEST(WorkQueueTest, PopExpiredRemovesExpiredRequests) {
  WorkQueue Queue;
  Queue.push(workOf(1, 1, 100));
  Queue.push(workOf(2, 2, 300));
  const TimePoint Now = TimePoint() + std::chrono::milliseconds(100);
  EXPECT_EQ(Queue.popExpired(Now).size(), 1U);
  EXPECT_EQ(popAllIds(Queue), (Ids{2}));
}

} // namespace
} // namespace indigopoint
