#include "break_classifier.h"

#include <algorithm>

namespace indigopoint::standin {

namespace {

constexpr size_t DetailsKept = 20;

bool overlaps(const FlowDisruption &Disruption, const SystemEvent &Event) {
  return Disruption.From <= Event.Until && Event.From <= Disruption.Until;
}

bool any(const std::vector<SystemEvent> &Events, auto Matches) {
  return std::any_of(Events.begin(), Events.end(), Matches);
}

bool isMove(const FlowDisruption &Disruption,
            const std::vector<SystemEvent> &Events) {
  return !Disruption.Upstream.empty() &&
         any(Events, [&](const SystemEvent &Event) {
           return Event.Planned && Event.Upstream == Disruption.Upstream &&
                  Event.From <= Disruption.Until;
         });
}

bool isUnplanned(const FlowDisruption &Disruption,
                 const std::vector<SystemEvent> &Events) {
  return any(Events, [&](const SystemEvent &Event) {
    if (Event.Planned)
      return false;
    // The flows of a failed upstream move at their next request, which may be
    // after the event.
    const bool UpstreamHasFailed = !Event.Upstream.empty() &&
                                   Event.Upstream == Disruption.Upstream &&
                                   Event.From <= Disruption.Until;
    return UpstreamHasFailed || overlaps(Disruption, Event);
  });
}

} // namespace

SystemEvent systemEventOf(const nlohmann::json &Value) {
  SystemEvent Event;
  Event.Planned = Value.at("planned").get<bool>();
  Event.From = Value.at("from_ms").get<int64_t>();
  Event.Until = Value.at("until_ms").get<int64_t>();
  Event.Upstream = Value.value("upstream", "");
  return Event;
}

BreakCounts classifyBreaks(const std::vector<FlowDisruption> &Disruptions,
                           const std::vector<SystemEvent> &Events) {
  BreakCounts Counts;
  for (const FlowDisruption &Disruption : Disruptions) {
    if (Disruption.Refused && !any(Events, [&](const SystemEvent &Event) {
          return overlaps(Disruption, Event);
        }))
      continue;
    const bool Moved = isMove(Disruption, Events);
    const bool Unplanned = !Moved && isUnplanned(Disruption, Events);
    (Moved       ? Counts.Moved
     : Unplanned ? Counts.BrokenUnplanned
                 : Counts.BrokenPlanned)
        .insert(Disruption.Flow);
    if (Disruption.Upstream.empty() && !Disruption.Refused && !Unplanned &&
        any(Events, [&](const SystemEvent &Event) {
          return Event.Planned && overlaps(Disruption, Event);
        }))
      ++Counts.LostInPlannedEvents;
    if (!Moved && Counts.Details.size() < DetailsKept)
      Counts.Details.push_back(
          (Unplanned ? "unplanned: " : "planned or without cause: ") +
          Disruption.Text);
  }
  return Counts;
}

} // namespace indigopoint::standin
