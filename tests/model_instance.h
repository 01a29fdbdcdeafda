#pragma once

#include <gtest/gtest.h>

#include "manual_clock.h"
#include "model_store.h"
#include "store_mirror.h"
#include "store_update_applier.h"

namespace indigopoint {

/// How long a registration of a stopped upstream stays in the model store.
constexpr Duration ModelRegistrationLifetime = std::chrono::seconds(4);

/// The values of a registration and of a configuration in the model store.
/// "ready 1000" registers an upstream that started at 1000 ms, "draining 1000"
/// one that stops; "7 chat" is configuration version 7 with a route to chat.
DecodedItem decodeModelItem(const StoreItem &Item);

inline std::string upstreamKey(uint64_t Id) {
  return "upstream/" + std::to_string(Id);
}

/// The part of an instance that follows the store, without a network.
class ModelInstance {
public:
  explicit ModelInstance(const Clock &TimeSource)
      : Log({}, TimeSource), Sync(TimeSource, Random, Duration()),
        Applier(decodeModelItem, TimeSource, Log, Routes, Upstreams,
                ModelRegistrationLifetime),
        Mirror([this](const StoreItem &Known, const StoreItem *Restored) {
          return Applier.supersedes(Known, Restored);
        }) {}

  /// Makes calls to the store until nothing is new.
  void follow(const ModelStore &Store);

  /// Makes one call to the store.
  void callStore(const ModelStore &Store);

  /// Starts a call; its answer is passed to finishCall.
  StoreQuery startCall() { return Sync.start({}); }
  void finishCall(StoreResult Result) {
    process(Sync.onResult(std::move(Result)));
  }

  /// Asks another instance for what is new there.
  void askPeer(const ModelInstance &Peer);

  /// What an instance does several times a second.
  void maintain() {
    Upstreams.recordStoreSync(Sync.confirmedAt());
    Applier.applyDue();
  }

  std::optional<ConfigVersion> undecidedVersion() const {
    return Applier.undecidedVersion();
  }
  bool takeConfirmationRequest() { return Applier.takeConfirmationRequest(); }

  uint64_t configuration() const { return Routes.version().value(); }
  std::string service() const;
  /// The state of an upstream; nothing if it is unknown.
  std::optional<UpstreamState> state(uint64_t Id);
  StorePosition position() const { return Sync.position(); }
  const StoreMirror &mirror() const { return Mirror; }
  std::string log() const { return std::string(Log.pending()); }

private:
  void process(const std::optional<StoreSync::Update> &Update);

  EventLog Log;
  RandomSource Random{1};
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  StoreSync Sync;
  StoreUpdateApplier Applier;
  StoreMirror Mirror;
};

} // namespace indigopoint
