#include "site_schema.h"

#include "types.h"

namespace indigopoint {

namespace {

constexpr double MaxSlots = 1000;
constexpr double MaxConnections = 1000000;
constexpr double MaxSeconds = 86400;
constexpr double MaxId = 4294967295.0;

std::string addressRemedy(const std::string &Text) {
  Endpoint Parsed;
  return parseEndpoint(Text, Parsed) && Parsed.Port != 0
             ? ""
             : "use an IPv4 address and a port, such as 127.0.0.1:9000";
}

std::string serviceClassRemedy(const std::string &Text) {
  return Text == nameOf(Priority::Interactive) || Text == nameOf(Priority::Bulk)
             ? ""
             : "use \"interactive\" or \"bulk\"";
}

KeySchema textKey(std::string_view Key, bool Required,
                  std::string (*TextRemedy)(const std::string &)) {
  return {Key, ValueKind::Text, Required, 0, 0, nullptr, TextRemedy};
}

const ObjectSchema &rootSchema() {
  using Kind = ValueKind;
  static const ObjectSchema Zone{
      {{"name", Kind::Text, true}, {"region", Kind::Text, true}}};
  static const ObjectSchema Defaults{
      {{"slots", Kind::Integer, false, 1, MaxSlots},
       {"connections", Kind::Integer, false, 1, MaxConnections}}};
  static const ObjectSchema Upstream{
      {{"name", Kind::Text, true},
       {"zone", Kind::Text, true},
       textKey("address", true, addressRemedy),
       textKey("admin", false, addressRemedy),
       {"slots", Kind::Integer, false, 1, MaxSlots},
       {"connections", Kind::Integer, false, 1, MaxConnections},
       {"draining", Kind::Flag}}};
  static const ObjectSchema Service{
      {{"name", Kind::Text, true},
       {"id", Kind::Integer, true, 1, MaxId},
       {"tenant", Kind::Text, true},
       textKey("class", true, serviceClassRemedy),
       {"saturation", Kind::Number, false, 0, 100},
       {"queueLimit", Kind::Integer, false, 0, 100000},
       {"warmupSeconds", Kind::Number, false, 0, MaxSeconds},
       {"drainGraceSeconds", Kind::Number, false, 0, MaxSeconds},
       {"idleTimeoutSeconds", Kind::Number, false, 1, MaxSeconds},
       {"upstreamDefaults", Kind::Object, false, 0, 0, &Defaults},
       {"upstreams", Kind::NamedObjects, false, 0, 0, &Upstream}}};
  static const ObjectSchema Root{
      {{"zones", Kind::NamedObjects, true, 0, 0, &Zone},
       {"services", Kind::NamedObjects, true, 0, 0, &Service},
       {"retiredServiceIds", Kind::IntegerList, false, 1, MaxId}}};
  return Root;
}

} // namespace

void checkSchema(const JsonNode &Root, bool IsOverlay, SiteErrors &Errors) {
  checkSchema(Root, rootSchema(), IsOverlay, Errors);
}

void checkRequiredKeys(const JsonNode &Root, SiteErrors &Errors) {
  checkRequiredKeys(Root, rootSchema(), Errors);
}

} // namespace indigopoint
