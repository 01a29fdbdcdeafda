#include "packet.h"

#include <array>

#include <xxhash.h>

namespace indigopoint {

uint64_t hashOf(const FlowAddress &Flow) {
  const std::array<uint32_t, 4> Words = {Flow.Client.Address, Flow.Client.Port,
                                         Flow.ServiceAddress.Address,
                                         Flow.ServiceAddress.Port};
  return XXH3_64bits(Words.data(), sizeof(Words));
}

namespace {

// A client may write any tag. The low half is a checksum: a tag that no
// instance wrote for this flow matches an upstream with probability 1 in
// 65,536.
template <size_t Count>
FlowTag makeTag(UpstreamId Upstream, const std::array<uint64_t, Count> &Words) {
  const auto Checksum =
      static_cast<uint16_t>(XXH3_64bits(Words.data(), sizeof(Words)));
  const uint32_t Tag = (uint32_t{tagGroupOf(Upstream)} << 16) | Checksum;
  return FlowTag(Tag != 0 ? Tag : 1);
}

} // namespace

FlowTag tagOf(const FlowAddress &Flow, UpstreamId Upstream) {
  return makeTag<2>(Upstream, {hashOf(Flow), Upstream.value()});
}

FlowTag openingTagOf(const FlowAddress &Flow, UpstreamId Upstream,
                     uint32_t InitialSequence) {
  return makeTag<3>(Upstream,
                    {hashOf(Flow), Upstream.value(), InitialSequence});
}

uint16_t tagGroupOf(UpstreamId Upstream) {
  const uint64_t Id = Upstream.value();
  return static_cast<uint16_t>(XXH3_64bits(&Id, sizeof(Id)));
}

uint16_t tagGroupOf(FlowTag Tag) {
  return static_cast<uint16_t>(Tag.value() >> 16);
}

std::string toString(const FlowAddress &Flow) {
  return toString(Flow.Client) + ">" + toString(Flow.ServiceAddress);
}

} // namespace indigopoint
