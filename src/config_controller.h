#pragma once

#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Keeps the newest accepted configuration in force: a few readers per zone
/// watch the store, all others pull from peers.
class ConfigController {
public:
  ConfigController(Blackboard &Board, PeerLink &Peers);
  ~ConfigController();

  /// \p Peer announced \p Version on a probe or its acknowledgement.
  void onPeerVersion(InstanceId Peer, ConfigVersion Version, ActionSink &Sink);
  void onConfigPull(const Sender &From, Endpoint Address,
                    const ConfigPull &Pull, ActionSink &Sink);
  void onConfigChunk(const Sender &From, const ConfigChunk &Chunk,
                     ActionSink &Sink);
  void onStoreAnswer(const StoreAnswer &Answer, ActionSink &Sink);
  void onTick(ActionSink &Sink);

  /// Counts up whenever the configuration on the blackboard changed.
  uint64_t generation() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
