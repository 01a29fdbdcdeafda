#pragma once

#include <string>

#include "configuration.h"

namespace indigopoint {

/// The zone of the upstream or instance \p Index, round-robin over four zones.
inline std::string exampleZone(size_t Index) {
  return std::string("lim-") + static_cast<char>('a' + Index % 4);
}

/// A service with \p UpstreamCount upstreams, round-robin over the four zones,
/// on consecutive loopback ports from \p FirstPort.
inline ServiceConfig exampleService(uint32_t Id, const std::string &Name,
                                    Priority ServiceClass, size_t UpstreamCount,
                                    uint16_t FirstPort) {
  ServiceConfig Service;
  Service.Id = ServiceId(Id);
  Service.Name = Name;
  Service.Tenant = "andina";
  Service.Class = ServiceClass;
  for (size_t Index = 0; Index < UpstreamCount; ++Index) {
    UpstreamConfig Upstream;
    Upstream.Name = Name + "-" + std::to_string(Index);
    Upstream.Id = upstreamIdOf(Name, Upstream.Name);
    Upstream.Zone = exampleZone(Index);
    Upstream.Address = {0x7f000001, static_cast<uint16_t>(FirstPort + Index)};
    Service.Upstreams.push_back(Upstream);
  }
  return Service;
}

} // namespace indigopoint
