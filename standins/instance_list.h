#pragma once

#include <deque>

#include <nlohmann/json.hpp>

#include "types.h"

namespace indigopoint::standin {

/// The platform's list of instances, which readers see with a lag.
class InstanceList {
public:
  /// Sets the list from a JSON array of instances; throws
  /// nlohmann::json::exception if an entry lacks a field.
  void set(TimePoint Now, const nlohmann::json &Instances);
  void setLag(Duration Value) { Lag = Value; }
  /// The list as of one lag ago; empty if none was set by then.
  nlohmann::json read(TimePoint Now);

private:
  struct Version {
    TimePoint Since;
    nlohmann::json Instances;
  };

  Duration Lag{};
  std::deque<Version> Versions;
};

} // namespace indigopoint::standin
