#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace indigopoint {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Whole milliseconds, rounded towards zero.
constexpr int64_t millisecondsOf(Duration Given) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Given).count();
}

/// An integer id that does not convert to or from ids of another kind.
template <typename Tag, typename Rep> class TypedId {
public:
  using RepType = Rep;
  constexpr TypedId() = default;
  constexpr explicit TypedId(Rep Value) : Raw(Value) {}
  constexpr Rep value() const { return Raw; }
  auto operator<=>(const TypedId &) const = default;

private:
  Rep Raw = 0;
};

using ServiceId = TypedId<struct ServiceIdTag, uint32_t>;
using UpstreamId = TypedId<struct UpstreamIdTag, uint64_t>;
using InstanceId = TypedId<struct InstanceIdTag, uint64_t>;
using FlowKey = TypedId<struct FlowKeyTag, uint64_t>;
using RequestId = TypedId<struct RequestIdTag, uint64_t>;
using SubmitId = TypedId<struct SubmitIdTag, uint64_t>;
using DispatchId = TypedId<struct DispatchIdTag, uint64_t>;
using ConnectionId = TypedId<struct ConnectionIdTag, uint64_t>;
using ConfigVersion = TypedId<struct ConfigVersionTag, uint64_t>;
using StoreCallId = TypedId<struct StoreCallIdTag, uint64_t>;
/// Random per process start; tells two users of one address apart.
using BootId = TypedId<struct BootIdTag, uint64_t>;

/// An IPv4 address and UDP port, both in host byte order.
struct Endpoint {
  uint32_t Address = 0;
  uint16_t Port = 0;
  auto operator<=>(const Endpoint &) const = default;
};

/// Formats as "127.0.0.1:7000".
std::string toString(const Endpoint &E);

/// Parses "127.0.0.1:7000"; returns false if \p Text is not of that form.
bool parseEndpoint(std::string_view Text, Endpoint &Out);

/// The stable id of an instance, derived from its name.
InstanceId instanceIdOf(std::string_view Name);

/// The stable id of an upstream, derived from its service and its name.
UpstreamId upstreamIdOf(std::string_view Service, std::string_view Name);

/// Lower-case hexadecimal digits without leading zeros.
std::string toHex(UpstreamId Id);

/// How a request ended, as told to the caller.
enum class Outcome : uint8_t { Answered, RefusedNotRun, Unknown };

/// How an owner ended a submission of a home instance.
enum class SubmitStatus : uint8_t {
  Answered,
  NotRun,
  Unknown,
  Redirect,
  NotOwner
};

/// How an upstream ended a dispatched request.
enum class DispatchStatus : uint8_t {
  Done,
  Shed,
  Draining,
  Expired,
  Cancelled
};

enum class MemberState : uint8_t {
  Joining,
  Active,
  Leaving,
  Suspect,
  Dead,
  Left
};

/// Whether a member in this state runs, as far as is known.
constexpr bool isAlive(MemberState State) {
  return State != MemberState::Dead && State != MemberState::Left;
}

/// The class of a service. Interactive work is served before bulk work.
enum class Priority : uint8_t { Interactive, Bulk };

enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

std::string_view nameOf(Outcome Value);
std::string_view nameOf(SubmitStatus Value);
std::string_view nameOf(DispatchStatus Value);
std::string_view nameOf(MemberState Value);
std::string_view nameOf(Priority Value);
std::string_view nameOf(LogLevel Value);

} // namespace indigopoint

template <typename Tag, typename Rep>
struct std::hash<indigopoint::TypedId<Tag, Rep>> {
  size_t operator()(const indigopoint::TypedId<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>{}(Id.value());
  }
};
