#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "route_table.h"
#include "store_sync.h"
#include "upstream_registry.h"

namespace indigopoint {

/// What other instances are told of a configuration. \p Content is the item's
/// value.
LostConfiguration describe(ConfigVersion Version, const std::string &Content);

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

  /// What this instance knew of a version before the restoration. It has
  /// several entries if the version was used again.
  std::vector<LostConfiguration>
  lostConfigurations(ConfigVersion Version) const;

  /// What is known of a version that is lower than the one in force and was
  /// written after the restoration.
  enum class RewriteKind : uint8_t {
    /// Not known. It may be lost, since an instance sees only some versions.
    Unknown,
    /// It was in force before: the operator writes a lost version again.
    Lost,
    /// It had other content before: a decision of the operator.
    Changed
  };
  RewriteKind kindOf(const LostConfiguration &Written) const;

  /// Records what was known before the restoration, also to other instances.
  /// Returns what that says of the deferred configuration; nothing if there is
  /// none.
  std::optional<RewriteKind>
  recordLostConfigurations(const std::vector<LostConfiguration> &Known);

  /// Records the revision of the configuration in the restored store.
  void recordRestoredConfiguration(uint64_t Revision);

  /// Whether a configuration was written after the store was restored.
  bool isWrittenSince(uint64_t Revision) const;

  /// Keeps a configuration with a lower version than the one in force, which
  /// was written after the restoration.
  void deferConfiguration(RouteConfiguration Configuration,
                          const LostConfiguration &Written, TimePoint Now);

  /// The version of the deferred configuration; nothing if there is none, or if
  /// it is known not to be a lost one.
  std::optional<ConfigVersion> undecidedVersion() const;

  /// Returns and forgets the deferred configuration when it is due, as far as
  /// the store had confirmed at \p LastSync that no other one was written.
  std::optional<RouteConfiguration>
  takeDeferredConfiguration(TimePoint LastSync);

  /// Returns true once when the deferred configuration is due but the store has
  /// not confirmed it since.
  bool takeConfirmationRequest(TimePoint Now, TimePoint LastSync);

  /// Forgets the deferred configuration, since the operator went on to write
  /// lost versions: it was one of them.
  void discardDeferredConfiguration();

private:
  Duration RegistrationLifetime;
  bool HasBegun = false;
  TimePoint MissingUntil{};
  TimePoint HoldUntil{};
  std::map<UpstreamId, HeldRegistration> Held;
  std::set<UpstreamId> Missing;
  std::set<std::string> MissingEvacuations;
  uint64_t RestoredConfigurationRevision = 0;
  /// Ordered by version.
  using ConfigurationSet = std::set<LostConfiguration>;

  struct Deferral {
    RouteConfiguration Configuration;
    LostConfiguration Content;
    TimePoint Since{};
    RewriteKind Kind = RewriteKind::Unknown;
    bool IsConfirmationRequested = false;
  };

  static void insert(ConfigurationSet &Configurations,
                     const LostConfiguration &Added);
  static TimePoint dueTime(const Deferral &Of);

  /// What was in force before the last restoration, and since.
  ConfigurationSet LostConfigurations;
  ConfigurationSet RecentConfigurations;
  std::optional<Deferral> Deferred;
};

std::string_view nameOf(RestorationReview::RewriteKind Value);

} // namespace indigopoint
