#include "command_line.h"
#include "http_service.h"
#include "timer_loop.h"
#include "upstream_server.h"

namespace indigopoint::standin {

using Json = nlohmann::json;

namespace {

/// The options that describe an upstream.
class UpstreamOptions {
public:
  explicit UpstreamOptions(TCLAP::CmdLine &Line)
      : Name("", "name", "Name of the upstream", true, "", "NAME", Line),
        Service("", "service-id", "Id of its service", true, 0, "N", Line),
        Slots("", "slots", "Requests run at a time", false, 2, "N", Line),
        Backlog("", "backlog", "Requests that wait for a slot", false, 0, "N",
                Line),
        Connections("", "connections", "Connections held", false, 2000, "N",
                    Line),
        ServiceMs("", "service-ms", "Mean time of a request", false, 10, "MS",
                  Line),
        Fixed("", "fixed", "All requests take the mean time", Line),
        ColdFactor("", "cold-factor", "Factor of the time while cold", false, 1,
                   "FACTOR", Line),
        ColdMs("", "cold-ms", "How long the upstream is cold", false, 0, "MS",
               Line),
        GraceMs("", "drain-grace-ms",
                "How long known connections are served while draining", false,
                3000, "MS", Line) {}

  UpstreamSettings settings() {
    using std::chrono::milliseconds;
    UpstreamSettings Out;
    Out.Name = Name.getValue();
    Out.Service = ServiceId(Service.getValue());
    Out.Slots = Slots.getValue();
    Out.Backlog = Backlog.getValue();
    Out.Connections = Connections.getValue();
    Out.ServiceTime =
        Duration(static_cast<int64_t>(ServiceMs.getValue() * 1000));
    Out.FixedServiceTime = Fixed.getValue();
    Out.ColdFactor = ColdFactor.getValue();
    Out.ColdTime = milliseconds(ColdMs.getValue());
    Out.DrainGrace = milliseconds(GraceMs.getValue());
    return Out;
  }

private:
  TCLAP::ValueArg<std::string> Name;
  TCLAP::ValueArg<uint32_t> Service;
  TCLAP::ValueArg<uint32_t> Slots;
  TCLAP::ValueArg<uint32_t> Backlog;
  TCLAP::ValueArg<uint32_t> Connections;
  TCLAP::ValueArg<double> ServiceMs;
  TCLAP::SwitchArg Fixed;
  TCLAP::ValueArg<double> ColdFactor;
  TCLAP::ValueArg<uint64_t> ColdMs;
  TCLAP::ValueArg<uint64_t> GraceMs;
};

void serveAdmin(UpstreamServer &Server, const HttpRequest &Request,
                const HttpReplyPtr &Reply) {
  if (Request.Path == "/health")
    Reply->send(200, Server.health());
  else if (Request.Path == "/stats")
    Reply->send(200, Server.stats());
  else if (Request.Path == "/control" && Request.Method == "POST")
    Reply->send(200, Server.control(Json::parse(Request.Body)));
  else
    Reply->send(404, {{"error", "no such path"}});
}

} // namespace

int runUpstream(Arguments Args) {
  TCLAP::CmdLine Line("An upstream that echoes requests", ' ', "1");
  CommonOptions Common(Line);
  UpstreamOptions Options(Line);
  Line.parse(Args);

  TimerLoop Loop;
  UpstreamServer Server(Loop, Options.settings(), Common.seed());
  const HttpService Http(
      Loop, [&Server](const HttpRequest &Request, const HttpReplyPtr &Reply) {
        serveAdmin(Server, Request, Reply);
      });
  Common.limitRunTime(Loop);
  Common.writeReadyFile({{"address", toString(Server.address())},
                         {"admin", toString(Http.address())}});
  Loop.run();
  return 0;
}

} // namespace indigopoint::standin
