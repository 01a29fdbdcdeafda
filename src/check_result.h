#pragma once

#include <cstdint>
#include <string_view>

namespace indigopoint {

/// What a connection check found.
enum class CheckResult : uint8_t {
  /// A connection was established.
  Accepted,
  /// The machine answered that nothing listens at the address.
  Refused,
  /// Nothing was heard within the time of the check.
  NoAnswer
};

std::string_view nameOf(CheckResult Value);

} // namespace indigopoint
