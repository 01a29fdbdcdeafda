#include "route_difference.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace indigopoint {

namespace {

constexpr double LargeMovedShare = 0.5;

constexpr std::array<std::string_view, 3> KindNames = {"added", "removed",
                                                       "changed"};
constexpr std::array<std::string_view, 3> KindSigns = {"+ ", "- ", "~ "};
constexpr std::array<std::string_view, 4> SubjectNames = {"route", "service",
                                                          "limits", "file"};

using Subject = RouteChange::Subject;
using Kind = RouteChange::Kind;

struct RouteEntry {
  const Route *Content = nullptr;
  const JsonNode *Source = nullptr;
};

// The last route of an address is in force.
std::map<Endpoint, RouteEntry> routesOf(const RoutePlan &Plan,
                                        const RouteFileKeys &Keys) {
  std::map<Endpoint, RouteEntry> Out;
  const JsonNode *List = Plan.Source.find(Keys.Routes);
  for (size_t Index = 0; Index < Plan.Content.Routes.size(); ++Index) {
    const Route &Content = Plan.Content.Routes[Index];
    Out[Content.Address] = {&Content, &List->Items[Index]};
  }
  return Out;
}

std::map<std::string, const JsonNode *> servicesOf(const RoutePlan &Plan,
                                                   const RouteFileKeys &Keys) {
  std::map<std::string, const JsonNode *> Out;
  if (const JsonNode *List = Plan.Source.find(Keys.Services))
    for (const JsonNode &Service : List->Items)
      if (const JsonNode *Name = Service.find(Keys.Name))
        Out[Name->String] = &Service;
  return Out;
}

std::string textOf(const std::vector<RouteShare> &Shares) {
  if (Shares.size() == 1)
    return Shares.front().Service;
  std::string Text;
  for (const RouteShare &Share : Shares)
    Text += (Text.empty() ? "" : ", ") + Share.Service + ":" +
            std::to_string(Share.Weight);
  return Text;
}

std::string textOf(const JsonNode *Value) {
  return Value == nullptr ? "none" : compactText(*Value);
}

// Collects the changes between two configurations.
class DifferenceBuilder {
public:
  DifferenceBuilder(const RoutePlan &Old, const RoutePlan &New,
                    const RouteFileKeys &Keys)
      : Old(Old), New(New), Keys(Keys) {}

  std::vector<RouteChange> build() {
    compareRoutes();
    compareServices();
    static const JsonNode Empty;
    const JsonNode *OldLimits = Old.Source.find(Keys.Limits);
    const JsonNode *NewLimits = New.Source.find(Keys.Limits);
    compareKeys({Kind::Changed, Subject::Limits},
                OldLimits ? *OldLimits : Empty, NewLimits ? *NewLimits : Empty,
                {});
    compareKeys({Kind::Changed, Subject::File}, Old.Source, New.Source,
                {Keys.Version, Keys.Routes, Keys.Services, Keys.Limits});
    return std::move(Out);
  }

private:
  void compareRoutes() {
    const auto OldRoutes = routesOf(Old, Keys);
    const auto NewRoutes = routesOf(New, Keys);
    for (const auto &[Address, Entry] : OldRoutes)
      if (NewRoutes.count(Address) == 0)
        Out.push_back(changeOf(Kind::Removed, *Entry.Content));
    for (const auto &[Address, Entry] : NewRoutes) {
      const auto It = OldRoutes.find(Address);
      if (It == OldRoutes.end())
        Out.push_back(changeOf(Kind::Added, *Entry.Content));
      else
        compareRoute(It->second, Entry);
    }
  }

  static RouteChange changeOf(Kind ChangeKind, const Route &Entry) {
    RouteChange Change{ChangeKind, Subject::Route};
    Change.Name = Entry.Name;
    Change.Address = toString(Entry.Address);
    if (ChangeKind == Kind::Added)
      Change.New = textOf(Entry.Shares);
    if (ChangeKind == Kind::Removed)
      Change.Old = textOf(Entry.Shares);
    return Change;
  }

  void compareRoute(const RouteEntry &OldRoute, const RouteEntry &NewRoute) {
    RouteChange Change = changeOf(Kind::Changed, *NewRoute.Content);
    if (OldRoute.Content->Shares != NewRoute.Content->Shares) {
      Change.Key = "services";
      Change.Old = textOf(OldRoute.Content->Shares);
      Change.New = textOf(NewRoute.Content->Shares);
      Out.push_back(Change);
    }
    compareKeys(Change, *OldRoute.Source, *NewRoute.Source,
                {Keys.Service, Keys.Shares});
  }

  void compareServices() {
    const auto OldServices = servicesOf(Old, Keys);
    const auto NewServices = servicesOf(New, Keys);
    for (const auto &[Name, Source] : OldServices)
      if (NewServices.count(Name) == 0)
        Out.push_back({Kind::Removed, Subject::Service, Name});
    for (const auto &[Name, Source] : NewServices) {
      const auto It = OldServices.find(Name);
      if (It == OldServices.end())
        Out.push_back({Kind::Added, Subject::Service, Name});
      else
        compareKeys({Kind::Changed, Subject::Service, Name}, *It->second,
                    *Source, {});
    }
  }

  // Adds a change for each key with another value, but for those in Skipped.
  void compareKeys(RouteChange Change, const JsonNode &OldObject,
                   const JsonNode &NewObject,
                   const std::vector<std::string_view> &Skipped) {
    const auto Compare = [&](const std::string &Key, const JsonNode *OldValue,
                             const JsonNode *NewValue) {
      if (std::find(Skipped.begin(), Skipped.end(), Key) != Skipped.end() ||
          (OldValue && NewValue && hasSameValue(*OldValue, *NewValue)))
        return;
      Change.Key = Key;
      Change.Old = textOf(OldValue);
      Change.New = textOf(NewValue);
      Out.push_back(Change);
    };
    for (const auto &[Key, Value] : NewObject.Members)
      Compare(Key, OldObject.find(Key), &Value);
    for (const auto &[Key, Value] : OldObject.Members)
      if (NewObject.find(Key) == nullptr)
        Compare(Key, &Value, nullptr);
  }

  const RoutePlan &Old;
  const RoutePlan &New;
  const RouteFileKeys &Keys;
  std::vector<RouteChange> Out;
};

// The share of a route's new flows that each service gets.
std::map<std::string, double> flowShares(const Route &Entry) {
  double Total = 0;
  for (const RouteShare &Share : Entry.Shares)
    Total += Share.Weight;
  std::map<std::string, double> Out;
  if (Total > 0)
    for (const RouteShare &Share : Entry.Shares)
      Out[Share.Service] += Share.Weight / Total;
  return Out;
}

double movedShare(const Route &Old, const Route *New) {
  std::map<std::string, double> NewShares;
  if (New != nullptr)
    NewShares = flowShares(*New);
  double Moved = 0;
  for (const auto &[Service, Share] : flowShares(Old))
    Moved += std::max(0.0, Share - NewShares[Service]);
  return Moved;
}

std::map<std::string, size_t> routeCounts(const RoutePlan &Plan,
                                          const RouteFileKeys &Keys) {
  std::map<std::string, size_t> Out;
  for (const auto &[Address, Entry] : routesOf(Plan, Keys))
    for (const RouteShare &Share : Entry.Content->Shares)
      if (Share.Weight > 0)
        ++Out[Share.Service];
  return Out;
}

void checkVersion(const RoutePlan &Old, const RoutePlan &New,
                  const RouteFileKeys &Keys, RouteFindings &Out) {
  if (New.Content.Version > Old.Content.Version)
    return;
  const std::string InForce = std::to_string(Old.Content.Version.value());
  Out.Errors.push_back(New.Source.find(Keys.Version)
                           ->error(SiteErrorKind::OutdatedVersion,
                                   std::to_string(New.Content.Version.value()) +
                                       ", not above version " + InForce +
                                       " in force, so instances ignore it",
                                   "use a version above " + InForce));
}

void checkRoutesOfServices(const RoutePlan &Old, const RoutePlan &New,
                           const RouteFileKeys &Keys, RouteFindings &Out) {
  const auto NewCounts = routeCounts(New, Keys);
  const JsonNode &Place = *New.Source.find(Keys.Routes);
  for (const auto &[Service, Count] : routeCounts(Old, Keys))
    if (NewCounts.count(Service) == 0)
      Out.Warnings.push_back(Place.error(
          SiteErrorKind::LargeChange,
          "no route to the service \"" + Service +
              "\", which gets no new flows (routes to it in force: " +
              std::to_string(Count) + ")",
          "keep a route to it, unless the service ends"));
}

} // namespace

std::string_view nameOf(RouteChange::Kind Kind) {
  return KindNames[static_cast<size_t>(Kind)];
}

std::string_view nameOf(RouteChange::Subject Subject) {
  return SubjectNames[static_cast<size_t>(Subject)];
}

std::string toString(const RouteChange &Change) {
  std::string Text(KindSigns[static_cast<size_t>(Change.ChangeKind)]);
  Text += nameOf(Change.ChangedSubject);
  if (!Change.Name.empty())
    Text += " " + Change.Name;
  if (!Change.Address.empty())
    Text += " (" + Change.Address + ")";
  if (!Change.Key.empty())
    return Text + " " + Change.Key + ": " + Change.Old + " -> " + Change.New;
  const std::string &Services = Change.Old + Change.New;
  return Services.empty() ? Text : Text + " to " + Services;
}

std::vector<RouteChange> differenceOf(const RoutePlan &Old,
                                      const RoutePlan &New,
                                      const RouteFileKeys &Keys) {
  return DifferenceBuilder(Old, New, Keys).build();
}

double movedShare(const RouteConfiguration &Old,
                  const RouteConfiguration &New) {
  std::map<Endpoint, const Route *> OldRoutes;
  for (const Route &Entry : Old.Routes)
    OldRoutes[Entry.Address] = &Entry;
  std::map<Endpoint, const Route *> NewRoutes;
  for (const Route &Entry : New.Routes)
    NewRoutes[Entry.Address] = &Entry;
  double Moved = 0;
  for (const auto &[Address, Entry] : OldRoutes) {
    const auto It = NewRoutes.find(Address);
    Moved += movedShare(*Entry, It == NewRoutes.end() ? nullptr : It->second);
  }
  return OldRoutes.empty() ? 0 : Moved / static_cast<double>(OldRoutes.size());
}

void checkChange(const RoutePlan &Old, const RoutePlan &New,
                 const std::vector<RouteChange> &Difference,
                 const RouteFileKeys &Keys, RouteFindings &Out) {
  if (Difference.empty())
    return;
  checkVersion(Old, New, Keys, Out);
  checkRoutesOfServices(Old, New, Keys, Out);
  const double Moved = movedShare(Old.Content, New.Content);
  if (Moved > LargeMovedShare)
    Out.Warnings.push_back(
        New.Source.find(Keys.Routes)
            ->error(SiteErrorKind::LargeChange,
                    "routes that refuse or move " +
                        std::to_string(std::lround(Moved * 100)) +
                        "% of the new flows in force, each route counted alike",
                    "apply the change in smaller steps, or check that it is "
                    "meant"));
}

} // namespace indigopoint
