#include <algorithm>
#include <cmath>
#include <sstream>

#include "document_reader.h"
#include "status_report.h"

namespace indigopoint {

namespace {

using Json = nlohmann::json;

constexpr size_t BarWidth = 40;

// Formats a bound of a bin. The outermost bounds are infinite, which JSON
// represents as null.
std::string formatBound(const Json &Value, bool Microseconds) {
  if (!Value.is_number())
    return "inf";
  const auto Number = Value.get<double>();
  std::ostringstream Out;
  Out.precision(3);
  if (!Microseconds)
    Out << Number;
  else if (Number < 1e3)
    Out << Number << "us";
  else if (Number < 1e6)
    Out << Number / 1e3 << "ms";
  else
    Out << Number / 1e6 << "s";
  return Out.str();
}

std::string padLeft(const std::string &Text, size_t Width) {
  return std::string(Width - std::min(Width, Text.size()), ' ') + Text;
}

void writeHistogram(const std::string &Name, const Json &Bins,
                    std::ostream &Out) {
  uint64_t MaxCount = 0;
  for (const Json &Bin : Bins)
    MaxCount = std::max(MaxCount, Bin.at(2).get<uint64_t>());
  if (MaxCount == 0)
    return;
  const bool Microseconds = Name.ends_with("Us");
  Out << "  " << Name.substr(0, Name.size() - (Microseconds ? 2 : 0)) << "\n";
  for (const Json &Bin : Bins) {
    const auto Count = Bin.at(2).get<uint64_t>();
    const size_t Width = std::max<size_t>(1, Count * BarWidth / MaxCount);
    const std::string LowerBound = formatBound(Bin.at(0), Microseconds);
    // Bins of histograms without unit hold one number each, so one bound is
    // enough.
    const std::string Range = Microseconds
                                  ? padLeft(LowerBound, 8) + " .." +
                                        padLeft(formatBound(Bin.at(1), true), 8)
                                  : padLeft(LowerBound, 19);
    Out << "  " << Range << " |" << std::string(Width, '#') << " " << Count
        << "\n";
  }
}

// Writes "name=value" for each member of an object of plain values.
void writePairs(const Json &Object, std::ostream &Out) {
  for (const auto &[Key, Value] : Object.items())
    Out << " " << Key << "="
        << (Value.is_string() ? Value.get<std::string>() : Value.dump());
  Out << "\n";
}

void writeServices(const Json &Services, std::ostream &Out) {
  for (const auto &[Name, Service] : Services.items()) {
    Out << "\nservice " << Name << "\n  outcomes:";
    writePairs(Service.at("outcomes"), Out);
    Out << "  flows:";
    writePairs(Service.at("flows"), Out);
    for (const auto &[Key, Bins] : Service.at("histograms").items())
      writeHistogram(Key, Bins, Out);
  }
}

void writeReport(const Json &Report, std::ostream &Out) {
  Out << "instance:";
  writePairs(Report.at("self"), Out);
  for (const std::string Key : {"configurationVersion", "openFlows",
                                "requestsInProgress", "dispatchesInProgress"})
    Out << Key << ": " << Report.at(Key).dump() << "\n";
  for (const Json &Member : Report.at("members")) {
    Out << "member:";
    writePairs(Member, Out);
  }
  for (const Json &Upstream : Report.at("upstreams")) {
    Out << "upstream:";
    writePairs(Upstream, Out);
  }
  Json Datagrams = Report.at("datagrams");
  Out << "dropped datagrams:";
  writePairs(Datagrams.at("dropped"), Out);
  Datagrams.erase("dropped");
  Out << "datagrams:";
  writePairs(Datagrams, Out);
  writeServices(Report.at("services"), Out);
}

// Writes one line for each object of a list.
void writeList(const Json &Objects, std::ostream &Out) {
  Out << (Objects.empty() ? " none\n" : "\n");
  for (const Json &Object : Objects) {
    Out << " ";
    writePairs(Object, Out);
  }
}

// The report of a forwarder contains plain values, upstream counts and lists of
// objects.
void writeForwarder(const Json &Report, std::ostream &Out) {
  for (const auto &[Key, Value] : Report.items()) {
    Out << Key << ":";
    if (Value.is_object())
      writePairs(Value, Out);
    else if (Value.is_array())
      writeList(Value, Out);
    else
      Out << " "
          << (Value.is_string() ? Value.get<std::string>() : Value.dump())
          << "\n";
  }
}

bool isForwarder(const Json &Report) {
  return Report.is_object() && Report.contains("storeAgeMs");
}

} // namespace

std::string statusText(const std::string &Report) {
  std::ostringstream Out;
  try {
    const Json Content = readWholeDocument(Report, DocumentFormat::Json);
    if (isForwarder(Content))
      writeForwarder(Content, Out);
    else
      writeReport(Content, Out);
  } catch (const std::exception &) {
    return {};
  }
  return Out.str();
}

} // namespace indigopoint
