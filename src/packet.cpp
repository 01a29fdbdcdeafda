#include "packet.h"

#include <array>

#include <xxhash.h>

namespace indigopoint {

uint64_t hashOf(const FlowAddress &Flow) {
  const std::array<uint32_t, 4> Words = {Flow.Client.Address, Flow.Client.Port,
                                         Flow.Service.Address,
                                         Flow.Service.Port};
  return XXH3_64bits(Words.data(), sizeof(Words));
}

std::string toString(const FlowAddress &Flow) {
  return toString(Flow.Client) + ">" + toString(Flow.Service);
}

} // namespace indigopoint
