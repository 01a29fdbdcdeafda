#pragma once

#include <functional>
#include <string>

#include "forwarder_report.h"
#include "http_server.h"

namespace indigopoint {

/// Serves /metrics and /status of a forwarder.
class ForwarderReportServer {
public:
  /// Returns the present state for each request.
  using ViewHook = std::function<ForwarderView()>;

  ForwarderReportServer(EventLoop &Loop, ViewHook View);

  /// Returns a problem that names the remedy; empty on success. Port 0 serves
  /// nothing.
  std::string open(Endpoint Address);

private:
  HttpServer Server;
  ViewHook View;
};

} // namespace indigopoint
