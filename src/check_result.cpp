#include "check_result.h"

#include <array>
#include <cstddef>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 3> Names = {"accepted", "refused",
                                                   "no-answer"};

} // namespace

std::string_view nameOf(CheckResult Value) {
  return Names.at(static_cast<size_t>(Value));
}

} // namespace indigopoint
