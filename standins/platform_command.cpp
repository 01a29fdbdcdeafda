#include "command_line.h"
#include "http_service.h"
#include "platform_api.h"
#include "timer_loop.h"

namespace indigopoint::standin {

int runPlatform(Arguments Args) {
  TCLAP::CmdLine Line("Key-value store and instance list", ' ', "1");
  CommonOptions Common(Line);
  TCLAP::ValueArg<uint64_t> LagMs("", "instance-lag-ms",
                                  "Age of the instance list that readers see",
                                  false, 0, "MS", Line);
  Line.parse(Args);

  TimerLoop Loop;
  PlatformApi Api(Loop);
  Api.instances().setLag(std::chrono::milliseconds(LagMs.getValue()));
  const HttpService Http(
      Loop, [&Api](const HttpRequest &Request, const HttpReplyPtr &Reply) {
        Api.handle(Request, Reply);
      });
  Common.limitRunTime(Loop);
  Common.writeReadyFile({{"http", toString(Http.address())}});
  Loop.run();
  return 0;
}

} // namespace indigopoint::standin
