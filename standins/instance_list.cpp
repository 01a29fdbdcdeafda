#include "instance_list.h"

namespace indigopoint::standin {

using Json = nlohmann::json;

void InstanceList::set(TimePoint Now, const Json &Instances) {
  Json Entries = Json::array();
  for (const Json &Entry : Instances)
    Entries.push_back({{"name", Entry.at("name").get<std::string>()},
                       {"zone", Entry.at("zone").get<std::string>()},
                       {"address", Entry.at("address").get<std::string>()},
                       {"leaving", Entry.value("leaving", false)}});
  Versions.push_back({Now, std::move(Entries)});
}

Json InstanceList::read(TimePoint Now) {
  while (Versions.size() > 1 && Versions[1].Since + Lag <= Now)
    Versions.pop_front();
  if (Versions.empty() || Versions.front().Since + Lag > Now)
    return Json::array();
  return Versions.front().Instances;
}

} // namespace indigopoint::standin
