#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "types.h"

namespace indigopoint {

/// One fault of a settings file.
struct SettingsError {
  std::string File;
  /// The JSON pointer of the value.
  std::string Pointer;
  std::string Found;
  std::string Remedy;
};

std::string toString(const SettingsError &Error);

/// Reads the members of one object of a settings file and collects all errors.
/// A value that is absent or wrong leaves its target as it was.
class SettingsReader {
public:
  SettingsReader(const nlohmann::json &Object, const std::string &Pointer,
                 const std::string &File, std::vector<SettingsError> &Errors)
      : Object(Object), Pointer(Pointer), File(File), Errors(Errors) {}

  void fail(const std::string &Key, const std::string &Found,
            const std::string &Remedy);

  /// The value of \p Key; null if it is absent.
  const nlohmann::json *find(const std::string &Key, bool Required = false);

  void text(const std::string &Key, std::string &Out, bool Required = false);
  void endpoint(const std::string &Key, Endpoint &Out, bool Required = false);
  void endpoints(const std::string &Key, std::vector<Endpoint> &Out);

  /// A whole number from \p Least to \p Most.
  void milliseconds(const std::string &Key, Duration &Out, uint64_t Least,
                    uint64_t Most);

  /// A whole number from 0 to \p Most.
  void wholeNumber(const std::string &Key, uint32_t &Out, uint32_t Most);

  /// A number from 0 to \p Most, fractions allowed.
  void seconds(const std::string &Key, Duration &Out, uint32_t Most);

  void number(const std::string &Key, std::optional<uint64_t> &Out);

  /// Refuses keys that were not asked for.
  void reportUnknownKeys();

private:
  void endpointAt(const std::string &Key, const nlohmann::json &Value,
                  Endpoint &Out);
  std::string nearest(const std::string &Key) const;

  const nlohmann::json &Object;
  std::string Pointer;
  const std::string &File;
  std::vector<SettingsError> &Errors;
  std::vector<std::string> Known;
};

/// Parses \p Text, JSON with comments, and hands its object to \p Read.
/// Returns all errors. \p File is only named in errors.
std::vector<SettingsError>
readSettingsText(const std::string &Text, const std::string &File,
                 const std::function<void(SettingsReader &)> &Read);

/// Reads a file into \p Text. Returns what failed.
std::vector<SettingsError> readSettingsFile(const std::string &File,
                                            std::string &Text);

} // namespace indigopoint
