#include "command_explain.h"

#include <iostream>

#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "flow_history.h"
#include "version.h"

namespace indigopoint {

int runExplain(Arguments Args) {
  const std::string Program = Args.front();
  TCLAP::CmdLine Line("Reads event logs from standard input and prints what "
                      "they tell of a flow, in the order of time.",
                      ' ', Version);
  const TCLAP::ValueArg<std::string> Flow("f", "flow", "The flow.", true, "",
                                          "CLIENT:PORT>SERVICE:PORT", Line);
  const TCLAP::ValueArg<unsigned> Margin(
      "m", "margin",
      "Seconds around the flow in which lines on its upstreams and instances "
      "are shown.",
      false, 10, "SECONDS", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  const FlowHistory Story = readFlowHistory(
      std::cin, Flow.getValue(), std::chrono::seconds(Margin.getValue()));
  for (const std::string &Each : Story.Lines)
    std::cout << Each << "\n";
  if (Story.UnreadableLines > 0)
    std::cerr << Program << ": passed over " << Story.UnreadableLines
              << " lines that are no events\n";
  if (!Story.Lines.empty())
    return EX_OK;
  std::cerr << Program << ": no line names the flow " << Flow.getValue()
            << "; check its form, CLIENT:PORT>SERVICE:PORT, and give the logs "
               "of all instances\n";
  return EX_NOINPUT;
}

} // namespace indigopoint
