#include "store_format.h"

#include <utility>

#include "config_codec.h"
#include "document_reader.h"
#include "json_fields.h"

namespace indigopoint {

namespace {

std::error_code badMessage() {
  return std::make_error_code(std::errc::bad_message);
}

std::error_code tooLarge() {
  return std::make_error_code(std::errc::value_too_large);
}

} // namespace

std::string changeKey(const std::string &Prefix, ConfigVersion Version) {
  return Prefix + "change/" + std::to_string(Version.value());
}

std::string changePartKey(const std::string &Prefix,
                          const std::string &ChangeId, size_t Part) {
  return Prefix + "part/" + ChangeId + "/" + std::to_string(Part);
}

std::string snapshotLatestKey(const std::string &Prefix) {
  return Prefix + "snapshot/latest";
}

std::string snapshotPartKey(const std::string &Prefix, ConfigVersion Version,
                            size_t Part) {
  return Prefix + "snapshot/" + std::to_string(Version.value()) + "/" +
         std::to_string(Part);
}

std::error_code encodeStoredChange(const ConfigChange &Change,
                                   StoredChange &Out, size_t Limit) {
  StoredChange Stored{encodeChange(Change), {}};
  if (Stored.Value.size() <= Limit) {
    Out = std::move(Stored);
    return {};
  }
  ConfigChange ChangeHeader = Change;
  ChangeHeader.ChangedServices.clear();
  ConfigChange Part;
  Part.ChangeId = Change.ChangeId;
  const size_t EmptyPartSize = encodeChange(Part).size();
  size_t Size = EmptyPartSize;
  for (const ServiceConfig &Service : Change.ChangedServices) {
    ConfigChange OneServiceChange;
    OneServiceChange.ChangeId = Change.ChangeId;
    OneServiceChange.ChangedServices = {Service};
    const size_t ServiceSize =
        encodeChange(OneServiceChange).size() - EmptyPartSize + 1;
    if (EmptyPartSize + ServiceSize > Limit)
      return tooLarge();
    if (Size + ServiceSize > Limit) {
      Stored.Parts.push_back(encodeChange(Part));
      Part.ChangedServices.clear();
      Size = EmptyPartSize;
    }
    Part.ChangedServices.push_back(Service);
    Size += ServiceSize;
  }
  if (!Part.ChangedServices.empty())
    Stored.Parts.push_back(encodeChange(Part));
  ChangeHeader.Parts = static_cast<uint32_t>(Stored.Parts.size());
  Stored.Value = encodeChange(ChangeHeader);
  if (Stored.Value.size() > Limit)
    return tooLarge();
  Out = std::move(Stored);
  return {};
}

std::error_code addChangePart(const std::string &Part, ConfigChange &Change) {
  ConfigChange DecodedPart;
  if (const std::error_code Error = decodeChange(Part, DecodedPart))
    return Error;
  if (DecodedPart.ChangeId != Change.ChangeId)
    return badMessage();
  for (ServiceConfig &Service : DecodedPart.ChangedServices)
    Change.ChangedServices.push_back(std::move(Service));
  return {};
}

std::string encodeSnapshotHeader(const SnapshotHeader &Header) {
  const nlohmann::json Value = {{"version", Header.Version.value()},
                                {"parts", Header.Parts}};
  return Value.dump();
}

std::error_code decodeSnapshotHeader(const std::string &Text,
                                     SnapshotHeader &Out) {
  try {
    const auto Value = readWholeDocument(Text, DocumentFormat::Json);
    Out = {ConfigVersion(readNumber(Value, "version", UINT64_MAX)),
           static_cast<uint32_t>(readNumber(Value, "parts", UINT32_MAX))};
  } catch (const std::exception &) {
    return badMessage();
  }
  return {};
}

std::error_code encodeSnapshotParts(const Configuration &Config,
                                    std::vector<std::string> &Parts,
                                    size_t Limit) {
  Configuration Part;
  Part.Version = Config.Version;
  Part.Zones = Config.Zones;
  const size_t EmptyPartSize = encodeConfiguration(Part).size();
  std::vector<std::string> EncodedParts;
  size_t Size = EmptyPartSize;
  for (const auto &[Id, Service] : Config.Services) {
    Configuration OneServiceConfig;
    OneServiceConfig.Version = Config.Version;
    OneServiceConfig.Zones = Config.Zones;
    OneServiceConfig.Services[Id] = Service;
    const size_t ServiceSize =
        encodeConfiguration(OneServiceConfig).size() - EmptyPartSize + 1;
    if (EmptyPartSize + ServiceSize > Limit)
      return tooLarge();
    if (Size + ServiceSize > Limit) {
      EncodedParts.push_back(encodeConfiguration(Part));
      Part.Services.clear();
      Size = EmptyPartSize;
    }
    Part.Services[Id] = Service;
    Size += ServiceSize;
  }
  EncodedParts.push_back(encodeConfiguration(Part));
  Parts = std::move(EncodedParts);
  return {};
}

std::error_code addSnapshotPart(const std::string &Part,
                                Configuration &Config) {
  Configuration DecodedPart;
  if (const std::error_code Error = decodeConfiguration(Part, DecodedPart))
    return Error;
  if (DecodedPart.Version != Config.Version)
    return badMessage();
  Config.Zones = std::move(DecodedPart.Zones);
  Config.Services.merge(DecodedPart.Services);
  return {};
}

} // namespace indigopoint
