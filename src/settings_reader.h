#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "types.h"

namespace indigopoint {

/// One error in a settings file.
struct SettingsError {
  std::string File;
  /// The JSON pointer of the value.
  std::string Pointer;
  std::string FoundValue;
  std::string Remedy;
};

std::string toString(const SettingsError &Error);

/// Parses the members of one object of a settings file and collects all errors.
/// An absent or invalid value leaves the output parameter unchanged.
class SettingsReader {
public:
  SettingsReader(const nlohmann::json &Object, const std::string &Pointer,
                 const std::string &File, std::vector<SettingsError> &Errors)
      : Object(Object), Pointer(Pointer), File(File), Errors(Errors) {}

  void fail(const std::string &Key, const std::string &FoundValue,
            const std::string &Remedy);

  /// Returns the value of \p Key, or null if it is absent, and marks the key as
  /// known. An optional key with the value null counts as absent.
  const nlohmann::json *find(const std::string &Key, bool Required = false);

  void text(const std::string &Key, std::string &Out, bool Required = false);
  void endpoint(const std::string &Key, Endpoint &Out, bool Required = false);
  void endpoints(const std::string &Key, std::vector<Endpoint> &Out);

  /// A whole number from \p Min to \p Max.
  void milliseconds(const std::string &Key, Duration &Out, uint64_t Min,
                    uint64_t Max);

  /// A whole number from 0 to \p Max.
  void wholeNumber(const std::string &Key, uint32_t &Out, uint32_t Max);

  /// A number of milliseconds from \p Min to \p Max, fractions allowed.
  void fractionalMilliseconds(const std::string &Key, Duration &Out,
                              uint64_t Min, uint64_t Max);

  /// A number of seconds from 0 to \p Max, fractions allowed.
  void seconds(const std::string &Key, Duration &Out, uint32_t Max);

  void boolean(const std::string &Key, bool &Out);

  /// A number from \p Min to \p Max.
  void number(const std::string &Key, double &Out, double Min, double Max);

  /// Passes the members of an object to \p ReadMembers and reports unknown
  /// ones.
  void object(const std::string &Key,
              const std::function<void(SettingsReader &)> &ReadMembers);

  void optionalUnsigned(const std::string &Key, std::optional<uint64_t> &Out);

  /// Adds an error for each key that no other function was called for.
  void reportUnknownKeys();

private:
  template <typename Unit>
  void duration(const std::string &Key, Duration &Out, uint64_t Min,
                uint64_t Max, const std::string &UnitName);
  void parseEndpointValue(const std::string &Key, const nlohmann::json &Value,
                          Endpoint &Out);
  std::string nearest(const std::string &Key) const;

  const nlohmann::json &Object;
  std::string Pointer;
  const std::string &File;
  std::vector<SettingsError> &Errors;
  std::vector<std::string> KnownKeys;
};

/// Parses \p Text, JSON with comments, and passes its object to \p ReadMembers.
/// Returns all errors. \p File is used only in error messages.
std::vector<SettingsError>
readSettingsText(const std::string &Text, const std::string &File,
                 const std::function<void(SettingsReader &)> &ReadMembers);

/// Loads a file into \p Text. Returns an error if that fails.
std::vector<SettingsError> readSettingsFile(const std::string &File,
                                            std::string &Text);

} // namespace indigopoint
