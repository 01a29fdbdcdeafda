#pragma once

#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Keeps this instance at the newest accepted configuration. A few readers per
/// zone watch the store; all other instances pull changes from peers.
class ConfigController {
public:
  ConfigController(Blackboard &Board, PeerLink &Peers);
  ~ConfigController();

  /// Handles the \p Version that \p Peer announced in a probe or in the
  /// acknowledgement of a probe.
  void onPeerVersion(InstanceId Peer, ConfigVersion Version, ActionSink &Sink);
  void onConfigPull(const Sender &From, Endpoint Address,
                    const ConfigPull &Pull, ActionSink &Sink);
  void onConfigChunk(const Sender &From, const ConfigChunk &Chunk,
                     ActionSink &Sink);
  void onStoreAnswer(const StoreAnswer &Answer, ActionSink &Sink);
  void onTick(ActionSink &Sink);

  /// A counter that increases whenever the configuration on the blackboard
  /// changes.
  uint64_t generation() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
