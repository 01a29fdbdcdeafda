#include <sstream>

#include "caller_pool.h"
#include "command_line.h"
#include "http_service.h"
#include "timer_loop.h"

namespace indigopoint::standin {

using Json = nlohmann::json;

namespace {

std::vector<size_t> parseSizes(const std::string &Text) {
  std::vector<size_t> Sizes;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Sizes.push_back(std::stoul(Part));
  return Sizes;
}

/// The options that describe the traffic.
class CallerOptions {
public:
  explicit CallerOptions(TCLAP::CmdLine &Line)
      : Fabric("", "fabric", "Address of the fabric", true, "", "IP:PORT",
               Line),
        Service("", "service-id", "Id of the service", true, 0, "N", Line),
        Flows("", "flows", "Flows kept open", false, 100, "N", Line),
        FirstFlow("", "first-flow", "Key of the first flow", false, 1, "N",
                  Line),
        IntervalMs("", "interval-ms", "Mean pause between requests of a flow",
                   false, 500, "MS", Line),
        Idempotent("", "idempotent-percent", "Share of idempotent requests",
                   false, 50, "PERCENT", Line),
        Sizes("", "payload-sizes", "Sizes to draw from, in bytes", false,
              "100,800,4000", "N,N,...", Line),
        DeadlineMs("", "deadline-ms", "Time for one request", false, 5000, "MS",
                   Line),
        RepeatMs("", "repeat-ms", "Time to the first retransmission", false,
                 200, "MS", Line),
        Sockets("", "sockets", "Sockets that the flows share", false, 8, "N",
                Line) {}

  CallerSettings settings() {
    using std::chrono::milliseconds;
    CallerSettings Out;
    Out.Fabric = endpointOption(Fabric);
    Out.Service = ServiceId(Service.getValue());
    Out.Flows = Flows.getValue();
    Out.FirstFlow = FirstFlow.getValue();
    Out.Interval = milliseconds(IntervalMs.getValue());
    Out.IdempotentPercent = Idempotent.getValue();
    Out.PayloadSizes = parseSizes(Sizes.getValue());
    Out.Deadline = milliseconds(DeadlineMs.getValue());
    Out.FirstRetransmission = milliseconds(RepeatMs.getValue());
    Out.Sockets = Sockets.getValue();
    return Out;
  }

private:
  TCLAP::ValueArg<std::string> Fabric;
  TCLAP::ValueArg<uint32_t> Service;
  TCLAP::ValueArg<uint32_t> Flows;
  TCLAP::ValueArg<uint64_t> FirstFlow;
  TCLAP::ValueArg<uint64_t> IntervalMs;
  TCLAP::ValueArg<uint32_t> Idempotent;
  TCLAP::ValueArg<std::string> Sizes;
  TCLAP::ValueArg<uint64_t> DeadlineMs;
  TCLAP::ValueArg<uint64_t> RepeatMs;
  TCLAP::ValueArg<uint32_t> Sockets;
};

void serveAdmin(CallerPool &Pool, TimerLoop &Loop, const HttpRequest &Request,
                const HttpReplyPtr &Reply) {
  if (Request.Path == "/events" && Request.Method == "POST") {
    Pool.record().recordEvent(systemEventOf(Json::parse(Request.Body)));
    Reply->send(200, Json::object());
  } else if (Request.Path == "/stats")
    Reply->send(200, Pool.record().toJson());
  else if (Request.Path == "/finish" && Request.Method == "POST") {
    // The answer is sent before the loop ends.
    Pool.finish([&Loop] {
      constexpr std::chrono::milliseconds Flush(50);
      Loop.after(Flush, [&Loop] { Loop.stop(); });
    });
    Reply->send(200, Json::object());
  } else
    Reply->send(404, {{"error", "no such path"}});
}

} // namespace

int runCaller(Arguments Args) {
  TCLAP::CmdLine Line("Flows of one service", ' ', "1");
  CommonOptions Common(Line);
  CallerOptions Options(Line);
  TCLAP::ValueArg<std::string> Summary("", "summary",
                                       "File for the summary at the end", false,
                                       "", "PATH", Line);
  Line.parse(Args);

  TimerLoop Loop;
  CallerPool Pool(Loop, Options.settings(), Common.seed());
  const HttpService Http(
      Loop, [&](const HttpRequest &Request, const HttpReplyPtr &Reply) {
        serveAdmin(Pool, Loop, Request, Reply);
      });
  Common.limitRunTime(Loop);
  Common.writeReadyFile({{"admin", toString(Http.address())}});
  Pool.start();
  Loop.run();
  if (!Summary.getValue().empty())
    writeJsonFile(Summary.getValue(), Pool.record().toJson());
  return 0;
}

} // namespace indigopoint::standin
