#include "odd_entries.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "base64.h"
#include "large_documents.h"
#include "platform/store_codec.h"

namespace indigopoint {

namespace {

using Json = nlohmann::json;

constexpr Endpoint ServiceAddress{0xc6120001, 443};
constexpr uint64_t ChangedId = 13;
// Not the id of an upstream of the world.
const std::string OddKey = "servers/i-7f3a91c2";

std::string repeat(const std::string &Text, size_t Count) {
  std::string Out;
  for (size_t Index = 0; Index < Count; ++Index)
    Out += Text;
  return Out;
}

std::string keyOf(uint64_t Id) { return "servers/i-" + toHex(UpstreamId(Id)); }

Json valid() {
  return {{"Service", "chat"}, {"Address", "10.0.0.99:80"},
          {"Zone", "a"},       {"Version", "v1"},
          {"Concurrency", 2},  {"State", "ready"},
          {"ColdLeftMs", 0},   {"Seq", 1},
          {"born", 1}};
}

// The valid entry with one field replaced. The value is JSON text, since not
// every number can be held otherwise.
OddEntry replaced(const std::string &Kind, const std::string &Field,
                  const std::string &Value) {
  const Json Valid = valid();
  std::string Text = "{";
  for (const auto &[Name, Member] : Valid.items())
    Text += (Text.size() > 1 ? "," : "") + ("\"" + Name + "\":") +
            (Name == Field ? Value : Member.dump());
  return {Kind, OddKey, Text + "}"};
}

void addMissingFields(std::vector<OddEntry> &Out) {
  for (const std::string Field :
       {"Service", "Address", "Zone", "Version", "Concurrency", "State",
        "ColdLeftMs", "Seq"}) {
    Json Entry = valid();
    Entry.erase(Field);
    Out.push_back({"Without" + Field, OddKey, Entry.dump()});
    Out.push_back(replaced("ListAs" + Field, Field, "[7]"));
    Out.push_back(replaced("NullAs" + Field, Field, "null"));
  }
}

void addNumbers(std::vector<OddEntry> &Out) {
  for (const std::string Field : {"Concurrency", "ColdLeftMs", "Seq", "born"})
    for (const auto &[Kind, Number] :
         std::vector<std::pair<std::string, std::string>>{
             {"Exponent", "1e300"},
             {"BeyondEveryType", "1" + std::string(400, '0')},
             {"Beyond64Bits", "18446744073709551616"},
             {"Negative", "-1"},
             {"Fraction", "1.5"},
             {"Text", "\"2\""}})
      Out.push_back(replaced(Field + Kind, Field, Number));
  Out.push_back(replaced("ConcurrencyZero", "Concurrency", "0"));
  Out.push_back(replaced("ConcurrencyLarge", "Concurrency", "4294967295"));
  Out.push_back(replaced("ColdForAYear", "ColdLeftMs", "31536000000"));
}

void addAddresses(std::vector<OddEntry> &Out) {
  for (const auto &[Kind, Address] :
       std::vector<std::pair<std::string, std::string>>{
           {"Port65536", "10.0.0.99:65536"},
           {"PortLarge", "10.0.0.99:99999999999999999999"},
           {"PortZero", "10.0.0.99:0"},
           {"PortNegative", "10.0.0.99:-1"},
           {"NoPort", "10.0.0.99"},
           {"AnyAddress", "0.0.0.0:80"},
           {"Broadcast", "255.255.255.255:80"},
           {"Multicast", "224.0.0.1:80"},
           {"ByteOutOfRange", "10.0.0.256:80"},
           {"IPv6", "[::1]:80"},
           {"Name", "localhost:80"},
           {"Empty", ""}})
    Out.push_back(replaced("Address" + Kind, "Address", "\"" + Address + "\""));
}

void addTexts(std::vector<OddEntry> &Out) {
  const std::string Long(300'000, 'x');
  Out.push_back(replaced("UnknownState", "State", "\"asleep\""));
  Out.push_back(replaced("UnnamedService", "Service", "\"nowhere\""));
  Out.push_back(replaced("LongService", "Service", "\"" + Long + "\""));
  Out.push_back(replaced("LongZone", "Zone", "\"" + Long + "\""));
  Out.push_back(replaced("LongState", "State", "\"" + Long + "\""));
  Out.push_back(replaced("ServiceOfInvalidUtf8", "Service", "\"\xff\xfe\""));
}

void addNesting(std::vector<OddEntry> &Out) {
  constexpr size_t Depth = 100'000;
  Out.push_back(replaced("NestedLists", "Zone", repeat("[", Depth)));
  Out.push_back(replaced("NestedClosedLists", "Zone",
                         repeat("[", Depth) + repeat("]", Depth)));
  Out.push_back(replaced("NestedObjects", "Zone",
                         repeat("{\"x\":", Depth) + "1" + repeat("}", Depth)));
  Out.push_back({"NestedPackedLists", OddKey, repeat("\x91", Depth)});
  Out.push_back({"NestedPackedMaps", OddKey, repeat("\x81\xa1x", Depth)});
}

// MessagePack whose length fields state much more than there is.
void addLengths(std::vector<OddEntry> &Out) {
  const std::string Map = "\x81\xa4Zone";
  for (const auto &[Kind, Head] :
       std::vector<std::pair<std::string, std::string>>{{"Text", "\xdb"},
                                                        {"Bytes", "\xc6"},
                                                        {"List", "\xdd"},
                                                        {"Map", "\xdf"},
                                                        {"Extension", "\xc9"}})
    Out.push_back({"Length" + Kind, OddKey, Map + Head + "\xff\xff\xff\xff"});
  Out.push_back({"LengthOfTheWhole", OddKey, "\xdf\xff\xff\xff\xff"});
}

void addBytes(std::vector<OddEntry> &Out) {
  Out.push_back({"NoBytes", OddKey, ""});
  Out.push_back({"RandomBytes", OddKey, "\xff\xfe\x01\x80"});
  Out.push_back({"Truncated", OddKey, valid().dump().substr(0, 40)});
  Out.push_back({"ListOfEntries", OddKey, Json::array({valid()}).dump()});
  Out.push_back({"TextOfAnEntry", OddKey, Json(valid().dump()).dump()});
}

void addLargeValues(std::vector<OddEntry> &Out) {
  constexpr size_t LargeValueBytes = 100'000;
  for (const LargeDocument &Document : largeDocuments(LargeValueBytes))
    Out.push_back({Document.Kind, OddKey, Document.Bytes});
}

// Keys that name no upstream, or that lead to the id of another one.
void addKeys(std::vector<OddEntry> &Out) {
  const std::string Entry = valid().dump();
  Json Unnamed = valid();
  Unnamed["Service"] = "backup";
  Out.push_back({"KeyWithoutId", "servers/", Entry});
  Out.push_back({"KeyWithoutDigits", "servers/i-", Entry});
  Out.push_back({"KeyOfIdZero", "servers/i-0", Entry});
  Out.push_back({"KeyOfLongId", "servers/i-11112222333344445", Entry});
  Out.push_back({"KeyOfInvalidUtf8", "servers/\xff\xfe", Entry});
  for (const std::string Alias : {"servers/i-0b", "servers/i-B", "servers/x-b",
                                  "servers/b", "servers/i-i-b"}) {
    Out.push_back({"AliasKey" + std::to_string(Out.size()), Alias, Entry});
    Out.push_back(
        {"AliasKeyUnreadable" + std::to_string(Out.size()), Alias, "{"});
    Out.push_back({"AliasKeyOfUnnamedService" + std::to_string(Out.size()),
                   Alias, Unnamed.dump()});
  }
  Out.push_back({"OtherKey", "stats/i-b", Entry});
}

} // namespace

std::vector<OddEntry> oddEntries() {
  std::vector<OddEntry> Out;
  addMissingFields(Out);
  addNumbers(Out);
  addAddresses(Out);
  addTexts(Out);
  addNesting(Out);
  addLengths(Out);
  addBytes(Out);
  addLargeValues(Out);
  addKeys(Out);
  return Out;
}

std::string registrationOf(uint64_t Id, uint32_t Slots) {
  Json Entry = valid();
  Entry["Address"] = "10.0.0." + std::to_string(Id) + ":80";
  Entry["Concurrency"] = Slots;
  return Entry.dump();
}

OddEntryWorld::Instance::Instance(ManualClock &TimeSource)
    : Log({"test"}, TimeSource),
      Steering({"a", makeZoneAwareLeastFlowsPolicy("a")}, TimeSource, Routes,
               Upstreams, Metrics, {}),
      Applier(platform::decodeItem, TimeSource, Log, Routes, Upstreams,
              std::chrono::seconds(3)) {}

OddEntryWorld::OddEntryWorld()
    : Current(std::make_unique<Instance>(TimeSource)) {
  apply(validItems(), true);
  OpenFlow.Flow = {{0x64400001, 1}, ServiceAddress};
  OpenFlow.Sequence = 1000;
  OpenFlow.IsOpening = true;
  const SteeringDecision Decision = Current->Steering.steer(OpenFlow);
  OpenFlow.IsOpening = false;
  OpenFlow.Sequence = 1001;
  OpenFlow.DataBytes = 10;
  OpenFlow.Tag = Decision.Tag;
  if (Decision.Target == nullptr)
    return;
  OpenFlowUpstream = Decision.Target->Registration.Id.value();
  // Its answer has the tag of an open flow.
  OpenFlow.Tag = Current->Steering.steer(OpenFlow).Tag;
}

std::vector<OddEntry> OddEntryWorld::validItems() const {
  const Json Config = {{"Version", 1},
                       {"Routes",
                        {{{"Name", "r"},
                          {"Host", "198.18.0.1"},
                          {"Prefix", "/443/"},
                          {"Service", "chat"}}}}};
  std::vector<OddEntry> Out = {{"", "op/config", Config.dump()}};
  for (const uint64_t Id : {11, 12, 13})
    Out.push_back({"", keyOf(Id),
                   registrationOf(Id, Id == ChangedId ? ChangedSlots : 2)});
  return Out;
}

bool OddEntryWorld::apply(const std::vector<OddEntry> &Items, bool IsSnapshot) {
  Json Entries = Json::array();
  for (const OddEntry &Item : Items)
    Entries.push_back(
        {{"Key", Item.Key},
         {"Value", encodeBase64(Item.Value)},
         {"Revision", ++Revision},
         {"CreateRev",
          CreatedRevisions.try_emplace(Item.Key, Revision).first->second}});
  StoreQuery Query;
  Query.QueryKind =
      IsSnapshot ? StoreQuery::Kind::Snapshot : StoreQuery::Kind::Watch;
  std::string Body;
  Json::to_msgpack({{IsSnapshot ? "items" : "events", std::move(Entries)},
                    {"StoreRevision", Revision}},
                   Body);
  StoreResult Result = platform::decodeResult(Query, {200, Body, {}});
  if (Result.ResultStatus != StoreResult::Status::Answered)
    return false;
  StoreSync::Update Update;
  Update.ContentKind = IsSnapshot ? StoreSync::Update::Content::Snapshot
                                  : StoreSync::Update::Content::Changes;
  Update.Items = std::move(Result.Items);
  Current->Applier.apply(Update);
  return true;
}

bool OddEntryWorld::applyChange(const std::string &Key,
                                const std::string &Value) {
  ++ChangedSlots;
  return apply(
      {{"", Key, Value},
       {"", keyOf(ChangedId), registrationOf(ChangedId, ChangedSlots)}},
      false);
}

bool OddEntryWorld::applySnapshot(const std::string &Key,
                                  const std::string &Value) {
  std::vector<OddEntry> Items = validItems();
  std::erase_if(Items,
                [&Key](const OddEntry &Item) { return Item.Key == Key; });
  Items.push_back({"", Key, Value});
  return apply(Items, true);
}

void OddEntryWorld::restart(const std::string &Key, const std::string &Value) {
  std::vector<OddEntry> Items = validItems();
  Items.push_back({"", Key, Value});
  std::sort(Items.begin(), Items.end(),
            [](const OddEntry &A, const OddEntry &B) { return A.Key < B.Key; });
  Current = std::make_unique<Instance>(TimeSource);
  apply(Items, true);
}

std::string OddEntryWorld::problem(uint64_t OwnId) {
  auto &[Log, Routes, Upstreams, Metrics, Steering, Applier] = *Current;
  for (const uint64_t Id : {11, 12, 13}) {
    const Upstream *Known = Upstreams.find(UpstreamId(Id));
    if (Known == nullptr)
      return "upstream " + std::to_string(Id) + " is unknown";
    if (Id == OwnId)
      continue;
    const Endpoint Address{0x0a000000 + static_cast<uint32_t>(Id), 80};
    if (Known->State != UpstreamState::Ready ||
        Known->Registration.Service != "chat" ||
        Known->Registration.Address != Address)
      return "upstream " + std::to_string(Id) + " was changed";
  }
  if (Upstreams.find(UpstreamId(ChangedId))->Registration.Slots != ChangedSlots)
    return "the change after the entry was not followed";
  for (const Upstream *Known : Upstreams.upstreamsOfService("chat"))
    if (const uint64_t Id = Known->Registration.Id.value();
        (Id < 11 || Id > 13) && Upstreams.takesNewFlows(*Known))
      return "the upstream " + std::to_string(Id) + " is used";
  if (Routes.version() != ConfigVersion(1))
    return "the configuration was changed";
  TimeSource.advance(std::chrono::milliseconds(1));
  const SteeringDecision Decision = Steering.steer(OpenFlow);
  if (Decision.Action != SteeringAction::Forward ||
      Decision.Target->Registration.Id.value() != OpenFlowUpstream)
    return "the open flow is not forwarded to its upstream";
  PacketHeader Opening;
  for (uint16_t Port = 1000; Port < 1010; ++Port) {
    Opening.Flow = {{0x64400100U + Port, Port}, ServiceAddress};
    Opening.Sequence = Port;
    Opening.IsOpening = true;
    const SteeringDecision Opened = Steering.steer(Opening);
    const uint64_t Id =
        Opened.Target == nullptr ? 0 : Opened.Target->Registration.Id.value();
    if (Id < 11 || Id > 13 || Id == OwnId)
      return "a new flow goes to the upstream " + std::to_string(Id);
  }
  return {};
}

} // namespace indigopoint
