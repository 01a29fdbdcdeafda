#include "settings_reader.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>

#include "document_reader.h"

namespace indigopoint {

using Json = nlohmann::json;

namespace {

constexpr uintmax_t MaxFileBytes = uintmax_t{1} << 20;

// Returns the Levenshtein distance.
size_t editDistance(const std::string &A, const std::string &B) {
  std::vector<size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (size_t I = 1; I <= A.size(); ++I) {
    size_t Diagonal = Row[0];
    Row[0] = I;
    for (size_t J = 1; J <= B.size(); ++J) {
      const size_t Substitution = Diagonal + (A[I - 1] == B[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Substitution});
    }
  }
  return Row.back();
}

} // namespace

std::string toString(const SettingsError &Error) {
  const std::string Location = Error.Pointer.empty() ? "/" : Error.Pointer;
  return Error.File + ": " + Location + ": found " + Error.FoundValue + "; " +
         Error.Remedy;
}

void SettingsReader::fail(const std::string &Key, const std::string &FoundValue,
                          const std::string &Remedy) {
  Errors.push_back({File, Pointer + "/" + Key, FoundValue, Remedy});
}

const Json *SettingsReader::find(const std::string &Key, bool Required) {
  KnownKeys.push_back(Key);
  const auto It = Object.find(Key);
  if (It != Object.end() && (Required || !It->is_null()))
    return &*It;
  if (Required)
    fail(Key, "nothing", "add this key");
  return nullptr;
}

void SettingsReader::text(const std::string &Key, std::string &Out,
                          bool Required) {
  const Json *Value = find(Key, Required);
  if (Value == nullptr)
    return;
  if (!Value->is_string() ||
      (Required && Value->get_ref<const std::string &>().empty()))
    fail(Key, Value->dump(), "give a text in quotes that is not empty");
  else
    Out = Value->get<std::string>();
}

void SettingsReader::endpoint(const std::string &Key, Endpoint &Out,
                              bool Required) {
  if (const Json *Value = find(Key, Required))
    parseEndpointValue(Key, *Value, Out);
}

void SettingsReader::endpoints(const std::string &Key,
                               std::vector<Endpoint> &Out) {
  const Json *Value = find(Key);
  if (Value == nullptr)
    return;
  if (!Value->is_array()) {
    fail(Key, Value->dump(), "give a list of addresses");
    return;
  }
  for (size_t Index = 0; Index < Value->size(); ++Index)
    parseEndpointValue(Key + "/" + std::to_string(Index), (*Value)[Index],
                       Out.emplace_back());
}

void SettingsReader::milliseconds(const std::string &Key, Duration &Out,
                                  uint64_t Min, uint64_t Max) {
  const Json *Value = find(Key);
  if (Value == nullptr)
    return;
  // JSON writers may write a whole number with a fraction, such as 4.0.
  const double Number = Value->is_number() ? Value->get<double>() : -1;
  if (Number != std::floor(Number) || Number < static_cast<double>(Min) ||
      Number > static_cast<double>(Max))
    fail(Key, Value->dump(),
         "give a whole number of milliseconds from " + std::to_string(Min) +
             " to " + std::to_string(Max));
  else
    Out = std::chrono::milliseconds(static_cast<int64_t>(Number));
}

void SettingsReader::wholeNumber(const std::string &Key, uint32_t &Out,
                                 uint32_t Max) {
  const Json *Value = find(Key);
  if (Value == nullptr)
    return;
  // JSON writers may write a whole number with a fraction, such as 4.0.
  const double Number = Value->is_number() ? Value->get<double>() : -1;
  if (Number != std::floor(Number) || Number < 0 || Number > Max)
    fail(Key, Value->dump(),
         "give a whole number from 0 to " + std::to_string(Max));
  else
    Out = static_cast<uint32_t>(Number);
}

template <typename Unit>
void SettingsReader::duration(const std::string &Key, Duration &Out,
                              uint64_t Min, uint64_t Max,
                              const std::string &UnitName) {
  const Json *Value = find(Key);
  if (Value == nullptr)
    return;
  const double Number = Value->is_number() ? Value->get<double>() : -1;
  if (Number < static_cast<double>(Min) || Number > static_cast<double>(Max))
    fail(Key, Value->dump(),
         "give a number of " + UnitName + " from " + std::to_string(Min) +
             " to " + std::to_string(Max));
  else
    Out = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Unit>(Number));
}

void SettingsReader::fractionalMilliseconds(const std::string &Key,
                                            Duration &Out, uint64_t Min,
                                            uint64_t Max) {
  duration<std::milli>(Key, Out, Min, Max, "milliseconds");
}

void SettingsReader::seconds(const std::string &Key, Duration &Out,
                             uint32_t Max) {
  duration<std::ratio<1>>(Key, Out, 0, Max, "seconds");
}

void SettingsReader::boolean(const std::string &Key, bool &Out) {
  const Json *Value = find(Key);
  if (Value == nullptr)
    return;
  if (!Value->is_boolean())
    fail(Key, Value->dump(), "give true or false");
  else
    Out = Value->get<bool>();
}

void SettingsReader::number(const std::string &Key, double &Out, double Min,
                            double Max) {
  const Json *Value = find(Key);
  if (Value == nullptr)
    return;
  if (!Value->is_number() || Value->get<double>() < Min ||
      Value->get<double>() > Max)
    fail(Key, Value->dump(),
         "give a number from " + Json(Min).dump() + " to " + Json(Max).dump());
  else
    Out = Value->get<double>();
}

void SettingsReader::object(
    const std::string &Key,
    const std::function<void(SettingsReader &)> &ReadMembers) {
  const Json *Value = find(Key);
  if (Value == nullptr)
    return;
  if (!Value->is_object()) {
    fail(Key, Value->dump(), "give an object");
    return;
  }
  SettingsReader Members(*Value, Pointer + "/" + Key, File, Errors);
  ReadMembers(Members);
  Members.reportUnknownKeys();
}

void SettingsReader::optionalUnsigned(const std::string &Key,
                                      std::optional<uint64_t> &Out) {
  const Json *Value = find(Key);
  if (Value == nullptr)
    return;
  if (!Value->is_number_unsigned())
    fail(Key, Value->dump(), "give a whole number that is not negative");
  else
    Out = Value->get<uint64_t>();
}

void SettingsReader::reportUnknownKeys() {
  for (const auto &[Key, Value] : Object.items())
    if (std::find(KnownKeys.begin(), KnownKeys.end(), Key) == KnownKeys.end())
      fail(Key, "an unknown key",
           "remove it, or use the nearest known key \"" + nearest(Key) + "\"");
}

void SettingsReader::parseEndpointValue(const std::string &Key,
                                        const Json &Value, Endpoint &Out) {
  if (!Value.is_string() ||
      !parseEndpoint(Value.get_ref<const std::string &>(), Out))
    fail(Key, Value.dump(),
         "give a numeric address and port such as \"127.0.0.1:7000\"");
  else if (Out.Address == 0)
    fail(Key, Value.dump(), "give an address other than 0.0.0.0");
}

std::string SettingsReader::nearest(const std::string &Key) const {
  return *std::min_element(KnownKeys.begin(), KnownKeys.end(),
                           [&](const std::string &A, const std::string &B) {
                             return editDistance(A, Key) < editDistance(B, Key);
                           });
}

std::vector<SettingsError>
readSettingsText(const std::string &Text, const std::string &File,
                 const std::function<void(SettingsReader &)> &ReadMembers) {
  std::vector<SettingsError> Errors;
  Json Root;
  try {
    Root = readDocument(Text, DocumentFormat::JsonWithComments);
  } catch (const DocumentError &Error) {
    return {{File, "",
             "line " + std::to_string(Error.line()) + ": " + Error.what(),
             "correct the JSON text"}};
  }
  if (!Root.is_object())
    return {{File, "", Root.dump(), "give an object"}};
  SettingsReader Reader(Root, "", File, Errors);
  ReadMembers(Reader);
  Reader.reportUnknownKeys();
  return Errors;
}

std::vector<SettingsError> readSettingsFile(const std::string &File,
                                            std::string &Text) {
  std::error_code Error;
  if (const auto Size = std::filesystem::file_size(File, Error);
      !Error && Size > MaxFileBytes)
    return {
        {File, "", std::to_string(Size) + " bytes",
         "keep the file within " + std::to_string(MaxFileBytes) + " bytes"}};
  std::ifstream Stream(File, std::ios::binary);
  std::ostringstream Contents;
  Contents << Stream.rdbuf();
  if (!Stream)
    return {{File, "", "no readable file", "name an existing file"}};
  Text = Contents.str();
  return {};
}

} // namespace indigopoint
