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
constexpr int64_t millisecondsOf(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
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
/// Random for each process start; distinguishes processes that use the same
/// address one after the other.
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

/// The final outcome of a request, as reported to the caller.
enum class Outcome : uint8_t { Answered, RefusedNotRun, Unknown };

/// The result that an owner instance returns for a submission of a home
/// instance.
enum class SubmitStatus : uint8_t {
  Answered,
  NotRun,
  Unknown,
  Redirect,
  NotOwner
};

/// The result of a request that was dispatched to an upstream.
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

/// Whether a member in this state is considered running.
constexpr bool isAlive(MemberState State) {
  return State != MemberState::Dead && State != MemberState::Left;
}

/// The priority class of a service. Interactive requests are served before bulk
/// requests.
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
