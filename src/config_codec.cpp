#include "config_codec.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string_view>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace indigopoint {

using Json = nlohmann::json;

namespace {

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

UpstreamConfig upstreamOf(const Json &Value, const std::string &Service) {
  UpstreamConfig Upstream;
  Upstream.Name = Value.at("name").get<std::string>();
  Upstream.Id = upstreamIdOf(Service, Upstream.Name);
  Upstream.Zone = Value.at("zone").get<std::string>();
  Upstream.Address = endpointOf(Value.at("address"));
  Upstream.Admin = endpointOf(Value.at("admin"));
  Upstream.Slots = Value.at("slots").get<uint32_t>();
  Upstream.Connections = Value.at("connections").get<uint32_t>();
  Upstream.Draining = Value.at("draining").get<bool>();
  return Upstream;
}

ServiceConfig serviceOf(const Json &Value) {
  ServiceConfig Service;
  Service.Id = ServiceId(Value.at("id").get<uint32_t>());
  Service.Name = Value.at("name").get<std::string>();
  Service.Tenant = Value.at("tenant").get<std::string>();
  Service.Class = Value.at("class").get<std::string>() == nameOf(Priority::Bulk)
                      ? Priority::Bulk
                      : Priority::Interactive;
  Service.Saturation = Value.at("saturation").get<double>();
  Service.QueueLimit = Value.at("queueLimit").get<uint32_t>();
  Service.Warmup = Duration(Value.at("warmupUs").get<int64_t>());
  Service.DrainGrace = Duration(Value.at("drainGraceUs").get<int64_t>());
  Service.IdleTimeout = Duration(Value.at("idleTimeoutUs").get<int64_t>());
  for (const Json &Upstream : Value.at("upstreams"))
    Service.Upstreams.push_back(upstreamOf(Upstream, Service.Name));
  return Service;
}

std::vector<ZoneConfig> zonesOf(const Json &Value) {
  std::vector<ZoneConfig> Zones;
  for (const Json &Zone : Value)
    Zones.push_back({Zone.at("name").get<std::string>(),
                     Zone.at("region").get<std::string>()});
  return Zones;
}

// Runs a decoder that throws on malformed input.
template <typename Value, typename Decoder>
std::error_code decode(const std::string &Text, Value &Out, Decoder Decode) {
  try {
    Out = Decode(Json::parse(Text));
  } catch (const Json::exception &) {
    return std::make_error_code(std::errc::bad_message);
  }
  return {};
}

ConfigChange changeOf(const Json &Value) {
  ConfigChange Change;
  Change.Version = ConfigVersion(Value.at("version").get<uint64_t>());
  Change.ChangeId = Value.at("changeId").get<std::string>();
  Change.Author = Value.at("author").get<std::string>();
  if (Value.contains("zones"))
    Change.Zones = zonesOf(Value.at("zones"));
  // The stored key of ChangedServices is "replaced".
  for (const Json &Service : Value.at("replaced"))
    Change.ChangedServices.push_back(serviceOf(Service));
  for (const Json &Id : Value.at("removed"))
    Change.RemovedServices.emplace_back(Id.get<uint32_t>());
  Change.Parts = Value.value("parts", 0U);
  return Change;
}

Configuration configurationOf(const Json &Value) {
  Configuration Config;
  Config.Version = ConfigVersion(Value.at("version").get<uint64_t>());
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
