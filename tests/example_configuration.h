#pragma once

#include <nlohmann/json.hpp>

namespace indigopoint::platform {

/// A configuration of the platform without errors and warnings.
inline nlohmann::json exampleConfiguration() {
  return nlohmann::json::parse(R"({"Version":7,"Routes":[
    {"Name":"reply","Host":"198.18.0.1","Prefix":"/8080/",
     "RouteType":"non_idempotent","TimeoutMs":1500,"AimMs":300,"Priority":1,
     "Service":"chat","MaxAttempts":2},
    {"Name":"stream","Host":"198.18.0.1","Prefix":"/8443/",
     "RouteType":"idempotent","TimeoutMs":1500,"AimMs":250,"Priority":2,
     "Split":[{"Service":"chat","Weight":90},{"Service":"photos","Weight":10}]},
    {"Name":"photo","Host":"198.18.0.2","Prefix":"/8443/",
     "RouteType":"download","TimeoutMs":4000,"AimMs":800,"Priority":2,
     "Service":"photos"}],
    "Services":[{"Name":"chat","HealthPath":"/health","MaxConns":2000,
      "Tls":false,"ColdStartS":2.5,"ColdPerS":10},
      {"Name":"photos","ColdPerS":3}],
    "Limits":{"MaxBodyBytes":262144,"IdleTimeoutMs":15000}})");
}

} // namespace indigopoint::platform
