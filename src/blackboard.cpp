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

bool Blackboard::isGone(InstanceId Instance) const {
  if (Instance == Self.Id)
    return false;
  const Member *Peer = Members.find(Instance);
  return Peer == nullptr || Peer->State == MemberState::Dead ||
         Peer->State == MemberState::Left;
}

BootId Blackboard::bootOf(InstanceId Instance) const {
  if (Instance == Self.Id)
    return Self.OwnIncarnation.Boot;
  const Member *Peer = Members.find(Instance);
  return Peer == nullptr ? BootId() : Peer->MemberIncarnation.Boot;
}

} // namespace indigopoint
