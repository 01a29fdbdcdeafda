#pragma once

#include <string>

#include <rapidcheck.h>

namespace indigopoint {

/// Replaces, removes or repeats some bytes of a text.
inline std::string mutate(std::string Text) {
  const int Changes = *rc::gen::inRange(0, 6);
  for (int Index = 0; Index < Changes && !Text.empty(); ++Index) {
    const size_t Offset = *rc::gen::inRange<size_t>(0, Text.size());
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      Text[Offset] = static_cast<char>(*rc::gen::inRange(0, 256));
      break;
    case 1:
      Text.erase(Offset, *rc::gen::inRange<size_t>(1, 5));
      break;
    default:
      Text.insert(Offset, Text.substr(Offset, 20));
    }
  }
  return Text;
}

} // namespace indigopoint
