#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "route_table.h"
#include "upstream_registry.h"

namespace indigopoint {

/// Decides what the items of a restored store may change. The store comes back
/// from a copy some seconds old, so an item may be older than what was known
/// before, and an item that is missing may be written again within seconds.
class RestorationReview {
public:
  /// \p RegistrationLifetime is the time after which the store removes the
  /// registration of an upstream that is no longer running.
  explicit RestorationReview(Duration RegistrationLifetime)
      : RegistrationLifetime(RegistrationLifetime) {}

  enum class Verdict : uint8_t {
    Apply,
    /// Apply if the registration outlasts RegistrationLifetime.
    Hold,
    /// The registration is older than what is known.
    Ignore
  };

  /// A registration that needs confirmation.
  struct HeldRegistration {
    UpstreamRegistration Registration;
    uint64_t CreatedRevision = 0;
  };

  /// Called when the first snapshot after a restoration begins.
  void begin(TimePoint Now);

  /// \p Known is the upstream as known before the restoration; null if unknown.
  static Verdict judge(const UpstreamRegistration &Restored,
                       const Upstream *Known);

  void hold(HeldRegistration Registration);

  /// Forgets what is pending for an upstream, because its registration was
  /// written or deleted after the restoration.
  void release(UpstreamId Id);

  /// Whether upstreams and evacuations that the store does not have yet are
  /// still kept.
  bool keepsMissingItems(TimePoint Now) const { return Now < MissingUntil; }

  void setMissing(const std::vector<UpstreamId> &Ids);

  /// Returns and forgets the upstreams that did not register again in time, as
  /// far as the store had confirmed it at \p LastSync.
  std::vector<UpstreamId> takeMissing(TimePoint LastSync);

  void setMissingEvacuations(const std::vector<std::string> &Zones);

  /// Forgets that the evacuation of a zone is missing, because it was written
  /// or deleted after the restoration.
  void releaseEvacuation(const std::string &Zone) {
    MissingEvacuations.erase(Zone);
  }

  /// Returns and forgets the zones whose evacuation was not written again in
  /// time; see takeMissing.
  std::vector<std::string> takeMissingEvacuations(TimePoint LastSync);

  /// Returns and forgets the held registrations that outlasted their time; see
  /// takeMissing.
  std::vector<HeldRegistration> takeConfirmed(TimePoint LastSync);

  /// Records the content of a configuration that was in force, as the store has
  /// it.
  void recordConfiguration(ConfigVersion Version, const std::string &Content);

  /// Whether this instance knows the version with the same content. The
  /// operator then writes a lost version again, and not a new one.
  bool isKnownConfiguration(ConfigVersion Version,
                            const std::string &Content) const;

  /// Records the revision of the configuration in the restored store.
  void recordRestoredConfiguration(uint64_t Revision);

  /// Whether a configuration was written after the store was restored.
  bool isWrittenSince(uint64_t Revision) const;

  /// Keeps a configuration with a lower version than the one in force, which
  /// was written after the restoration.
  void deferConfiguration(RouteConfiguration Configuration, TimePoint Now);

  /// Returns and forgets the deferred configuration when it is due. Nothing if
  /// another one was written since.
  std::optional<RouteConfiguration> takeDeferredConfiguration(TimePoint Now);
  void discardDeferredConfiguration() { DeferredConfiguration.reset(); }

private:
  Duration RegistrationLifetime;
  bool HasBegun = false;
  TimePoint MissingUntil{};
  TimePoint HoldUntil{};
  std::map<UpstreamId, HeldRegistration> Held;
  std::set<UpstreamId> Missing;
  std::set<std::string> MissingEvacuations;
  uint64_t RestoredConfigurationRevision = 0;
  /// Hashes of the content of the latest versions.
  std::map<ConfigVersion, uint64_t> KnownConfigurations;
  std::optional<RouteConfiguration> DeferredConfiguration;
  TimePoint DeferredUntil{};
};

} // namespace indigopoint
