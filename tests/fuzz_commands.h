#pragma once

#include <array>
#include <memory>
#include <vector>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "fleet.h"

namespace indigopoint::fuzz {

constexpr size_t Instances = 7;
constexpr size_t Flows = 12;
constexpr size_t ChatUpstreams = 6;

/// The state that commands need for their preconditions. Fleet does all checks,
/// since it sees the actual events.
struct Model {
  std::array<bool, Instances> Up{true, true, true, true, true, true, true};
  std::array<bool, Instances> Frozen{};
  std::array<bool, ChatUpstreams> UpstreamUp{true, true, true,
                                             true, true, true};
  std::array<bool, ChatUpstreams> Draining{};
  bool ZoneCut = false;
  bool StoreDown = false;
  uint32_t Sent = 0;

  size_t runningInstances() const;
  size_t usableUpstreams() const;
};

using Command = rc::state::Command<Model, Fleet>;

/// Commands for planned operations, which must not break any flow.
rc::Gen<std::shared_ptr<const Command>> plannedCommand(const Model &State);

/// All commands, faults included.
rc::Gen<std::shared_ptr<const Command>> anyCommand(const Model &State);

} // namespace indigopoint::fuzz
