#include "admin_call.h"

#include <iostream>

#include <sysexits.h>

#include "event_loop.h"

namespace indigopoint {

int callAdmin(const std::string &Program, const std::string &Address,
              const std::string &Method, const std::string &Target,
              std::string &Body) {
  HttpCall Call;
  Call.Method = Method;
  Call.Target = Target;
  if (!parseEndpoint(Address, Call.To)) {
    std::cerr << Program << ": \"" << Address
              << "\" is not a numeric address and port; use the \"admin\" "
                 "address from the ready file of \"serve\" for --admin\n";
    return EX_USAGE;
  }
  EventLoop Loop;
  HttpClient Client(Loop);
  HttpResult Result;
  Client.call(Call, [&](HttpResult Response) {
    Result = std::move(Response);
    Loop.stop();
  });
  Loop.run();
  Body = std::move(Result.Body);
  if (Result.Status >= 200 && Result.Status < 300)
    return EX_OK;
  if (Result.Status == 0)
    std::cerr << Program << ": no answer from " << Address
              << "; check that the instance runs and that this is its admin "
                 "address\n";
  else
    std::cerr << Program << ": " << Address << " answered with status "
              << Result.Status << ": " << Body << "\n";
  return Result.Status == 0 ? EX_UNAVAILABLE : EX_PROTOCOL;
}

} // namespace indigopoint
