#include "command_status.h"

#include <iostream>

#include <sysexits.h>
#include <tclap/CmdLine.h>

#include "admin_call.h"
#include "status_report.h"
#include "version.h"

namespace indigopoint {

int runStatus(Arguments Args) {
  const std::string Program = Args.front();
  TCLAP::CmdLine Line("Shows the status of a running instance.", ' ', Version);
  const TCLAP::ValueArg<std::string> Admin(
      "a", "admin",
      "The admin address of a \"serve\" instance, or the metrics address of a "
      "\"forward\" instance.",
      true, "", "ADDRESS:PORT", Line);
  TCLAP::SwitchArg AsJson("j", "json", "Print the report as JSON.", Line);
  if (const auto Code = parseArguments(Line, Args))
    return *Code;
  std::string Report;
  if (const int Code =
          callAdmin(Program, Admin.getValue(), "GET", "/status", Report))
    return Code;
  const std::string Text =
      AsJson.getValue() ? Report + "\n" : statusText(Report);
  if (Text.empty()) {
    std::cerr << Program << ": the report is malformed; use the version of "
              << "indigopoint that the instance runs\n";
    return EX_PROTOCOL;
  }
  std::cout << Text;
  return EX_OK;
}

} // namespace indigopoint
