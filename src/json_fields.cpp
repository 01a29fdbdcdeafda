#include "json_fields.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

using Json = nlohmann::json;

// A text instead of an object has no fields.
const Json &valueOf(const Json &Object, const char *Field) {
  if (!Object.is_object())
    throw std::invalid_argument("the value is no object");
  const auto It = Object.find(Field);
  if (It == Object.end())
    throw std::invalid_argument(std::string(Field) + " is missing");
  return *It;
}

// 0.0.0.0 would send to this machine, multicast and broadcast addresses to
// others than the one that is meant.
bool isHostAddress(uint32_t Address) {
  const uint32_t FirstByte = Address >> 24;
  return FirstByte != 0 && FirstByte < 224;
}

} // namespace

uint64_t readNumber(const Json &Object, const char *Field, uint64_t Max) {
  const Json &Value = valueOf(Object, Field);
  if (!Value.is_number_unsigned() || Value.get<uint64_t>() > Max)
    throw std::invalid_argument(std::string(Field) +
                                " is not a whole number from 0 to " +
                                std::to_string(Max));
  return Value.get<uint64_t>();
}

std::optional<uint64_t> tryReadNumber(const Json &Object, const char *Field,
                                      uint64_t Max) {
  if (!Object.is_object())
    return std::nullopt;
  const auto Value = Object.find(Field);
  if (Value == Object.end() || !Value->is_number_unsigned() ||
      Value->get<uint64_t>() > Max)
    return std::nullopt;
  return Value->get<uint64_t>();
}

double readFraction(const Json &Object, const char *Field, double Min,
                    double Max) {
  const Json &Value = valueOf(Object, Field);
  const double Number = Value.is_number() ? Value.get<double>() : Min - 1;
  if (!(Number >= Min && Number <= Max))
    throw std::invalid_argument(std::string(Field) + " is not a number from " +
                                std::to_string(Min) + " to " +
                                std::to_string(Max));
  return Number;
}

std::string readName(const Json &Object, const char *Field) {
  const Json &Value = valueOf(Object, Field);
  if (!Value.is_string() ||
      Value.get_ref<const std::string &>().size() > MaxNameBytes)
    throw std::invalid_argument(std::string(Field) +
                                " is not a text of at most " +
                                std::to_string(MaxNameBytes) + " bytes");
  return Value.get<std::string>();
}

bool readFlag(const Json &Object, const char *Field) {
  const auto Value = Object.find(Field);
  if (Value == Object.end())
    return false;
  if (!Value->is_boolean())
    throw std::invalid_argument(std::string(Field) + " is not true or false");
  return Value->get<bool>();
}

Endpoint readEndpoint(const Json &Object, const char *Field) {
  Endpoint Out;
  if (!parseEndpoint(readName(Object, Field), Out) || Out.Port == 0 ||
      !isHostAddress(Out.Address))
    throw std::invalid_argument(std::string(Field) +
                                " is not the address and port of one machine");
  return Out;
}

} // namespace indigopoint
