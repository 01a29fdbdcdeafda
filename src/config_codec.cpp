#include "config_codec.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <stdexcept>
#include <string_view>

#include <xxhash.h>

#include "document_reader.h"
#include "json_fields.h"

namespace indigopoint {

using Json = nlohmann::json;

namespace {

// Ranges as in the configuration files (site_schema.cpp). A larger duration
// would overflow when it is added to a time.
constexpr uint64_t MaxSlots = 1'000'000;
constexpr uint64_t MaxConnections = 1'000'000;
constexpr double MaxSaturation = 1e6;
constexpr uint64_t MaxDurationUs = uint64_t{365} * 24 * 3600 * 1'000'000;

Json toJson(const UpstreamConfig &Upstream) {
  return {{"name", Upstream.Name},
          {"zone", Upstream.Zone},
          {"address", toString(Upstream.Address)},
          {"admin", toString(Upstream.Admin)},
          {"slots", Upstream.Slots},
          {"connections", Upstream.Connections},
          {"draining", Upstream.Draining}};
}

Json toJson(const ServiceConfig &Service) {
  Json Upstreams = Json::array();
  for (const UpstreamConfig &Upstream : Service.Upstreams)
    Upstreams.push_back(toJson(Upstream));
  return {{"id", Service.Id.value()},
          {"name", Service.Name},
          {"tenant", Service.Tenant},
          {"class", nameOf(Service.Class)},
          {"saturation", Service.Saturation},
          {"queueLimit", Service.QueueLimit},
          {"warmupUs", Service.Warmup.count()},
          {"drainGraceUs", Service.DrainGrace.count()},
          {"idleTimeoutUs", Service.IdleTimeout.count()},
          {"upstreams", std::move(Upstreams)}};
}

Json toJson(const std::vector<ZoneConfig> &Zones) {
  Json Array = Json::array();
  for (const ZoneConfig &Zone : Zones)
    Array.push_back({{"name", Zone.Name}, {"region", Zone.Region}});
  return Array;
}

Endpoint endpointOf(const Json &Text) {
  Endpoint Address;
  if (!parseEndpoint(Text.get_ref<const std::string &>(), Address))
    throw Json::other_error::create(501, "not an IPv4 address and port", &Text);
  return Address;
}

Duration durationOf(const Json &Value, const char *Field) {
  return Duration(
      static_cast<int64_t>(readNumber(Value, Field, MaxDurationUs)));
}

uint32_t smallNumberOf(const Json &Value, const char *Field, uint64_t Max) {
  return static_cast<uint32_t>(readNumber(Value, Field, Max));
}

UpstreamConfig upstreamOf(const Json &Value, const std::string &Service) {
  UpstreamConfig Upstream;
  Upstream.Name = readName(Value, "name");
  Upstream.Id = upstreamIdOf(Service, Upstream.Name);
  Upstream.Zone = readName(Value, "zone");
  Upstream.Address = endpointOf(Value.at("address"));
  Upstream.Admin = endpointOf(Value.at("admin"));
  Upstream.Slots = smallNumberOf(Value, "slots", MaxSlots);
  Upstream.Connections = smallNumberOf(Value, "connections", MaxConnections);
  Upstream.Draining = readFlag(Value, "draining");
  return Upstream;
}

ServiceConfig serviceOf(const Json &Value) {
  ServiceConfig Service;
  Service.Id = ServiceId(smallNumberOf(Value, "id", UINT32_MAX));
  Service.Name = readName(Value, "name");
  Service.Tenant = readName(Value, "tenant");
  Service.Class = readName(Value, "class") == nameOf(Priority::Bulk)
                      ? Priority::Bulk
                      : Priority::Interactive;
  Service.Saturation = readFraction(Value, "saturation", 0, MaxSaturation);
  Service.QueueLimit = smallNumberOf(Value, "queueLimit", UINT32_MAX);
  Service.Warmup = durationOf(Value, "warmupUs");
  Service.DrainGrace = durationOf(Value, "drainGraceUs");
  Service.IdleTimeout = durationOf(Value, "idleTimeoutUs");
  for (const Json &Upstream : Value.at("upstreams"))
    Service.Upstreams.push_back(upstreamOf(Upstream, Service.Name));
  return Service;
}

std::vector<ZoneConfig> zonesOf(const Json &Value) {
  std::vector<ZoneConfig> Zones;
  for (const Json &Zone : Value)
    Zones.push_back({readName(Zone, "name"), readName(Zone, "region")});
  return Zones;
}

// Runs a decoder that throws on malformed input.
template <typename Value, typename Decoder>
std::error_code decode(const std::string &Text, Value &Out, Decoder Decode) {
  try {
    Out = Decode(readWholeDocument(Text, DocumentFormat::Json));
  } catch (const std::exception &) {
    return std::make_error_code(std::errc::bad_message);
  }
  return {};
}

ConfigChange changeOf(const Json &Value) {
  ConfigChange Change;
  Change.Version = ConfigVersion(readNumber(Value, "version", UINT64_MAX));
  Change.ChangeId = readName(Value, "changeId");
  Change.Author = Value.at("author").get<std::string>();
  if (Value.contains("zones"))
    Change.Zones = zonesOf(Value.at("zones"));
  // The stored key of ChangedServices is "replaced".
  for (const Json &Service : Value.at("replaced"))
    Change.ChangedServices.push_back(serviceOf(Service));
  for (const Json &Id : Value.at("removed"))
    if (Id.is_number_unsigned() && Id.get<uint64_t>() <= UINT32_MAX)
      Change.RemovedServices.emplace_back(Id.get<uint32_t>());
    else
      throw std::invalid_argument("removed holds no ids of services");
  if (Value.contains("parts"))
    Change.Parts = smallNumberOf(Value, "parts", UINT32_MAX);
  return Change;
}

Configuration configurationOf(const Json &Value) {
  Configuration Config;
  Config.Version = ConfigVersion(readNumber(Value, "version", UINT64_MAX));
  Config.Zones = zonesOf(Value.at("zones"));
  for (const Json &Item : Value.at("services")) {
    ServiceConfig Service = serviceOf(Item);
    Config.Services[Service.Id] = std::move(Service);
  }
  return Config;
}

} // namespace

std::string encodeChange(const ConfigChange &Change) {
  Json Value = {{"version", Change.Version.value()},
                {"changeId", Change.ChangeId},
                {"author", Change.Author},
                {"replaced", Json::array()},
                {"removed", Json::array()}};
  if (Change.Zones)
    Value["zones"] = toJson(*Change.Zones);
  if (Change.Parts > 0)
    Value["parts"] = Change.Parts;
  for (const ServiceConfig &Service : Change.ChangedServices)
    Value["replaced"].push_back(toJson(Service));
  for (ServiceId Id : Change.RemovedServices)
    Value["removed"].push_back(Id.value());
  return Value.dump();
}

std::error_code decodeChange(const std::string &Text, ConfigChange &Out) {
  return decode(Text, Out, changeOf);
}

ConfigurationEncoder::ConfigurationEncoder(Configuration Config)
    : Config(std::move(Config)), Text("{\"services\":[") {}

bool ConfigurationEncoder::step(size_t MaxUpstreams) {
  size_t EncodedCount = 0;
  auto It = Config.Services.upper_bound(LastEncodedId);
  for (; It != Config.Services.end() && EncodedCount < MaxUpstreams; ++It) {
    if (LastEncodedId != ServiceId())
      Text += ',';
    Text += toJson(It->second).dump();
    EncodedCount += It->second.Upstreams.size() + 1;
    LastEncodedId = It->first;
  }
  if (It == Config.Services.end() && !Complete) {
    Text += "],\"version\":" + std::to_string(Config.Version.value()) +
            ",\"zones\":" + toJson(Config.Zones).dump() + "}";
    Complete = true;
  }
  return Complete;
}

std::string encodeConfiguration(const Configuration &Config) {
  ConfigurationEncoder Encoder(Config);
  Encoder.step(SIZE_MAX);
  return Encoder.take();
}

std::error_code decodeConfiguration(const std::string &Text,
                                    Configuration &Out) {
  return decode(Text, Out, configurationOf);
}

namespace {

constexpr size_t ChecksumChars = 16;

std::string checksumOf(std::string_view Text) {
  std::array<char, ChecksumChars + 1> Hex{};
  std::snprintf(
      Hex.data(), Hex.size(), "%016llx",
      static_cast<unsigned long long>(XXH64(Text.data(), Text.size(), 0)));
  return Hex.data();
}

} // namespace

std::string addChecksum(const std::string &Text) {
  return checksumOf(Text) + Text;
}

std::error_code stripChecksum(const std::string &ChecksummedText,
                              std::string &Out) {
  if (ChecksummedText.size() < ChecksumChars)
    return std::make_error_code(std::errc::bad_message);
  const std::string_view Text =
      std::string_view(ChecksummedText).substr(ChecksumChars);
  if (ChecksummedText.compare(0, ChecksumChars, checksumOf(Text)) != 0)
    return std::make_error_code(std::errc::bad_message);
  Out = std::string(Text);
  return {};
}

} // namespace indigopoint
