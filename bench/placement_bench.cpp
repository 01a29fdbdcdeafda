#include <benchmark/benchmark.h>

#include "blackboard.h"
#include "placement.h"

namespace indigopoint {
namespace {

const std::vector<std::string> Zones = {"lim-a", "lim-b", "lim-c"};

MemberTable membersOf(size_t PerZone) {
  MemberTable Table;
  for (const std::string &Zone : Zones)
    for (size_t Index = 0; Index < PerZone; ++Index) {
      Member Instance;
      Instance.Id = instanceIdOf(Zone + "-" + std::to_string(Index));
      Instance.Zone = Zone;
      Instance.State = MemberState::Active;
      Table.ById[Instance.Id] = Instance;
    }
  return Table;
}

// A member of a zone leaves and rejoins. Each iteration measures one change.
void singleMemberChange(benchmark::State &State) {
  const SelfState Self;
  const MemberTable Full = membersOf(static_cast<size_t>(State.range(0)));
  MemberTable WithoutOne = Full;
  WithoutOne.ById.erase(instanceIdOf("lim-a-0"));
  Placement CurrentPlacement;
  CurrentPlacement.update(Self, Full, Zones);
  bool IsFull = true;
  for (auto Step : State) {
    IsFull = !IsFull;
    CurrentPlacement.update(Self, IsFull ? Full : WithoutOne, Zones);
  }
}
BENCHMARK(singleMemberChange)->Arg(3)->Arg(422)->Unit(benchmark::kMillisecond);

void firstUpdate(benchmark::State &State) {
  const SelfState Self;
  const MemberTable Full = membersOf(static_cast<size_t>(State.range(0)));
  for (auto Step : State) {
    Placement CurrentPlacement;
    CurrentPlacement.update(Self, Full, Zones);
  }
}
BENCHMARK(firstUpdate)->Arg(3)->Arg(422)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace indigopoint
