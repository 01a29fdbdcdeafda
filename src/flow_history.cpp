#include "flow_history.h"

#include <algorithm>
#include <ctime>
#include <optional>
#include <set>

#include "document_reader.h"

namespace indigopoint {

namespace {

using Json = nlohmann::ordered_json;
using WallTime = std::chrono::system_clock::time_point;

struct Entry {
  WallTime Time;
  std::string Instance;
  Json Line;
};

// Reads "2026-12-03T23:16:03.671Z".
std::optional<WallTime> parseTime(const std::string &Text) {
  std::tm Parts{};
  const char *Rest = strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%S", &Parts);
  if (Rest == nullptr || *Rest != '.')
    return std::nullopt;
  return std::chrono::system_clock::from_time_t(timegm(&Parts)) +
         std::chrono::milliseconds(std::strtol(Rest + 1, nullptr, 10));
}

// The tool that collected the logs may have added a prefix to the line.
std::optional<Entry> parseEntry(const std::string &Text) {
  const size_t Start = Text.find('{');
  if (Start == std::string::npos)
    return std::nullopt;
  Json Line;
  try {
    Line = readOrderedDocument(std::string_view(Text).substr(Start),
                               DocumentFormat::Json);
  } catch (const DocumentError &) {
    return std::nullopt;
  }
  if (!Line.is_object() || !Line.contains("event") ||
      !Line.value("time", Json()).is_string() ||
      !Line.value("instance", Json()).is_string())
    return std::nullopt;
  const auto Time = parseTime(Line["time"].get<std::string>());
  if (!Time)
    return std::nullopt;
  return Entry{*Time, Line["instance"].get<std::string>(), std::move(Line)};
}

std::string textOf(const Json &Line, const char *Key) {
  const auto Found = Line.find(Key);
  return Found != Line.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

// Formats the time, the instance, the event and the details of a line.
std::string format(const Entry &LogEntry) {
  std::string Out = LogEntry.Line["time"].get<std::string>() + " " +
                    LogEntry.Instance + " " + textOf(LogEntry.Line, "event");
  for (const auto &[Key, Value] : LogEntry.Line.items())
    if (Key != "time" && Key != "instance" && Key != "event")
      Out += " " + Key + "=" +
             (Value.is_string() ? Value.get<std::string>() : Value.dump());
  return Out;
}

// The upstreams, the instances and the period of a flow. Selects the lines
// that do not contain the flow but concern it.
class Context {
public:
  void add(const Entry &FlowEntry) {
    Instances.insert(FlowEntry.Instance);
    if (const std::string Upstream = textOf(FlowEntry.Line, "upstream");
        !Upstream.empty())
      Upstreams.insert(Upstream);
    FirstTime = IsEmpty ? FlowEntry.Time : std::min(FirstTime, FlowEntry.Time);
    LastTime = IsEmpty ? FlowEntry.Time : std::max(LastTime, FlowEntry.Time);
    IsEmpty = false;
  }

  bool isRelated(const Entry &Other, Duration Margin) const {
    if (IsEmpty || Other.Time + Margin < FirstTime ||
        Other.Time > LastTime + Margin || Other.Line.contains("flow"))
      return false;
    const std::string Upstream = textOf(Other.Line, "upstream");
    return Instances.count(Other.Instance) != 0 &&
           (Upstream.empty() || Upstreams.count(Upstream) != 0);
  }

private:
  bool IsEmpty = true;
  WallTime FirstTime;
  WallTime LastTime;
  std::set<std::string> Instances;
  std::set<std::string> Upstreams;
};

} // namespace

FlowHistory readFlowHistory(std::istream &Logs, const std::string &Flow,
                            Duration Margin) {
  FlowHistory History;
  std::vector<Entry> Entries;
  Context FlowContext;
  for (std::string Text; std::getline(Logs, Text);) {
    auto ParsedEntry = parseEntry(Text);
    if (!ParsedEntry) {
      ++History.UnreadableLines;
      continue;
    }
    if (textOf(ParsedEntry->Line, "flow") == Flow)
      FlowContext.add(*ParsedEntry);
    Entries.push_back(std::move(*ParsedEntry));
  }
  std::stable_sort(
      Entries.begin(), Entries.end(),
      [](const Entry &A, const Entry &B) { return A.Time < B.Time; });
  for (const Entry &LogEntry : Entries)
    if (textOf(LogEntry.Line, "flow") == Flow ||
        FlowContext.isRelated(LogEntry, Margin))
      History.Lines.push_back(format(LogEntry));
  return History;
}

} // namespace indigopoint
