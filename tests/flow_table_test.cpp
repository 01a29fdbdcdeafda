#include "flow_table.h"

#include <map>
#include <set>

#include <gtest/gtest.h>

#include "placement.h"
#include "random_source.h"

namespace indigopoint {
namespace {

// Guards against entries that are lost or found twice after growth and removal:
// the table must agree with a std::map after random operations.
TEST(FlowTableTest, AgreesWithAMapUnderRandomOperations) {
  RandomSource Random(7);
  FlowTable Table;
  std::map<std::pair<FlowKey, ServiceId>, UpstreamId> Model;
  for (int Step = 0; Step < 100000; ++Step) {
    const FlowKey Flow(Random.below(4000));
    const ServiceId Service(static_cast<uint32_t>(Random.below(2)));
    OpenFlow *Entry = Table.find(Flow, Service);
    const auto ModelIt = Model.find({Flow, Service});
    ASSERT_EQ(Entry != nullptr, ModelIt != Model.end());
    if (Entry == nullptr) {
      const UpstreamId Upstream(Random.next());
      Table.insert(Flow, Service).Upstream = Upstream;
      Model[{Flow, Service}] = Upstream;
    } else {
      ASSERT_EQ(Entry->Upstream, ModelIt->second);
      Table.erase(*Entry);
      Model.erase(ModelIt);
    }
    ASSERT_EQ(Table.size(), Model.size());
  }
}

// Guards against a handover that misses flows of a bucket or includes flows of
// other buckets.
TEST(FlowTableTest, BucketListsExactlyItsFlows) {
  FlowTable Table;
  std::map<uint32_t, std::set<FlowKey>> Model;
  for (uint64_t Key = 0; Key < 20000; ++Key) {
    const uint32_t Bucket = bucketOf(FlowKey(Key));
    Table.insert(FlowKey(Key), ServiceId(1));
    Model[Bucket].insert(FlowKey(Key));
  }
  for (uint64_t Key = 0; Key < 20000; Key += 3) {
    Table.erase(*Table.find(FlowKey(Key), ServiceId(1)));
    Model[bucketOf(FlowKey(Key))].erase(FlowKey(Key));
  }
  for (const auto &[Bucket, Flows] : Model) {
    std::set<FlowKey> Listed;
    Table.forEachInBucket(
        Bucket, [&](const OpenFlow &Flow) { Listed.insert(Flow.Flow); });
    ASSERT_EQ(Listed, Flows);
  }
}

TEST(FlowTableTest, FlowsMayBeErasedWhileTheirBucketIsVisited) {
  FlowTable Table;
  for (uint64_t Key = 0; Key < 200000; ++Key)
    Table.insert(FlowKey(Key), ServiceId(1));
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    Table.forEachInBucket(Bucket, [&](OpenFlow &Flow) { Table.erase(Flow); });
  EXPECT_EQ(Table.size(), 0U);
}

// An open flow may use at most 128 bytes, also right after the table grew, when
// its load factor is lowest.
TEST(FlowTableTest, OpenFlowTakesAtMost128Bytes) {
  FlowTable Table;
  for (uint64_t Key = 0; Key < 600000; ++Key) {
    Table.insert(FlowKey(Key), ServiceId(1));
    if (Table.size() >= 10000 && Table.size() % 1000 == 0) {
      ASSERT_LE(Table.memoryBytes(), Table.size() * 128) << Table.size();
    }
  }
}

// Guards against unlimited growth while flows are opened and closed steadily.
TEST(FlowTableTest, SteadyChangeOfFlowsNeedsNoMoreMemory) {
  FlowTable Table;
  for (uint64_t Key = 0; Key < 10000; ++Key)
    Table.insert(FlowKey(Key), ServiceId(1));
  const size_t MemoryBefore = Table.memoryBytes();
  for (uint64_t Key = 10000; Key < 200000; ++Key) {
    Table.erase(*Table.find(FlowKey(Key - 10000), ServiceId(1)));
    Table.insert(FlowKey(Key), ServiceId(1));
  }
  EXPECT_EQ(Table.memoryBytes(), MemoryBefore);
}

} // namespace
} // namespace indigopoint
