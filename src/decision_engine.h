#pragma once

#include <memory>

#include "blackboard.h"
#include "engine_io.h"

namespace indigopoint {

/// Makes all decisions of one instance: it takes typed events and returns typed
/// actions. It uses no sockets, threads, files or wall clock, so the same
/// settings, seed, clock readings and events give the same actions.
class DecisionEngine {
public:
  DecisionEngine(EngineSettings Settings, const Clock &TimeSource,
                 uint64_t Seed);
  ~DecisionEngine();

  /// Handles one event and appends the resulting actions to \p Sink.
  void handle(Event Input, ActionSink &Sink);

  /// The state that the controllers share, for the status page and tests.
  const Blackboard &board() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
