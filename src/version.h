#pragma once

namespace indigopoint {

constexpr const char *Version = "0.1.0";

} // namespace indigopoint
