#include "site_config.h"

#include <cerrno>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "site_checks.h"
#include "site_merge.h"
#include "site_schema.h"

namespace indigopoint {

namespace {

Duration secondsOf(const JsonNode &Value) {
  return Duration(std::llround(Value.Number * 1e6));
}

Endpoint addressOf(const JsonNode &Value) {
  Endpoint Parsed;
  parseEndpoint(Value.String, Parsed);
  return Parsed;
}

void readInteger(const JsonNode &Object, std::string_view Key, uint32_t &Out) {
  if (const JsonNode *Value = Object.find(Key))
    Out = static_cast<uint32_t>(Value->Number);
}

void readSeconds(const JsonNode &Object, std::string_view Key, Duration &Out) {
  if (const JsonNode *Value = Object.find(Key))
    Out = secondsOf(*Value);
}

UpstreamConfig upstreamFrom(const JsonNode &Value, const JsonNode *Defaults,
                            const std::string &Service) {
  UpstreamConfig Upstream;
  Upstream.Name = Value.find("name")->String;
  Upstream.Id = upstreamIdOf(Service, Upstream.Name);
  Upstream.Zone = Value.find("zone")->String;
  Upstream.Address = addressOf(*Value.find("address"));
  if (const JsonNode *Admin = Value.find("admin"))
    Upstream.Admin = addressOf(*Admin);
  for (const JsonNode *Source : {Defaults, &Value})
    if (Source != nullptr) {
      readInteger(*Source, "slots", Upstream.Slots);
      readInteger(*Source, "connections", Upstream.Connections);
    }
  if (const JsonNode *Draining = Value.find("draining"))
    Upstream.Draining = Draining->Boolean;
  return Upstream;
}

ServiceConfig serviceFrom(const JsonNode &Value) {
  ServiceConfig Service;
  Service.Name = Value.find("name")->String;
  Service.Id = ServiceId(static_cast<uint32_t>(Value.find("id")->Number));
  Service.Tenant = Value.find("tenant")->String;
  if (Value.find("class")->String == nameOf(Priority::Bulk))
    Service.Class = Priority::Bulk;
  if (const JsonNode *Saturation = Value.find("saturation"))
    Service.Saturation = Saturation->Number;
  readInteger(Value, "queueLimit", Service.QueueLimit);
  readSeconds(Value, "warmupSeconds", Service.Warmup);
  readSeconds(Value, "drainGraceSeconds", Service.DrainGrace);
  readSeconds(Value, "idleTimeoutSeconds", Service.IdleTimeout);
  if (const JsonNode *Upstreams = Value.find("upstreams"))
    for (const JsonNode &Upstream : Upstreams->Items)
      Service.Upstreams.push_back(
          upstreamFrom(Upstream, Value.find("upstreamDefaults"), Service.Name));
  return Service;
}

Configuration configurationFrom(const JsonNode &Root) {
  Configuration Config;
  for (const JsonNode &Zone : Root.find("zones")->Items)
    Config.Zones.push_back(
        {Zone.find("name")->String, Zone.find("region")->String});
  for (const JsonNode &Service : Root.find("services")->Items) {
    ServiceConfig Parsed = serviceFrom(Service);
    Config.Services[Parsed.Id] = std::move(Parsed);
  }
  return Config;
}

std::optional<JsonNode>
parseAndCheckSchema(const SiteFile &File, bool IsOverlay, SiteErrors &Errors) {
  std::optional<JsonNode> Root = parseJson(File.Path, File.Text, Errors);
  if (Root)
    checkSchema(*Root, IsOverlay, Errors);
  return Root;
}

} // namespace

std::string siteNameOf(const std::string &OverlayPath) {
  return std::filesystem::path(OverlayPath).stem().string();
}

SiteErrors buildSiteConfig(const SiteFile &Base,
                           const std::vector<SiteFile> &Overlays,
                           SiteConfig &Out) {
  SiteErrors Errors;
  std::optional<JsonNode> Root = parseAndCheckSchema(Base, false, Errors);
  std::vector<JsonNode> ParsedOverlays;
  for (const SiteFile &File : Overlays)
    if (std::optional<JsonNode> Overlay =
            parseAndCheckSchema(File, true, Errors))
      ParsedOverlays.push_back(std::move(*Overlay));
  // Merging values of a wrong type would report the same errors again.
  if (!Errors.empty())
    return Errors;
  for (JsonNode &Overlay : ParsedOverlays)
    checkScopeAndSetZones(Overlay, siteNameOf(*Overlay.File), *Root, Errors);
  if (!Errors.empty())
    return Errors;
  for (const JsonNode &Overlay : ParsedOverlays)
    mergeOverlay(*Root, Overlay);
  checkRequiredKeys(*Root, Errors);
  if (Errors.empty())
    checkSemantics(*Root, Errors);
  if (!Errors.empty())
    return Errors;
  Out.Config = configurationFrom(*Root);
  Out.RetiredIds.clear();
  if (const JsonNode *Retired = Root->find("retiredServiceIds"))
    for (const JsonNode &Id : Retired->Items)
      Out.RetiredIds.emplace(static_cast<uint32_t>(Id.Number));
  Out.MergedJson = std::move(*Root);
  return Errors;
}

SiteErrors checkServiceIds(const Configuration &Current,
                           const SiteConfig &NewConfig) {
  SiteErrors Errors;
  const JsonNode *Services = NewConfig.MergedJson.find("services");
  for (const auto &[Id, CurrentService] : Current.Services) {
    const auto It = NewConfig.Config.Services.find(Id);
    const std::string Number = std::to_string(Id.value());
    if (It == NewConfig.Config.Services.end()) {
      if (!NewConfig.RetiredIds.contains(Id))
        Errors.push_back(Services->error(
            SiteErrorKind::ReusedId,
            "no service with id " + Number +
                ", which the current configuration uses for \"" +
                CurrentService.Name + "\"",
            "add " + Number + " to \"retiredServiceIds\" to remove it"));
    } else if (It->second.Name != CurrentService.Name) {
      Errors.push_back(Services->error(
          SiteErrorKind::ReusedId,
          "id " + Number + " for \"" + It->second.Name +
              "\", which the current configuration uses for \"" +
              CurrentService.Name + "\"",
          "give the new service an id that was never used"));
    }
  }
  return Errors;
}

bool readSiteFile(const std::string &Path, SiteFile &Out, SiteErrors &Errors) {
  std::ifstream Stream(Path, std::ios::binary);
  std::error_code Error;
  if (!Stream || std::filesystem::is_directory(Path, Error)) {
    Errors.push_back({SiteErrorKind::UnreadableFile, Path, 0, "",
                      "no readable file",
                      "check the path and its permissions"});
    return false;
  }
  const auto Size = std::filesystem::file_size(Path, Error);
  const size_t Limit = JsonLimits().MaxBytes;
  if (!Error && Size > Limit) {
    Errors.push_back(
        {SiteErrorKind::FileTooLarge, Path, 0, "",
         std::to_string(Size) + " bytes",
         "keep the file within " + std::to_string(Limit) + " bytes"});
    return false;
  }
  std::ostringstream Text;
  Text << Stream.rdbuf();
  Out = {Path, Text.str()};
  return true;
}

} // namespace indigopoint
