#include "model_instance.h"

#include <sstream>

namespace indigopoint {

namespace {

constexpr Endpoint ModelRoute{0xc6120001, 443};
constexpr int MaxCalls = 100;

} // namespace

DecodedItem decodeModelItem(const StoreItem &Item) {
  std::istringstream Value(Item.Value);
  if (Item.Key == "config") {
    uint64_t Version = 0;
    std::string Service;
    Value >> Version >> Service;
    if (Item.Deleted)
      return IgnoredItem{};
    return RouteConfiguration{ConfigVersion(Version),
                              {{"route", ModelRoute, {{Service, 1}}, true}},
                              std::chrono::seconds(15),
                              {{"chat", {}}}};
  }
  const UpstreamId Id(std::stoull(Item.Key.substr(upstreamKey(0).size() - 1)));
  if (Item.Deleted)
    return UpstreamRemoval{Id};
  UpstreamRegistration Out;
  std::string State;
  Value >> State >> Out.StartedAtMs;
  Out.Id = Id;
  Out.Service = "chat";
  Out.Address = {static_cast<uint32_t>(Id.value()), 80};
  Out.Draining = State == "draining";
  return Out;
}

void ModelInstance::process(const std::optional<StoreSync::Update> &Update) {
  if (!Update)
    return;
  Mirror.apply(*Update, Sync.position());
  Applier.apply(*Update);
}

void ModelInstance::callStore(const ModelStore &Store) {
  finishCall(Store.answer(startCall()));
}

void ModelInstance::follow(const ModelStore &Store) {
  for (int Calls = 0; Calls < MaxCalls; ++Calls) {
    callStore(Store);
    if (Sync.isSnapshotLoaded() && Sync.position() == Store.position())
      return;
  }
  ADD_FAILURE() << "the instance does not reach the position of the store";
}

// Like PeerExchange and StoreFollower, without the transfer.
void ModelInstance::askPeer(const ModelInstance &Peer) {
  const StoreQuery Query = Sync.start({Endpoint{1, 1}, Duration()});
  StoreResult Result;
  if (Peer.Mirror.isLoaded()) {
    const auto Changes =
        Peer.Mirror.since({Sync.position().Era, Query.AfterRevision});
    Result.ResultStatus = StoreResult::Status::Answered;
    Result.Position = Peer.Mirror.position();
    Result.Complete = !Changes;
    Result.Items = Changes ? *Changes : Peer.Mirror.all();
    if (Routes.version() < Peer.Routes.version())
      Result.Retained = Peer.Mirror.retained();
    const auto Undecided = Applier.undecidedVersion();
    if (Undecided && Sync.position().Era == Peer.Mirror.position().Era)
      Applier.recordLostConfigurations(
          Peer.Applier.lostConfigurations(*Undecided));
  }
  const std::vector<StoreItem> Retained = Result.Retained;
  const StorePosition PeerPosition = Result.Position;
  process(Sync.onResult(std::move(Result)));
  if (!Retained.empty() && PeerPosition.Era == Sync.position().Era)
    process(StoreSync::Update{StoreSync::Update::Content::Retained, Retained});
}

std::string ModelInstance::service() const {
  const Route *Found = Routes.find(ModelRoute);
  return Found == nullptr ? "" : Found->Shares.front().Service;
}

std::optional<UpstreamState> ModelInstance::state(uint64_t Id) {
  const Upstream *Found = Upstreams.find(UpstreamId(Id));
  return Found == nullptr ? std::nullopt : std::optional(Found->State);
}

} // namespace indigopoint
