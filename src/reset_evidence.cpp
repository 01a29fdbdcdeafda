#include "reset_evidence.h"

#include <array>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, ResetCauseCount> CauseNames = {
    "check-refused",      "check-timed-out", "zone-silent",
    "missing-from-store", "address-reused",  "route-removed"};

} // namespace

std::string_view nameOf(ResetCause Value) {
  return CauseNames.at(static_cast<size_t>(Value));
}

} // namespace indigopoint
