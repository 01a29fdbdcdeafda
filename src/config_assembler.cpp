#include "config_assembler.h"

#include <utility>

#include "config_codec.h"

namespace indigopoint {

namespace {

using Result = ConfigAssembler::Result;

// A value with a higher number of parts is malformed: at 900 KB per part, this
// number exceeds any configuration that the instances accept.
constexpr uint32_t MaxParts = 64;

Result malformed(std::string Problem) {
  return {Result::Kind::Malformed, std::nullopt, std::move(Problem)};
}

Result malformed(std::error_code Error) {
  return malformed("it is malformed: " + Error.message());
}

Result newer(NewerConfig Config) {
  return {Result::Kind::Newer, std::move(Config), {}};
}

Result nothingNewer() { return {Result::Kind::NothingNewer, std::nullopt, {}}; }

} // namespace

std::string ConfigAssembler::nextKey(ConfigVersion Current) const {
  switch (CurrentStep) {
  case Step::NextChange:
    return changeKey(Prefix, ConfigVersion(Current.value() + 1));
  case Step::ChangePart:
    return changePartKey(Prefix, Change.ChangeId, PartIndex);
  case Step::SnapshotHeader:
    return snapshotLatestKey(Prefix);
  case Step::SnapshotPart:
    return snapshotPartKey(Prefix, Header.Version, PartIndex);
  }
  return {};
}

Result ConfigAssembler::onFound(const std::string &Value,
                                ConfigVersion Current) {
  switch (CurrentStep) {
  case Step::NextChange:
    return onChange(Value, Current);
  case Step::ChangePart:
    return onChangePart(Value);
  case Step::SnapshotHeader:
    return onSnapshotHeader(Value, Current);
  case Step::SnapshotPart:
    return onSnapshotPart(Value);
  }
  return {};
}

Result ConfigAssembler::onMissing() {
  if (CurrentStep == Step::ChangePart || CurrentStep == Step::SnapshotPart)
    return malformed("it is missing in the store");
  CurrentStep = Step::NextChange;
  return nothingNewer();
}

Result ConfigAssembler::onChange(const std::string &Value,
                                 ConfigVersion Current) {
  ConfigChange Decoded;
  if (const auto Error = decodeChange(Value, Decoded))
    return malformed(Error);
  // A change with too many parts is rejected with the same message.
  if (Decoded.Version.value() != Current.value() + 1 ||
      Decoded.Parts > MaxParts)
    return malformed(
        "it holds version " + std::to_string(Decoded.Version.value()) +
        ", but the version in force is " + std::to_string(Current.value()));
  Change = std::move(Decoded);
  if (Change.Parts == 0)
    return newer(std::exchange(Change, {}));
  PartIndex = 0;
  CurrentStep = Step::ChangePart;
  return {};
}

Result ConfigAssembler::onChangePart(const std::string &Value) {
  if (const auto Error = addChangePart(Value, Change))
    return malformed(Error);
  if (++PartIndex < Change.Parts)
    return {};
  Change.Parts = 0;
  CurrentStep = Step::NextChange;
  return newer(std::exchange(Change, {}));
}

Result ConfigAssembler::onSnapshotHeader(const std::string &Value,
                                         ConfigVersion Current) {
  if (const auto Error = decodeSnapshotHeader(Value, Header))
    return malformed(Error);
  if (Header.Version <= Current) {
    CurrentStep = Step::NextChange;
    return nothingNewer();
  }
  if (Header.Parts == 0 || Header.Parts > MaxParts)
    return malformed("it refers to " + std::to_string(Header.Parts) +
                     " parts; the allowed number is 1 to " +
                     std::to_string(MaxParts));
  Snapshot = Configuration();
  Snapshot.Version = Header.Version;
  PartIndex = 0;
  CurrentStep = Step::SnapshotPart;
  return {};
}

Result ConfigAssembler::onSnapshotPart(const std::string &Value) {
  if (const auto Error = addSnapshotPart(Value, Snapshot))
    return malformed(Error);
  if (++PartIndex < Header.Parts)
    return {};
  CurrentStep = Step::NextChange;
  return newer(std::exchange(Snapshot, {}));
}

} // namespace indigopoint
