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
      Member Other;
      Other.Id = instanceIdOf(Zone + "-" + std::to_string(Index));
      Other.Zone = Zone;
      Other.State = MemberState::Active;
      Table.ById[Other.Id] = Other;
    }
  return Table;
}

// A member of a zone leaves and comes back; the time is that of one change.
void singleMemberChange(benchmark::State &State) {
  const SelfState Self;
  const MemberTable Full = membersOf(static_cast<size_t>(State.range(0)));
  MemberTable Less = Full;
  Less.ById.erase(instanceIdOf("lim-a-0"));
  Placement Place;
  Place.update(Self, Full, Zones);
  bool IsFull = true;
  for (auto Step : State) {
    IsFull = !IsFull;
    Place.update(Self, IsFull ? Full : Less, Zones);
  }
}
BENCHMARK(singleMemberChange)->Arg(3)->Arg(422)->Unit(benchmark::kMillisecond);

void firstUpdate(benchmark::State &State) {
  const SelfState Self;
  const MemberTable Full = membersOf(static_cast<size_t>(State.range(0)));
  for (auto Step : State) {
    Placement Place;
    Place.update(Self, Full, Zones);
  }
}
BENCHMARK(firstUpdate)->Arg(3)->Arg(422)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace indigopoint
