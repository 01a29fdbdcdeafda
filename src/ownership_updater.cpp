#include "ownership_updater.h"

#include <algorithm>

namespace indigopoint {

namespace {

// The update that a member joined or left reaches all others within this time.
// Until then the previous home relays packets of a handed-over bucket.
constexpr std::chrono::seconds RelayAfterHandoverPeriod(10);

// A configuration has to reach every instance within 5 s. A previous owner that
// has sent no batch by then does not know that it owns the upstream.
constexpr std::chrono::seconds OwnerWaitTimeout(6);

} // namespace

bool OwnershipUpdater::isUnavailable(InstanceId HomeOrOwner) const {
  if (HomeOrOwner == InstanceId() || LostInstances.count(HomeOrOwner) != 0)
    return true;
  const Member *Peer = Board.Members.find(HomeOrOwner);
  return HomeOrOwner != Board.Self.Id &&
         (Peer == nullptr || !isAlive(Peer->State));
}

void OwnershipUpdater::update() {
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    updateBucket(Bucket);
  for (const auto &[Id, Service] : Board.Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      updateUpstream(Upstream);
  eraseUnknownUpstreams();
  markRecordsOfReturnedMembersIncomplete();
  LostInstances.clear();
}

void OwnershipUpdater::updateBucket(uint32_t Bucket) {
  const InstanceId CurrentHome = Board.CurrentOwnership.homeOf(Bucket);
  if (CurrentHome == Board.Self.Id)
    return;
  const InstanceId Home = Board.CurrentPlacement.home(Bucket);
  if (isUnavailable(CurrentHome)) {
    if (Home == Board.Self.Id)
      takeOver(Bucket);
    else
      Board.CurrentOwnership.setBucket(Bucket, {Home, {}});
    return;
  }
  // A new home relays to the previous home until the batch with the bucket has
  // arrived from there.
  if (Home == Board.Self.Id || Home == InstanceId())
    return;
  const bool IsRelaying =
      HandedOverAt[Bucket] != TimePoint() &&
      Board.now() - HandedOverAt[Bucket] < RelayAfterHandoverPeriod;
  const Member *Peer = Board.Members.find(CurrentHome);
  if (IsRelaying || Peer->State == MemberState::Joining)
    return;
  Board.CurrentOwnership.setBucket(Bucket, {Home, {}});
}

void OwnershipUpdater::updateUpstream(const UpstreamConfig &Upstream) {
  const InstanceId CurrentOwner = Board.CurrentOwnership.ownerOf(Upstream.Id);
  if (CurrentOwner == Board.Self.Id)
    return;
  const InstanceId Owner =
      Board.CurrentPlacement.owner(Upstream.Id, Upstream.Zone);
  if (!isUnavailable(CurrentOwner)) {
    if (Owner == Board.Self.Id)
      LastBatchOrWaitStart.emplace(CurrentOwner, Board.now());
    const Member *Peer = Board.Members.find(CurrentOwner);
    if (Owner == Board.Self.Id || Owner == InstanceId() ||
        Peer->State == MemberState::Joining)
      return;
  }
  if (Owner == InstanceId())
    Board.CurrentOwnership.eraseOwner(Upstream.Id);
  else
    Board.CurrentOwnership.setOwner(Upstream.Id, Owner);
}

void OwnershipUpdater::eraseUnknownUpstreams() {
  std::vector<UpstreamId> UnknownUpstreams;
  for (const auto &[Id, Owner] : Board.CurrentOwnership.owners())
    if (Board.Index.upstream(Id).Upstream == nullptr)
      UnknownUpstreams.push_back(Id);
  for (UpstreamId Id : UnknownUpstreams)
    Board.CurrentOwnership.eraseOwner(Id);
}

// A member that was wrongly declared dead kept serving requests, of which this
// instance has no records. The records of all buckets count as incomplete.
void OwnershipUpdater::markRecordsOfReturnedMembersIncomplete() {
  bool HasReturned = false;
  for (const auto &[Id, Peer] : Board.Members.ById) {
    const auto Dead = DeadMemberBoots.find(Id);
    if (Peer.State == MemberState::Dead) {
      DeadMemberBoots[Id] = Peer.MemberIncarnation.Boot;
    } else if (Dead != DeadMemberBoots.end()) {
      HasReturned |= Dead->second == Peer.MemberIncarnation.Boot &&
                     Peer.State != MemberState::Joining;
      DeadMemberBoots.erase(Dead);
    }
  }
  for (uint32_t Bucket = 0; HasReturned && Bucket < FlowBuckets; ++Bucket)
    if (serves(Bucket))
      takeOver(Bucket);
}

void OwnershipUpdater::onTick() {
  if (Board.now() < NextTimeoutCheck)
    return;
  NextTimeoutCheck = Board.now() + std::chrono::seconds(1);
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    if (HandedOverAt[Bucket] != TimePoint() &&
        Board.now() - HandedOverAt[Bucket] >= RelayAfterHandoverPeriod) {
      HandedOverAt[Bucket] = TimePoint();
      updateBucket(Bucket);
    }
  endOwnerWaits();
}

void OwnershipUpdater::endOwnerWaits() {
  for (const auto &[Id, Service] : Board.Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams) {
      const auto It = LastBatchOrWaitStart.find(
          Board.CurrentOwnership.ownerOf(Upstream.Id));
      if (It != LastBatchOrWaitStart.end() &&
          Board.now() - It->second > OwnerWaitTimeout &&
          Board.CurrentPlacement.owner(Upstream.Id, Upstream.Zone) ==
              Board.Self.Id)
        receive(Upstream.Id);
    }
  std::erase_if(LastBatchOrWaitStart, [this](const auto &Entry) {
    return Board.now() - Entry.second > OwnerWaitTimeout;
  });
}

void OwnershipUpdater::handOver(uint32_t Bucket, InstanceId Receiver) {
  Board.CurrentOwnership.setBucket(Bucket, {Receiver, {}});
  HandedOverAt[Bucket] = Board.now();
}

void OwnershipUpdater::handOver(UpstreamId Upstream, InstanceId Receiver) {
  Board.CurrentOwnership.setOwner(Upstream, Receiver);
}

// If both instances have served the bucket, the records are complete only since
// the later of the two started.
void OwnershipUpdater::receive(uint32_t Bucket, Duration CompleteFor) {
  TimePoint Since = Board.now() - CompleteFor;
  if (serves(Bucket))
    Since = std::max(Since, Board.CurrentOwnership.completeSince(Bucket));
  Board.CurrentOwnership.setBucket(Bucket, {Board.Self.Id, Since});
  HandedOverAt[Bucket] = TimePoint();
}

void OwnershipUpdater::receive(UpstreamId Upstream) {
  Board.CurrentOwnership.setOwner(Upstream, Board.Self.Id);
}

void OwnershipUpdater::takeOver(uint32_t Bucket) {
  Board.CurrentOwnership.setBucket(Bucket, {Board.Self.Id, Board.now()});
  HandedOverAt[Bucket] = TimePoint();
}

void OwnershipUpdater::reset() {
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    Board.CurrentOwnership.setBucket(Bucket, {});
  std::vector<UpstreamId> UpstreamIds;
  for (const auto &[Id, Owner] : Board.CurrentOwnership.owners())
    UpstreamIds.push_back(Id);
  for (UpstreamId Id : UpstreamIds)
    Board.CurrentOwnership.eraseOwner(Id);
  HandedOverAt.assign(FlowBuckets, TimePoint());
  LastBatchOrWaitStart.clear();
}

} // namespace indigopoint
