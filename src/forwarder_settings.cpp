#include "forwarder_settings.h"

namespace indigopoint {

namespace {

// A shorter one would read the store all the time.
constexpr uint64_t LeastStoreAgeMs = 1500;
constexpr uint64_t LeastBoundMs = 1000;
constexpr uint64_t MostStoreAgeMs = 30'000;
constexpr uint32_t MostLogLines = 100'000;
constexpr uint32_t MostLinkMbps = 10'000'000;
constexpr uint32_t MostStopLimitS = 600;

} // namespace

std::vector<SettingsError> parseForwarderSettings(const std::string &Text,
                                                  const std::string &File,
                                                  ForwarderSettings &Out) {
  ForwarderSettings Read;
  std::vector<SettingsError> Errors =
      readSettingsText(Text, File, [&](SettingsReader &Reader) {
        Reader.text("name", Read.Name, true);
        Reader.text("zone", Read.Zone, true);
        Reader.endpoint("dataAddress", Read.DataAddress, true);
        Reader.endpoint("readyAddress", Read.ReadyAddress, true);
        Reader.endpoint("metricsAddress", Read.MetricsAddress);
        Reader.endpoint("store", Read.Store, true);
        Reader.endpoint("peerAddress", Read.PeerAddress);
        Reader.endpoints("seeds", Read.Seeds);
        Reader.milliseconds("maxStoreAgeMs", Read.MaxStoreAge, LeastStoreAgeMs,
                            MostStoreAgeMs);
        Reader.milliseconds("changeBoundMs", Read.ChangeBound, LeastBoundMs,
                            MostStoreAgeMs);
        Reader.wholeNumber("logLinesPerSecond", Read.LogLinesPerSecond,
                           MostLogLines);
        Reader.wholeNumber("linkMbps", Read.LinkMbps, MostLinkMbps);
        Reader.seconds("stopLimitS", Read.StopLimit, MostStopLimitS);
      });
  if (Errors.empty())
    Out = std::move(Read);
  return Errors;
}

std::vector<SettingsError> loadForwarderSettings(const std::string &File,
                                                 ForwarderSettings &Out) {
  std::string Text;
  const std::vector<SettingsError> Errors = readSettingsFile(File, Text);
  return Errors.empty() ? parseForwarderSettings(Text, File, Out) : Errors;
}

} // namespace indigopoint
