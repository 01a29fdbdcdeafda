#include <cstdio>
#include <exception>
#include <functional>
#include <map>
#include <string>

#include "command_line.h"

using namespace indigopoint::standin;

namespace {

const std::map<std::string, std::function<int(Arguments)>> Commands = {
    {"caller", runCaller},
    {"fabric", runFabric},
    {"platform", runPlatform},
    {"upstream", runUpstream},
};

int run(int Count, char **Values) {
  const auto It = Count < 2 ? Commands.end() : Commands.find(Values[1]);
  if (It == Commands.end()) {
    std::fprintf(stderr,
                 "usage: indigopoint_standin caller|fabric|platform|upstream "
                 "[OPTIONS]\n");
    return 2;
  }
  return It->second(Arguments(Values + 1, Values + Count));
}

} // namespace

int main(int Count, char **Values) {
  try {
    return run(Count, Values);
  } catch (const TCLAP::ArgException &Error) {
    std::fprintf(stderr, "indigopoint_standin: %s: %s\n", Error.argId().c_str(),
                 Error.error().c_str());
    return 2;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "indigopoint_standin: %s\n", Error.what());
    return 1;
  }
}
