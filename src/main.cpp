#include <algorithm>
#include <array>
#include <iostream>

#include <sysexits.h>

#include "command.h"
#include "command_apply.h"
#include "command_check.h"
#include "command_drain.h"
#include "command_explain.h"
#include "command_serve.h"
#include "command_show.h"
#include "command_status.h"
#include "command_version.h"
#include "platform/command_check_config.h"
#include "platform/command_evacuate.h"
#include "platform/command_forward.h"

namespace {

using indigopoint::Command;

constexpr std::array Commands = {
    Command{"serve", "run one instance", indigopoint::runServe},
    Command{"forward", "run one packet-forwarding instance",
            indigopoint::platform::runForward},
    Command{"evacuate", "keep new flows away from a zone",
            indigopoint::platform::runEvacuate},
    Command{"check-config", "check routes before they are sent",
            indigopoint::platform::runCheckConfig},
    Command{"check", "check configuration files", indigopoint::runCheck},
    Command{"apply", "apply configuration files", indigopoint::runApply},
    Command{"show", "show a configuration", indigopoint::runShow},
    Command{"status", "show the state of a running instance",
            indigopoint::runStatus},
    Command{"explain", "show the event log lines about a flow",
            indigopoint::runExplain},
    Command{"drain", "stop a running instance gracefully",
            indigopoint::runDrain},
    Command{"version", "print the version", indigopoint::runVersion},
};

// Of the column of names, with the space after it.
constexpr size_t NameWidth = 14;

void printUsage(std::ostream &Out) {
  Out << "usage: indigopoint COMMAND [ARGUMENT...]\n\n";
  for (const Command &Entry : Commands)
    Out << "  " << Entry.Name << std::string(NameWidth - Entry.Name.size(), ' ')
        << Entry.Brief << "\n";
  Out << "\n\"indigopoint COMMAND --help\" shows the arguments.\n";
}

} // namespace

int main(int Count, char **Values) {
  const std::string Name = Count > 1 ? Values[1] : "";
  if (Name == "--help" || Name == "-h") {
    printUsage(std::cout);
    return EX_OK;
  }
  const auto *Found =
      std::find_if(Commands.begin(), Commands.end(),
                   [&](const Command &Entry) { return Entry.Name == Name; });
  if (Found == Commands.end()) {
    printUsage(std::cerr);
    return EX_USAGE;
  }
  indigopoint::Arguments Args = {"indigopoint " + Name};
  Args.insert(Args.end(), Values + 2, Values + Count);
  return Found->Run(std::move(Args));
}
