#include "flow_history.h"

#include <algorithm>
#include <ctime>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

using Json = nlohmann::ordered_json;
using WallTime = std::chrono::system_clock::time_point;

struct Entry {
  WallTime At;
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

// A line may have a prefix of whoever collected it.
std::optional<Entry> parseEntry(const std::string &Text) {
  const size_t Start = Text.find('{');
  if (Start == std::string::npos)
    return std::nullopt;
  Json Line = Json::parse(Text.substr(Start), nullptr, false);
  if (!Line.is_object() || !Line.contains("event") ||
      !Line.value("time", Json()).is_string() ||
      !Line.value("instance", Json()).is_string())
    return std::nullopt;
  const auto At = parseTime(Line["time"].get<std::string>());
  if (!At)
    return std::nullopt;
  return Entry{*At, Line["instance"].get<std::string>(), std::move(Line)};
}

std::string textOf(const Json &Line, const char *Key) {
  const auto Found = Line.find(Key);
  return Found != Line.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

// Instance, event and details of a line.
std::string format(const Entry &Given) {
  std::string Out = Given.Line["time"].get<std::string>() + " " +
                    Given.Instance + " " + textOf(Given.Line, "event");
  for (const auto &[Key, Value] : Given.Line.items())
    if (Key != "time" && Key != "instance" && Key != "event")
      Out += " " + Key + "=" +
             (Value.is_string() ? Value.get<std::string>() : Value.dump());
  return Out;
}

// Which lines without the flow's name belong to its story.
class Context {
public:
  void add(const Entry &Own) {
    Instances.insert(Own.Instance);
    if (const std::string Upstream = textOf(Own.Line, "upstream");
        !Upstream.empty())
      Upstreams.insert(Upstream);
    From = First ? Own.At : std::min(From, Own.At);
    To = First ? Own.At : std::max(To, Own.At);
    First = false;
  }

  bool contains(const Entry &Other, Duration Margin) const {
    if (First || Other.At + Margin < From || Other.At > To + Margin ||
        Other.Line.contains("flow"))
      return false;
    const std::string Upstream = textOf(Other.Line, "upstream");
    return Instances.count(Other.Instance) != 0 &&
           (Upstream.empty() || Upstreams.count(Upstream) != 0);
  }

private:
  bool First = true;
  WallTime From;
  WallTime To;
  std::set<std::string> Instances;
  std::set<std::string> Upstreams;
};

} // namespace

FlowHistory readFlowHistory(std::istream &Logs, const std::string &Flow,
                            Duration Margin) {
  FlowHistory Story;
  std::vector<Entry> Entries;
  Context Around;
  for (std::string Text; std::getline(Logs, Text);) {
    auto Read = parseEntry(Text);
    if (!Read) {
      ++Story.UnreadableLines;
      continue;
    }
    if (textOf(Read->Line, "flow") == Flow)
      Around.add(*Read);
    Entries.push_back(std::move(*Read));
  }
  std::stable_sort(Entries.begin(), Entries.end(),
                   [](const Entry &A, const Entry &B) { return A.At < B.At; });
  for (const Entry &Each : Entries)
    if (textOf(Each.Line, "flow") == Flow || Around.contains(Each, Margin))
      Story.Lines.push_back(format(Each));
  return Story;
}

} // namespace indigopoint
