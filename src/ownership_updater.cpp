#include "ownership_updater.h"

#include <algorithm>

namespace indigopoint {

namespace {

// News of a joined or left member reaches all others in this time.
constexpr std::chrono::seconds RelayMemory(10);

// A configuration is in force everywhere within 5 s (P8). A previous owner
// that has sent nothing by then does not know that it owns the upstream.
constexpr std::chrono::seconds OwnerWait(6);

} // namespace

bool OwnershipUpdater::isGone(InstanceId Server) const {
  if (Server == InstanceId() || LostSince.count(Server) != 0)
    return true;
  const Member *Known = Board.Members.find(Server);
  return Server != Board.Self.Id &&
         (Known == nullptr || !isAlive(Known->State));
}

void OwnershipUpdater::update() {
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    updateBucket(Bucket);
  for (const auto &[Id, Service] : Board.Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      updateUpstream(Upstream);
  eraseUnknownUpstreams();
  noticeReturns();
  LostSince.clear();
}

void OwnershipUpdater::updateBucket(uint32_t Bucket) {
  const InstanceId Server = Board.CurrentOwnership.homeOf(Bucket);
  if (Server == Board.Self.Id)
    return;
  const InstanceId Home = Board.CurrentPlacement.home(Bucket);
  if (isGone(Server)) {
    if (Home == Board.Self.Id)
      takeOver(Bucket);
    else
      Board.CurrentOwnership.setBucket(Bucket, {Home, {}});
    return;
  }
  // A new home relays to the previous one until its final batch has arrived.
  if (Home == Board.Self.Id || Home == InstanceId())
    return;
  const bool Relays = HandedAt[Bucket] != TimePoint() &&
                      Board.now() - HandedAt[Bucket] < RelayMemory;
  const Member *Known = Board.Members.find(Server);
  if (Relays || Known->State == MemberState::Joining)
    return;
  Board.CurrentOwnership.setBucket(Bucket, {Home, {}});
}

void OwnershipUpdater::updateUpstream(const UpstreamConfig &Upstream) {
  const InstanceId Server = Board.CurrentOwnership.ownerOf(Upstream.Id);
  if (Server == Board.Self.Id)
    return;
  const InstanceId Owner =
      Board.CurrentPlacement.owner(Upstream.Id, Upstream.Zone);
  if (!isGone(Server)) {
    if (Owner == Board.Self.Id)
      WaitingSince.emplace(Server, Board.now());
    const Member *Known = Board.Members.find(Server);
    if (Owner == Board.Self.Id || Owner == InstanceId() ||
        Known->State == MemberState::Joining)
      return;
  }
  if (Owner == InstanceId())
    Board.CurrentOwnership.eraseOwner(Upstream.Id);
  else
    Board.CurrentOwnership.setOwner(Upstream.Id, Owner);
}

void OwnershipUpdater::eraseUnknownUpstreams() {
  std::vector<UpstreamId> Unknown;
  for (const auto &[Id, Owner] : Board.CurrentOwnership.owners())
    if (Board.Index.upstream(Id).Upstream == nullptr)
      Unknown.push_back(Id);
  for (UpstreamId Id : Unknown)
    Board.CurrentOwnership.eraseOwner(Id);
}

// A member that was taken for dead has served meanwhile, and requests may have
// run there of which this instance has no record.
void OwnershipUpdater::noticeReturns() {
  bool Returned = false;
  for (const auto &[Id, Known] : Board.Members.ById) {
    const auto Dead = DeadBoots.find(Id);
    if (Known.State == MemberState::Dead) {
      DeadBoots[Id] = Known.MemberIncarnation.Boot;
    } else if (Dead != DeadBoots.end()) {
      Returned |= Dead->second == Known.MemberIncarnation.Boot &&
                  Known.State != MemberState::Joining;
      DeadBoots.erase(Dead);
    }
  }
  for (uint32_t Bucket = 0; Returned && Bucket < FlowBuckets; ++Bucket)
    if (serves(Bucket))
      takeOver(Bucket);
}

void OwnershipUpdater::onTick() {
  if (Board.now() < NextReview)
    return;
  NextReview = Board.now() + std::chrono::seconds(1);
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    if (HandedAt[Bucket] != TimePoint() &&
        Board.now() - HandedAt[Bucket] >= RelayMemory) {
      HandedAt[Bucket] = TimePoint();
      updateBucket(Bucket);
    }
  endWaits();
}

void OwnershipUpdater::endWaits() {
  for (const auto &[Id, Service] : Board.Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams) {
      const auto It =
          WaitingSince.find(Board.CurrentOwnership.ownerOf(Upstream.Id));
      if (It != WaitingSince.end() && Board.now() - It->second > OwnerWait &&
          Board.CurrentPlacement.owner(Upstream.Id, Upstream.Zone) ==
              Board.Self.Id)
        receive(Upstream.Id);
    }
  std::erase_if(WaitingSince, [this](const auto &Entry) {
    return Board.now() - Entry.second > OwnerWait;
  });
}

void OwnershipUpdater::handOver(uint32_t Bucket, InstanceId Receiver) {
  Board.CurrentOwnership.setBucket(Bucket, {Receiver, {}});
  HandedAt[Bucket] = Board.now();
}

void OwnershipUpdater::handOver(UpstreamId Upstream, InstanceId Receiver) {
  Board.CurrentOwnership.setOwner(Upstream, Receiver);
}

// If both have served for a while, the records are complete only since the
// later one began.
void OwnershipUpdater::receive(uint32_t Bucket, Duration CompleteFor) {
  TimePoint Since = Board.now() - CompleteFor;
  if (serves(Bucket))
    Since = std::max(Since, Board.CurrentOwnership.completeSince(Bucket));
  Board.CurrentOwnership.setBucket(Bucket, {Board.Self.Id, Since});
  HandedAt[Bucket] = TimePoint();
}

void OwnershipUpdater::receive(UpstreamId Upstream) {
  Board.CurrentOwnership.setOwner(Upstream, Board.Self.Id);
}

void OwnershipUpdater::takeOver(uint32_t Bucket) {
  Board.CurrentOwnership.setBucket(Bucket, {Board.Self.Id, Board.now()});
  HandedAt[Bucket] = TimePoint();
}

void OwnershipUpdater::reset() {
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    Board.CurrentOwnership.setBucket(Bucket, {});
  std::vector<UpstreamId> Known;
  for (const auto &[Id, Owner] : Board.CurrentOwnership.owners())
    Known.push_back(Id);
  for (UpstreamId Id : Known)
    Board.CurrentOwnership.eraseOwner(Id);
  HandedAt.assign(FlowBuckets, TimePoint());
  WaitingSince.clear();
}

} // namespace indigopoint
