#include "types.h"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace indigopoint {

namespace {

template <typename Enum, size_t Size>
std::string_view lookUp(const std::array<std::string_view, Size> &Names,
                        Enum Value) {
  const auto Index = static_cast<size_t>(Value);
  return Index < Size ? Names[Index] : "invalid";
}

constexpr std::array<std::string_view, 3> OutcomeNames = {
    "answered", "refused-not-run", "unknown"};
constexpr std::array<std::string_view, 5> SubmitStatusNames = {
    "answered", "not-run", "unknown", "redirect", "not-owner"};
constexpr std::array<std::string_view, 5> DispatchStatusNames = {
    "done", "shed", "draining", "expired", "cancelled"};
constexpr std::array<std::string_view, 6> MemberStateNames = {
    "joining", "active", "leaving", "suspect", "dead", "left"};
constexpr std::array<std::string_view, 2> PriorityNames = {"interactive",
                                                           "bulk"};
constexpr std::array<std::string_view, 4> LogLevelNames = {"debug", "info",
                                                           "warning", "error"};

// Parses a decimal number that must fill all of Text.
template <typename Number>
bool parseNumber(std::string_view Text, Number &Out) {
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Out);
  return Result.ec == std::errc() && Result.ptr == End;
}

} // namespace

std::string toString(const Endpoint &E) {
  std::string Text;
  for (int Shift = 24; Shift >= 0; Shift -= 8) {
    Text += std::to_string((E.Address >> Shift) & 0xff);
    Text += Shift > 0 ? '.' : ':';
  }
  return Text + std::to_string(E.Port);
}

std::string toHex(UpstreamId Id) {
  std::array<char, 16> Digits{};
  const auto Result = std::to_chars(
      Digits.data(), Digits.data() + Digits.size(), Id.value(), 16);
  return {Digits.data(), Result.ptr};
}

bool parseEndpoint(std::string_view Text, Endpoint &Out) {
  Endpoint Parsed;
  for (int Part = 0; Part < 4; ++Part) {
    const size_t End = Text.find(Part < 3 ? '.' : ':');
    uint8_t Byte = 0;
    if (End == std::string_view::npos ||
        !parseNumber(Text.substr(0, End), Byte))
      return false;
    Parsed.Address = (Parsed.Address << 8) | Byte;
    Text.remove_prefix(End + 1);
  }
  if (!parseNumber(Text, Parsed.Port))
    return false;
  Out = Parsed;
  return true;
}

InstanceId instanceIdOf(std::string_view Name) {
  return InstanceId(XXH64(Name.data(), Name.size(), 0));
}

UpstreamId upstreamIdOf(std::string_view Service, std::string_view Name) {
  const uint64_t Seed = XXH64(Service.data(), Service.size(), 0);
  return UpstreamId(XXH64(Name.data(), Name.size(), Seed));
}

std::string_view nameOf(Outcome Value) { return lookUp(OutcomeNames, Value); }
std::string_view nameOf(SubmitStatus Value) {
  return lookUp(SubmitStatusNames, Value);
}
std::string_view nameOf(DispatchStatus Value) {
  return lookUp(DispatchStatusNames, Value);
}
std::string_view nameOf(MemberState Value) {
  return lookUp(MemberStateNames, Value);
}
std::string_view nameOf(Priority Value) { return lookUp(PriorityNames, Value); }
std::string_view nameOf(LogLevel Value) { return lookUp(LogLevelNames, Value); }

} // namespace indigopoint
