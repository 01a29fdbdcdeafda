#include "site_checks.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "site_schema.h"
#include "types.h"

namespace indigopoint {

namespace {

std::string locationOf(const JsonNode &Value) {
  return *Value.File + ":" + std::to_string(Value.Line);
}

// Reports each value that was already added.
template <typename Key> class Uniqueness {
public:
  Uniqueness(SiteErrorKind Kind, std::string Remedy, SiteErrors &Errors)
      : Kind(Kind), Remedy(std::move(Remedy)), Errors(Errors) {}

  void add(const Key &Value, const JsonNode &Node) {
    const auto [It, IsNew] = FirstUses.emplace(Value, &Node);
    if (!IsNew)
      Errors.push_back(Node.error(
          Kind, Node.brief() + ", also used in " + locationOf(*It->second),
          Remedy));
  }

private:
  SiteErrorKind Kind;
  std::string Remedy;
  SiteErrors &Errors;
  std::map<Key, const JsonNode *> FirstUses;
};

class SemanticCheck {
public:
  SemanticCheck(const JsonNode &Root, SiteErrors &Errors);

  void checkService(const JsonNode &Service);

private:
  void checkUpstream(const std::string &Service, const JsonNode &Upstream);
  void checkZone(const JsonNode &Zone);

  SiteErrors &Errors;
  std::vector<std::string_view> Zones;
  std::map<int64_t, const JsonNode *> RetiredServices;
  Uniqueness<int64_t> Ids;
  Uniqueness<std::string> Addresses;
  Uniqueness<std::string> AdminAddresses;
  Uniqueness<UpstreamId> Upstreams;
};

SemanticCheck::SemanticCheck(const JsonNode &Root, SiteErrors &Errors)
    : Errors(Errors),
      Ids(SiteErrorKind::DuplicateId,
          "give each service an id that was never used", Errors),
      Addresses(SiteErrorKind::DuplicateAddress,
                "give each upstream its own address", Errors),
      AdminAddresses(SiteErrorKind::DuplicateAddress,
                     "give each upstream its own admin address", Errors),
      Upstreams(SiteErrorKind::HashCollision,
                "rename this upstream; both names have the same id", Errors) {
  for (const JsonNode &Zone : Root.find("zones")->Items)
    Zones.push_back(Zone.find("name")->String);
  if (const JsonNode *List = Root.find("retiredServiceIds"))
    for (const JsonNode &Id : List->Items)
      RetiredServices[*Id.Integer] = &Id;
}

void SemanticCheck::checkService(const JsonNode &Service) {
  const JsonNode &Id = *Service.find("id");
  Ids.add(*Id.Integer, Id);
  const auto It = RetiredServices.find(*Id.Integer);
  if (It != RetiredServices.end())
    Errors.push_back(
        Id.error(SiteErrorKind::ReusedId,
                 Id.brief() + ", retired in " + locationOf(*It->second),
                 "give the service an id that was never used"));
  const JsonNode *List = Service.find("upstreams");
  if (List == nullptr || List->Items.empty()) {
    Errors.push_back(Service.error(
        SiteErrorKind::NoUpstreams,
        "the service " + Service.find("name")->brief() + " without upstreams",
        "add upstreams here or in an overlay, or remove the service"));
    return;
  }
  for (const JsonNode &Upstream : List->Items)
    checkUpstream(Service.find("name")->String, Upstream);
}

void SemanticCheck::checkUpstream(const std::string &Service,
                                  const JsonNode &Upstream) {
  const JsonNode &Name = *Upstream.find("name");
  Upstreams.add(upstreamIdOf(Service, Name.String), Name);
  Addresses.add(Upstream.find("address")->String, *Upstream.find("address"));
  if (const JsonNode *Admin = Upstream.find("admin"))
    AdminAddresses.add(Admin->String, *Admin);
  checkZone(*Upstream.find("zone"));
}

void SemanticCheck::checkZone(const JsonNode &Zone) {
  for (std::string_view ZoneName : Zones)
    if (ZoneName == Zone.String)
      return;
  const std::string_view NearestZone = nearestName(Zone.String, Zones);
  Errors.push_back(Zone.error(
      SiteErrorKind::UnknownZone, "the unknown zone " + Zone.brief(),
      NearestZone.empty() ? "add the zone to \"zones\""
                          : "did you mean \"" + std::string(NearestZone) +
                                "\"? Otherwise add the zone to \"zones\""));
}

// An overlay element of an array of named objects, and the base element of the
// same name.
struct OverlayAndBase {
  std::string Name;
  JsonNode *Overlay = nullptr;
  const JsonNode *Base = nullptr;
};

std::vector<OverlayAndBase> pairByName(JsonNode *Overlay,
                                       const JsonNode *Base) {
  std::vector<OverlayAndBase> Pairs;
  if (Overlay == nullptr)
    return Pairs;
  for (auto &[Name, Value] : Overlay->Members)
    Pairs.push_back({Name, &Value, nullptr});
  for (JsonNode &Item : Overlay->Items)
    if (const JsonNode *Name = Item.find("name"))
      Pairs.push_back({Name->String, &Item, nullptr});
  if (Base != nullptr)
    for (const JsonNode &Item : Base->Items)
      for (OverlayAndBase &Pair : Pairs)
        if (const JsonNode *Name = Item.find("name");
            Name != nullptr && Name->String == Pair.Name)
          Pair.Base = &Item;
  return Pairs;
}

void checkScopeAndSetZone(OverlayAndBase &Pair, const std::string &Site,
                          SiteErrors &Errors) {
  const JsonNode *BaseZone =
      Pair.Base == nullptr ? nullptr : Pair.Base->find("zone");
  const JsonNode *OverlayZone = Pair.Overlay->find("zone");
  for (const JsonNode *Zone : {BaseZone, OverlayZone})
    if (Zone != nullptr && Zone->String != Site) {
      Errors.push_back(Pair.Overlay->error(
          SiteErrorKind::OverlayScope,
          "the upstream \"" + Pair.Name + "\" of zone " + Zone->brief(),
          "change it in the base file or in the overlay of its zone"));
      return;
    }
  if (BaseZone != nullptr || OverlayZone != nullptr ||
      Pair.Overlay->Type != JsonNode::ValueType::Object)
    return;
  JsonNode ZoneNode;
  ZoneNode.Type = JsonNode::ValueType::String;
  ZoneNode.String = Site;
  ZoneNode.File = Pair.Overlay->File;
  ZoneNode.Line = ZoneNode.KeyLine = Pair.Overlay->Line;
  ZoneNode.Pointer = Pair.Overlay->Pointer + "/zone";
  Pair.Overlay->Members.emplace_back("zone", std::move(ZoneNode));
}

void reportNotAllowed(const std::string &Key, const JsonNode &Value,
                      SiteErrors &Errors) {
  SiteError Error = Value.error(
      SiteErrorKind::OverlayScope,
      "\"" + Key + "\", which applies to all sites",
      "move it to the base file; an overlay changes upstreams of its zone");
  Error.Line = Value.KeyLine;
  Errors.push_back(std::move(Error));
}

void checkServiceScope(OverlayAndBase &Service, const std::string &Site,
                       SiteErrors &Errors) {
  if (Service.Overlay->Type == JsonNode::ValueType::Null || !Service.Base) {
    Errors.push_back(Service.Overlay->error(
        SiteErrorKind::OverlayScope,
        "the service \"" + Service.Name + "\" added or removed for one site",
        "add or remove services in the base file"));
    return;
  }
  for (const auto &[Key, Value] : Service.Overlay->Members)
    if (Key != "name" &&
        (Key != "upstreams" || Value.Type == JsonNode::ValueType::Null))
      reportNotAllowed(Key, Value, Errors);
  for (OverlayAndBase &Pair : pairByName(Service.Overlay->find("upstreams"),
                                         Service.Base->find("upstreams")))
    checkScopeAndSetZone(Pair, Site, Errors);
}

} // namespace

void checkScopeAndSetZones(JsonNode &Overlay, const std::string &Site,
                           const JsonNode &Base, SiteErrors &Errors) {
  std::vector<std::string_view> Zones;
  if (const JsonNode *List = Base.find("zones"))
    for (const JsonNode &Zone : List->Items)
      if (const JsonNode *Name = Zone.find("name"))
        Zones.push_back(Name->String);
  if (std::find(Zones.begin(), Zones.end(), Site) == Zones.end())
    Errors.push_back(
        Overlay.error(SiteErrorKind::UnknownZone,
                      "an overlay of the unknown zone \"" + Site + "\"",
                      "name the file after a zone of the base file"));
  for (const auto &[Key, Value] : Overlay.Members)
    if (Key != "services" || Value.Type == JsonNode::ValueType::Null)
      reportNotAllowed(Key, Value, Errors);
  for (OverlayAndBase &Service :
       pairByName(Overlay.find("services"), Base.find("services")))
    checkServiceScope(Service, Site, Errors);
}

void checkSemantics(const JsonNode &Root, SiteErrors &Errors) {
  SemanticCheck Check(Root, Errors);
  for (const JsonNode &Service : Root.find("services")->Items)
    Check.checkService(Service);
}

} // namespace indigopoint
