#include "route_checks.h"

#include <algorithm>
#include <set>
#include <vector>

#include "site_schema.h"

namespace indigopoint {

namespace {

// A cold upstream with a smaller rate gets no flow in some seconds.
constexpr double MinWarmupRate = 1;

std::string quoted(std::string_view Text) {
  return "\"" + std::string(Text) + "\"";
}

std::string quoted(const Route &Entry) { return "route " + quoted(Entry.Name); }

std::string locationOf(const JsonNode &Value) {
  return *Value.File + ":" + std::to_string(Value.Line);
}

// Checks the routes and services of one configuration.
class RouteCheck {
public:
  RouteCheck(const RoutePlan &Plan, const RouteFileKeys &Keys,
             RouteFindings &Out)
      : Plan(Plan), Keys(Keys), Out(Out) {}

  void run() {
    indexRoutes();
    for (size_t Index = 0; Index < routes().size(); ++Index) {
      checkAddress(Index);
      checkShares(Index);
      checkTimes(Index);
      checkPriority(Index);
    }
    checkServices();
    checkIdleTimeout();
  }

private:
  const std::vector<Route> &routes() const { return Plan.Content.Routes; }

  const JsonNode &sourceOf(size_t Index) const {
    return Plan.Source.find(Keys.Routes)->Items[Index];
  }

  void warn(const JsonNode &Place, SiteErrorKind Kind, std::string Actual,
            std::string Remedy) {
    Out.Warnings.push_back(
        Place.error(Kind, std::move(Actual), std::move(Remedy)));
  }

  void indexRoutes() {
    for (size_t Index = 0; Index < routes().size(); ++Index) {
      LastWithAddress[routes()[Index].Address] = Index;
      for (const std::string &Service : servicesOf(routes()[Index]))
        ++RoutesOfService[Service];
    }
    for (const auto &[Name, Settings] : Plan.Content.Services)
      KnownServices.push_back(Name);
  }

  static std::set<std::string> servicesOf(const Route &Entry) {
    std::set<std::string> Services;
    for (const RouteShare &Share : Entry.Shares)
      Services.insert(Share.Service);
    return Services;
  }

  // The last route of an address is in force.
  void checkAddress(size_t Index) {
    const Route &Entry = routes()[Index];
    const size_t Last = LastWithAddress.at(Entry.Address);
    if (Last == Index)
      return;
    Out.Errors.push_back(sourceOf(Index).error(
        SiteErrorKind::DuplicateAddress,
        quoted(Entry) + " with the address " + toString(Entry.Address) +
            ", for which " + quoted(routes()[Last]) + " in " +
            locationOf(sourceOf(Last)) + " is used",
        "remove one of them, or give it another address"));
  }

  void checkShares(size_t Index) {
    const Route &Entry = routes()[Index];
    const JsonNode &Source = sourceOf(Index);
    const JsonNode *List = Source.find(Keys.Shares);
    const bool HasShares = List != nullptr && !List->Items.empty();
    if (!HasShares) {
      checkServiceName(*Source.find(Keys.Service));
      return;
    }
    if (const JsonNode *Service = Source.find(Keys.Service))
      warn(*Service, SiteErrorKind::NoEffect,
           quoted(Keys.Service) + " beside " + quoted(Keys.Shares) +
               ", which is used",
           "remove one of them");
    for (const JsonNode &Share : List->Items)
      checkServiceName(*Share.find(Keys.Service));
    checkWeights(Entry, *List);
  }

  void checkWeights(const Route &Entry, const JsonNode &List) {
    const auto HasNoFlows = [](const RouteShare &Share) {
      return Share.Weight == 0;
    };
    if (std::all_of(Entry.Shares.begin(), Entry.Shares.end(), HasNoFlows)) {
      Out.Errors.push_back(
          List.error(SiteErrorKind::NoEffect,
                     quoted(Entry) + " without a weight above 0, whose new "
                                     "flows are refused",
                     "give a service a weight, or remove the route"));
      return;
    }
    for (size_t Index = 0; Index < Entry.Shares.size(); ++Index)
      if (HasNoFlows(Entry.Shares[Index]))
        warn(*List.Items[Index].find(Keys.Weight), SiteErrorKind::NoEffect,
             "weight 0 of service " + quoted(Entry.Shares[Index].Service) +
                 ", which gets no flows of " + quoted(Entry),
             "give it a weight, or remove it from the route");
  }

  // A file without services has defaults for all.
  void checkServiceName(const JsonNode &Name) {
    if (KnownServices.empty() || Plan.Content.Services.count(Name.String) != 0)
      return;
    const std::string_view Nearest = nearestName(Name.String, KnownServices);
    const std::string Suggestion =
        Nearest.empty() ? "" : "did you mean " + quoted(Nearest) + "? ";
    warn(Name, SiteErrorKind::UnknownService,
         "the service " + Name.brief() + ", which " + quoted(Keys.Services) +
             " does not have",
         Suggestion + (Nearest.empty() ? "add" : "Otherwise add") + " it to " +
             quoted(Keys.Services));
  }

  void checkTimes(size_t Index) {
    const Route &Entry = routes()[Index];
    if (Entry.TimeLimit == Duration() || Entry.Aim <= Entry.TimeLimit)
      return;
    const JsonNode &Aim = *sourceOf(Index).find(Keys.Aim);
    const JsonNode &TimeLimit = *sourceOf(Index).find(Keys.TimeLimit);
    Out.Errors.push_back(
        Aim.error(SiteErrorKind::Contradiction,
                  Aim.brief() + " above " + quoted(Keys.TimeLimit) + " " +
                      TimeLimit.brief() + " of " + quoted(Entry),
                  "use at most " + TimeLimit.brief() + ", or raise " +
                      quoted(Keys.TimeLimit)));
  }

  // Priorities order the requests of routes with a service in common.
  void checkPriority(size_t Index) {
    const JsonNode *Priority = sourceOf(Index).find(Keys.Priority);
    if (Priority == nullptr || Priority->Number == 0)
      return;
    for (const std::string &Service : servicesOf(routes()[Index]))
      if (RoutesOfService.at(Service) > 1)
        return;
    warn(*Priority, SiteErrorKind::NoEffect,
         "priority " + Priority->brief() + " of " + quoted(routes()[Index]) +
             ", whose services no other route has",
         "remove it, or correct the services");
  }

  void checkServices() {
    const JsonNode *List = Plan.Source.find(Keys.Services);
    if (List == nullptr)
      return;
    for (const JsonNode &Service : List->Items) {
      const JsonNode &Name = *Service.find(Keys.Name);
      if (RoutesOfService.count(Name.String) == 0)
        warn(Name, SiteErrorKind::NoEffect,
             "the service " + Name.brief() + " without a route",
             "add a route to it, or remove it");
      checkWarmupRate(Service, Plan.Content.Services.at(Name.String));
    }
  }

  void checkWarmupRate(const JsonNode &Service,
                       const ServiceSettings &Settings) {
    if (Settings.WarmupRate == 0 || Settings.WarmupRate >= MinWarmupRate)
      return;
    const JsonNode &Rate = *Service.find(Keys.WarmupRate);
    warn(Rate, SiteErrorKind::Contradiction,
         Rate.brief() + ", a limit below one request a second",
         "use 1 or more, or 0 for no limit");
  }

  void checkIdleTimeout() {
    const JsonNode *Limits = Plan.Source.find(Keys.Limits);
    const JsonNode *Timeout =
        Limits == nullptr ? nullptr : Limits->find(Keys.IdleTimeout);
    const auto Longest = std::max_element(routes().begin(), routes().end(),
                                          [](const Route &A, const Route &B) {
                                            return A.TimeLimit < B.TimeLimit;
                                          });
    if (Timeout == nullptr || Longest == routes().end() ||
        Longest->TimeLimit <= Plan.Content.IdleTimeout)
      return;
    const auto Index = static_cast<size_t>(Longest - routes().begin());
    const std::string Limit = sourceOf(Index).find(Keys.TimeLimit)->brief();
    warn(*Timeout, SiteErrorKind::Contradiction,
         Timeout->brief() + " below " + quoted(Keys.TimeLimit) + " " + Limit +
             " of " + quoted(*Longest) +
             ", so a flow may be removed while its request runs",
         "use " + Limit + " or more");
  }

  const RoutePlan &Plan;
  const RouteFileKeys &Keys;
  RouteFindings &Out;
  std::map<Endpoint, size_t> LastWithAddress;
  std::map<std::string, size_t> RoutesOfService;
  std::vector<std::string_view> KnownServices;
};

} // namespace

void checkRoutes(const RoutePlan &Plan, const RouteFileKeys &Keys,
                 RouteFindings &Out) {
  RouteCheck(Plan, Keys, Out).run();
}

void checkUpstreams(const RoutePlan &Plan, const RouteFileKeys &Keys,
                    const UpstreamCounts &Upstreams, RouteFindings &Out) {
  struct Use {
    size_t FirstRoute = 0;
    size_t RouteCount = 0;
  };
  std::map<std::string, Use> Uses;
  for (size_t Index = 0; Index < Plan.Content.Routes.size(); ++Index)
    for (const RouteShare &Share : Plan.Content.Routes[Index].Shares)
      if (Share.Weight > 0)
        ++Uses.try_emplace(Share.Service, Use{Index}).first->second.RouteCount;
  for (const auto &[Service, ServiceUse] : Uses) {
    const auto It = Upstreams.find(Service);
    if (It != Upstreams.end() && It->second > 0)
      continue;
    const JsonNode &Source =
        Plan.Source.find(Keys.Routes)->Items[ServiceUse.FirstRoute];
    Out.Warnings.push_back(Source.error(
        SiteErrorKind::NoUpstreams,
        "the service " + quoted(Service) +
            " without an upstream that takes new flows (routes to it: " +
            std::to_string(ServiceUse.RouteCount) + ")",
        "start upstreams of the service first, or correct its name"));
  }
}

} // namespace indigopoint
