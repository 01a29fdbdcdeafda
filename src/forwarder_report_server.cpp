#include "forwarder_report_server.h"

#include <utility>

namespace indigopoint {

namespace {

// A metrics connection that is idle for this long is closed.
constexpr Duration IdleTimeout = std::chrono::seconds(10);

} // namespace

ForwarderReportServer::ForwarderReportServer(EventLoop &Loop, ViewHook View)
    : Server(Loop, IdleTimeout), View(std::move(View)) {}

std::string ForwarderReportServer::open(Endpoint Address) {
  if (Address.Port == 0)
    return {};
  Server.route(
      "GET", "/metrics",
      [this](const HttpRequest &, const HttpServer::Respond &Respond) {
        Respond({200, metricsText(View()), "text/plain; version=0.0.4"});
      });
  Server.route("GET", "/status",
               [this](const HttpRequest &, const HttpServer::Respond &Respond) {
                 Respond({200, forwarderStatus(View())});
               });
  if (const auto Error = Server.open(Address))
    return "cannot listen on " + toString(Address) + ": " + Error.message() +
           "; free this address or change /metricsAddress";
  return {};
}

} // namespace indigopoint
