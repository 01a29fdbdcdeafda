#include "forwarder_settings.h"

#include "policy_settings.h"

namespace indigopoint {

namespace {

// Lower limit of the maximum store age. With less, the process would read the
// store all the time.
constexpr uint64_t MinStoreAgeMs = 1500;
constexpr uint64_t MinChangeBoundMs = 1000;
constexpr uint64_t MaxStoreAgeMs = 600'000;
constexpr uint64_t MinRegistrationPeriodMs = 50;
constexpr uint64_t MaxRegistrationPeriodMs = 600'000;
constexpr uint32_t MaxLogLines = 100'000;
constexpr double MaxLinkMbps = 10'000'000;
constexpr uint32_t MaxStopLimitS = 600;

} // namespace

std::vector<SettingsError> parseForwarderSettings(const std::string &Text,
                                                  const std::string &File,
                                                  ForwarderSettings &Out) {
  ForwarderSettings Settings;
  std::vector<SettingsError> Errors =
      readSettingsText(Text, File, [&](SettingsReader &Reader) {
        Reader.text("name", Settings.Name, true);
        Reader.text("zone", Settings.Zone, true);
        Reader.endpoint("dataAddress", Settings.DataAddress, true);
        Reader.endpoint("readyAddress", Settings.ReadyAddress, true);
        Reader.endpoint("metricsAddress", Settings.MetricsAddress);
        Reader.endpoint("store", Settings.Store, true);
        Reader.endpoint("peerAddress", Settings.PeerAddress);
        Reader.endpoints("seeds", Settings.Seeds);
        Reader.endpoint("reportAddress", Settings.ReportAddress);
        if (Settings.ReportAddress.Port != 0 && Settings.PeerAddress.Port == 0)
          Reader.fail("reportAddress", toString(Settings.ReportAddress),
                      "add \"peerAddress\", by which the other instances know "
                      "this one, or remove \"reportAddress\"");
        // The platform sets these; it gives any of them with a fraction.
        Reader.fractionalMilliseconds("maxStoreAgeMs", Settings.MaxStoreAge,
                                      MinStoreAgeMs, MaxStoreAgeMs);
        Reader.fractionalMilliseconds("changeBoundMs", Settings.ChangeBound,
                                      MinChangeBoundMs, MaxStoreAgeMs);
        Reader.fractionalMilliseconds(
            "registrationPeriodMs", Settings.RegistrationPeriod,
            MinRegistrationPeriodMs, MaxRegistrationPeriodMs);
        Reader.number("linkMbps", Settings.LinkMbps, 0, MaxLinkMbps);
        Reader.seconds("stopLimitS", Settings.StopLimit, MaxStopLimitS);
        Reader.wholeNumber("logLinesPerSecond", Settings.LogLinesPerSecond,
                           MaxLogLines);
        readPolicyOptions(Reader, Settings.Policy);
      });
  if (Errors.empty())
    Out = std::move(Settings);
  return Errors;
}

std::vector<SettingsError> loadForwarderSettings(const std::string &File,
                                                 ForwarderSettings &Out) {
  std::string Text;
  const std::vector<SettingsError> Errors = readSettingsFile(File, Text);
  return Errors.empty() ? parseForwarderSettings(Text, File, Out) : Errors;
}

} // namespace indigopoint
