#include "store_arguments.h"

#include <iostream>
#include <thread>

#include <sysexits.h>

namespace indigopoint {

std::optional<Endpoint> parsePlatform(const std::string &Text) {
  Endpoint Platform;
  if (parseEndpoint(Text, Platform) && Platform.Port != 0)
    return Platform;
  std::cerr << "--platform: found \"" << Text
            << "\"; use an IPv4 address and a port, such as 127.0.0.1:8500\n";
  return std::nullopt;
}

int exitCodeOf(PublishStatus Status) {
  switch (Status) {
  case PublishStatus::Done:
  case PublishStatus::Unchanged:
    return EX_OK;
  case PublishStatus::LostRace:
    return EX_CANTCREAT;
  case PublishStatus::Unreachable:
    return EX_UNAVAILABLE;
  case PublishStatus::Unclear:
    return EX_TEMPFAIL;
  case PublishStatus::TooLarge:
    return EX_DATAERR;
  case PublishStatus::Malformed:
    return EX_PROTOCOL;
  }
  return EX_SOFTWARE;
}

std::string adviceFor(PublishStatus Status) {
  switch (Status) {
  case PublishStatus::Done:
  case PublishStatus::Unchanged:
    return "";
  case PublishStatus::LostRace:
    return "nothing was changed; merge the other change into your files and "
           "apply again";
  case PublishStatus::Unreachable:
    return "nothing was changed; check --platform, or wait until the platform "
           "is back, and run the command again";
  case PublishStatus::Unclear:
    return "the change may be in force; apply again when the platform is back: "
           "if no difference is shown, the change is in force";
  case PublishStatus::TooLarge:
    return "nothing was changed; divide the service into smaller ones";
  case PublishStatus::Malformed:
    return "check --prefix, and whether another program writes to these keys";
  }
  return "";
}

void sleepFor(Duration Time) { std::this_thread::sleep_for(Time); }

} // namespace indigopoint
