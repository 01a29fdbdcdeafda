#include "blackboard.h"

#include <utility>

namespace indigopoint {

Blackboard::Blackboard(EngineSettings InitialSettings, const Clock &EngineClock,
                       uint64_t Seed)
    : Settings(std::move(InitialSettings)), TimeSource(EngineClock),
      Random(Seed) {
  Self.Id = instanceIdOf(Settings.Name);
  Self.Name = Settings.Name;
  Self.Zone = Settings.Zone;
  Self.Region = Settings.Region;
  Self.Address = Settings.Address;
  Self.OwnIncarnation = {Settings.BootTime, Settings.Boot, 0};
}

} // namespace indigopoint
