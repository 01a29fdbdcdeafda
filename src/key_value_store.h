#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace indigopoint {

/// The result of a call to the key-value store of the hosting platform.
struct StoreReply {
  enum class Status : uint8_t {
    Done,
    /// The key does not exist.
    Absent,
    /// The key has another revision. The reply contains the key's current
    /// revision and value.
    Conflict,
    TooLarge,
    /// There was no answer; the call may have taken effect.
    NoAnswer
  };

  Status Result = Status::NoAnswer;
  uint64_t Revision = 0;
  std::string Value;
  std::vector<std::string> Keys;
  /// The reason if there is no answer.
  std::string Detail;
};

/// The platform's key-value store, as used by the commands for operators. Calls
/// block until they are answered.
class KeyValueStore {
public:
  virtual ~KeyValueStore() = default;
  virtual StoreReply get(const std::string &Key) = 0;
  /// Writes the value if the key has \p Revision. With revision 0, writes only
  /// if the key does not exist.
  virtual StoreReply put(const std::string &Key, const std::string &Value,
                         uint64_t Revision) = 0;
  virtual StoreReply remove(const std::string &Key) = 0;
  virtual StoreReply list(const std::string &Prefix) = 0;
};

} // namespace indigopoint
