#include "command_explain.h"

#include <iostream>

#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "flow_history.h"
#include "version.h"

namespace indigopoint {

int runExplain(Arguments Args) {
  const std::string Program = Args.front();
  TCLAP::CmdLine Line("Reads event logs from standard input and prints the "
                      "lines that concern a flow, ordered by time.",
                      ' ', Version);
  const TCLAP::ValueArg<std::string> Flow("f", "flow", "The flow.", true, "",
                                          "CLIENT:PORT>SERVICE:PORT", Line);
  const TCLAP::ValueArg<unsigned> Margin(
      "m", "margin",
      "Seconds before the first and after the last line of the flow in which "
      "lines about its upstreams and instances are shown.",
      false, 10, "SECONDS", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  const FlowHistory History = readFlowHistory(
      std::cin, Flow.getValue(), std::chrono::seconds(Margin.getValue()));
  for (const std::string &Entry : History.Lines)
    std::cout << Entry << "\n";
  if (History.UnreadableLines > 0)
    std::cerr << Program << ": skipped " << History.UnreadableLines
              << " lines that are not events\n";
  if (!History.Lines.empty())
    return EX_OK;
  std::cerr << Program << ": no line contains the flow " << Flow.getValue()
            << "; check the format, CLIENT:PORT>SERVICE:PORT, and pass the "
               "logs of all instances\n";
  return EX_NOINPUT;
}

} // namespace indigopoint
