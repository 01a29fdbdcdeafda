#include "session_trace.h"

#include <iomanip>
#include <sstream>

#include "overloaded.h"

namespace indigopoint {

namespace {

std::string describe(const Request &R) {
  return "Request flow=" + std::to_string(R.Flow.value()) +
         " id=" + std::to_string(R.Id.value()) +
         " attempt=" + std::to_string(R.Attempt) +
         (R.Idempotent ? " idempotent" : " non-idempotent");
}

std::string describePacket(const CallerPacket &Packet) {
  return std::visit(
      Overloaded{[](const Request &R) { return describe(R); },
                 [](const Cancel &C) {
                   return "Cancel id=" + std::to_string(C.Id.value());
                 },
                 [](const CloseFlow &C) {
                   return "CloseFlow flow=" + std::to_string(C.Flow.value());
                 }},
      Packet);
}

std::string describe(const Submit &S) {
  return "Submit id=" + std::to_string(S.Request.value()) +
         (S.MayRedirect ? " may-redirect" : "");
}

std::string describe(const SubmitResult &R) {
  return "SubmitResult " + std::string(nameOf(R.Status)) +
         (R.UpstreamDraining ? " upstream-leaving" : "");
}

std::string describe(const Dispatch &D) {
  return "Dispatch id=" + std::to_string(D.Request.value()) +
         " flow=" + std::to_string(D.Flow.value());
}

std::string describe(const Reply &R) {
  return "Reply id=" + std::to_string(R.Id.value()) + " " +
         std::string(nameOf(R.Result)) +
         (R.Payload.empty() ? "" : " '" + R.Payload + "'");
}

// Returns an empty string for messages that a trace omits.
std::string describeMessage(const Message &Body) {
  return std::visit(
      Overloaded{
          [](const Request &M) { return describe(M); },
          [](const Reply &M) { return describe(M); },
          [](const Relay &M) { return "Relay " + describePacket(M.Packet); },
          [](const Submit &M) { return describe(M); },
          [](const SubmitResult &M) { return describe(M); },
          [](const CancelSubmit &) { return std::string("CancelSubmit"); },
          [](const Dispatch &M) { return describe(M); },
          [](const CancelDispatch &) { return std::string("CancelDispatch"); },
          [](const auto &) { return std::string(); }},
      Body);
}

} // namespace

SessionTrace::SessionTrace(Fleet &FleetToTrace)
    : TracedFleet(FleetToTrace), Start(FleetToTrace.Net.TimeSource.Now) {
  for (auto &[Name, Node] : TracedFleet.Net.Nodes)
    Node.Log.clear();
  auto PreviousHook = TracedFleet.Net.OnExternalDatagram;
  TracedFleet.Net.OnExternalDatagram =
      [this, PreviousHook](EngineNetwork::Node &From, Endpoint To,
                           const Message &Body) {
        write(From.Settings.Name, nameOf(To), Body);
        PreviousHook(From, To, Body);
      };
  TracedFleet.Net.OnDatagram = [this](EngineNetwork::Node &From,
                                      EngineNetwork::Node &To,
                                      const Message &Body) {
    write(From.Settings.Name, To.Settings.Name, Body);
    return true;
  };
}

void SessionTrace::note(const std::string &Text) {
  writeLogs();
  std::ostringstream Line;
  Line << std::fixed << std::setprecision(3) << std::setw(7)
       << std::chrono::duration<double>(TracedFleet.Net.TimeSource.Now - Start)
              .count()
       << "  ";
  Lines += Line.str() + Text + "\n";
}

void SessionTrace::write(const std::string &From, const std::string &To,
                         const Message &Body) {
  const std::string Description = describeMessage(Body);
  if (!Description.empty())
    note(From + " -> " + To + "  " + Description);
}

std::string SessionTrace::nameOf(Endpoint Address) const {
  const auto It = TracedFleet.Upstreams.find(Address);
  return It == TracedFleet.Upstreams.end() ? "caller" : It->second.Config.Name;
}

void SessionTrace::writeLogs() {
  for (auto &[Name, Node] : TracedFleet.Net.Nodes) {
    const std::vector<LogLine> LogLines = std::move(Node.Log);
    Node.Log.clear();
    for (const LogLine &Line : LogLines)
      if (Line.Level >= LogLevel::Info)
        note(Name + " log " + std::string(Line.Component) + ": " + Line.Text);
  }
}

} // namespace indigopoint
