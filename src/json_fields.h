#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "types.h"

namespace indigopoint {

// Readers for documents that other programs write. The conversions of the
// library accept booleans, fractions and negative numbers as whole numbers, and
// their results are undefined for numbers that do not fit. The readers without
// std::optional throw std::invalid_argument, which names the field.

/// Longer names are refused, since names stand in log lines and metrics.
constexpr size_t MaxNameBytes = 256;

/// Reads a whole number from 0 to \p Max.
uint64_t readNumber(const nlohmann::json &Object, const char *Field,
                    uint64_t Max);

/// The same; nothing if the field is missing or no such number.
std::optional<uint64_t> tryReadNumber(const nlohmann::json &Object,
                                      const char *Field, uint64_t Max);

/// Reads a number from \p Min to \p Max that may have a fraction.
double readFraction(const nlohmann::json &Object, const char *Field, double Min,
                    double Max);

/// Reads a text of at most MaxNameBytes.
std::string readName(const nlohmann::json &Object, const char *Field);

/// Reads true or false; false if the field is missing.
bool readFlag(const nlohmann::json &Object, const char *Field);

/// Reads an address and port that datagrams can be sent to.
Endpoint readEndpoint(const nlohmann::json &Object, const char *Field);

} // namespace indigopoint
