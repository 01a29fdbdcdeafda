#pragma once

#include <string>
#include <string_view>

namespace indigopoint {

/// Encodes the value of an item as the store does.
inline std::string encodeBase64(std::string_view Text) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  uint32_t Bits = 0;
  int Count = 0;
  for (const char Letter : Text) {
    Bits = (Bits << 8) | static_cast<uint8_t>(Letter);
    for (Count += 8; Count >= 6; Count -= 6)
      Out += Digits[(Bits >> (Count - 6)) & 63];
  }
  if (Count > 0)
    Out += Digits[(Bits << (6 - Count)) & 63];
  Out.resize((Out.size() + 3) / 4 * 4, '=');
  return Out;
}

} // namespace indigopoint
