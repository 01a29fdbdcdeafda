#pragma once

#include <optional>
#include <string>
#include <variant>

#include "store_format.h"

namespace indigopoint {

/// A change or a snapshot that is newer than the current configuration.
using NewerConfig = std::variant<ConfigChange, Configuration>;

/// Puts together the configuration from its keys in the store: names the key to
/// read next and decodes the values. Makes no calls.
class ConfigAssembler {
public:
  enum class Step : uint8_t {
    NextChange,
    ChangePart,
    SnapshotHeader,
    SnapshotPart
  };

  /// What the value of a key, or its absence, means.
  struct Result {
    enum class Kind : uint8_t {
      /// More keys must be read.
      Incomplete,
      /// Config holds what was put together.
      Newer,
      /// The store has nothing newer at this step.
      NothingNewer,
      /// The value cannot be used; Problem says why.
      Malformed
    };

    Kind ResultKind = Kind::Incomplete;
    std::optional<NewerConfig> Config;
    std::string Problem;
  };

  /// \p Prefix of the keys must outlive the assembler.
  explicit ConfigAssembler(const std::string &Prefix) : Prefix(Prefix) {}

  /// Begins with the newest snapshot, or with the change after the current
  /// version. What was read of an unfinished one is discarded.
  void startWithSnapshot() { CurrentStep = Step::SnapshotHeader; }
  void startWithNextChange() { CurrentStep = Step::NextChange; }

  Step step() const { return CurrentStep; }

  /// The key to read next, if \p Current is the version in force.
  std::string nextKey(ConfigVersion Current) const;

  /// Processes the value of nextKey() for the same \p Current.
  Result onFound(const std::string &Value, ConfigVersion Current);

  /// Called if nextKey() does not exist.
  Result onMissing();

private:
  Result onChange(const std::string &Value, ConfigVersion Current);
  Result onChangePart(const std::string &Value);
  Result onSnapshotHeader(const std::string &Value, ConfigVersion Current);
  Result onSnapshotPart(const std::string &Value);

  const std::string &Prefix;
  Step CurrentStep = Step::SnapshotHeader;
  ConfigChange Change;
  SnapshotHeader Header;
  Configuration Snapshot;
  uint32_t PartIndex = 0;
};

} // namespace indigopoint
