#include "command_explain.h"

#include <iostream>

#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "flow_story.h"
#include "version.h"

namespace indigopoint {

int runExplain(Arguments Given) {
  const std::string Program = Given.front();
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
  if (const auto Code = parseArguments(Line, Given))
    return *Code;
  const FlowStory Story = tellFlow(std::cin, Flow.getValue(),
                                   std::chrono::seconds(Margin.getValue()));
  for (const std::string &Each : Story.Lines)
    std::cout << Each << "\n";
  if (Story.Unreadable > 0)
    std::cerr << Program << ": passed over " << Story.Unreadable
              << " lines that are no events\n";
  if (!Story.Lines.empty())
    return EX_OK;
  std::cerr << Program << ": no line names the flow " << Flow.getValue()
            << "; check its form, CLIENT:PORT>SERVICE:PORT, and give the logs "
               "of all instances\n";
  return EX_NOINPUT;
}

} // namespace indigopoint
