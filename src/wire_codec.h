#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "messages.h"

namespace indigopoint {

/// Larger datagrams are rejected by encoder and decoder.
constexpr size_t MaxDatagramBytes = size_t{60} * 1024;

enum class WireError {
  Truncated = 1,
  Oversized,
  WrongVersion,
  UnknownKind,
  Malformed
};

std::error_code make_error_code(WireError Error);

/// Encodes a datagram into \p Out, replacing its content. Fails with
/// WireError::Oversized if it would exceed MaxDatagramBytes.
std::error_code encodeDatagram(const Sender &Origin, const Message &Body,
                               std::string &Out);

/// Decodes a datagram. Never throws; the outputs are unspecified on an error.
std::error_code decodeDatagram(std::string_view Bytes, Sender &Origin,
                               Message &Body);

} // namespace indigopoint

template <>
struct std::is_error_code_enum<indigopoint::WireError> : std::true_type {};
