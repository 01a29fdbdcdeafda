#include "policy_settings.h"

#include "settings_reader.h"

namespace indigopoint {

namespace {

constexpr uint64_t MaxBackoffMs = 600'000;
constexpr uint64_t MaxCheckLifetimeMs = 60'000;
constexpr uint32_t MaxOpenings = 100;
constexpr uint32_t MaxZoneSize = 1'000'000;

// The rest of the time is left for the call itself, a retry, and a zone's
// reader that waits as long before.
constexpr double MaxDelayAfterChangeShare = 0.25;

// With less, an upstream in its warm-up would count as having no slots.
constexpr double MinWarmupShare = 0.01;

void readPlacement(SettingsReader &Reader, PlacementOptions &Out) {
  Reader.boolean("preferOwnZone", Out.PreferOwnZone);
  Reader.boolean("avoidSuspects", Out.AvoidSuspects);
  Reader.boolean("countOpenFlows", Out.CountOpenFlows);
  Reader.boolean("countResponseTime", Out.CountResponseTime);
  Reader.number("warmupShare", Out.WarmupShare, MinWarmupShare, 1);
  Reader.number("minLossForOtherZones", Out.MinLossForOtherZones, 0, 1);
  Reader.boolean("spillWhenSlow", Out.SpillWhenSlow);
  Reader.boolean("moveUnansweredOpenings", Out.MoveUnansweredOpenings);
  Reader.boolean("preferAnsweringUpstreams", Out.PreferAnsweringUpstreams);
  Reader.wholeNumber("maxOpeningsInZone", Out.MaxOpeningsInZone, MaxOpenings);
  Reader.boolean("avoidRefusedUpstream", Out.AvoidRefusedUpstream);
  Reader.boolean("avoidUnresponsive", Out.AvoidUnresponsive);
}

void readReachability(SettingsReader &Reader, ReachabilityOptions &Out) {
  Reader.milliseconds("initialBackoffMs", Out.InitialBackoff, 0, MaxBackoffMs);
  Reader.milliseconds("maxBackoffMs", Out.MaxBackoff, 0, MaxBackoffMs);
  Reader.milliseconds("failedCheckLifetimeMs", Out.FailedCheckLifetime, 0,
                      MaxCheckLifetimeMs);
  Reader.boolean("suspectPendingOpenings", Out.SuspectPendingOpenings);
  Reader.boolean("leaveSilentZone", Out.LeaveSilentZone);
}

void readChecks(SettingsReader &Reader, CheckOptions &Out) {
  Reader.boolean("enabled", Out.Enabled);
  Reader.boolean("atRetransmission", Out.AtRetransmission);
  Reader.boolean("useReference", Out.UseReference);
  Reader.boolean("resetWaitingFlows", Out.ResetWaitingFlows);
  Reader.boolean("resetNonIdempotentFlows", Out.ResetNonIdempotentFlows);
  Reader.boolean("resetIdleFlows", Out.ResetIdleFlows);
  Reader.boolean("shareFailures", Out.ShareFailures);
  Reader.boolean("resetFlowsOfSilentZone", Out.ResetFlowsOfSilentZone);
}

void readStoreSharing(SettingsReader &Reader, StoreSharingOptions &Out) {
  Reader.wholeNumber("minZoneSizeForSharedReader",
                     Out.MinZoneSizeForSharedReader, MaxZoneSize);
  Reader.boolean("askPeersInOutage", Out.AskPeersInOutage);
  Reader.number("delayAfterChangeShare", Out.DelayAfterChangeShare, 0,
                MaxDelayAfterChangeShare);
}

} // namespace

void readPolicyOptions(SettingsReader &Reader, PolicyOptions &Out) {
  Reader.object("policy", [&Out](SettingsReader &Policy) {
    Policy.object("placement", [&Out](SettingsReader &Members) {
      readPlacement(Members, Out.Placement);
    });
    Policy.object("reachability", [&Out](SettingsReader &Members) {
      readReachability(Members, Out.Reachability);
    });
    Policy.object("checks", [&Out](SettingsReader &Members) {
      readChecks(Members, Out.Checks);
    });
    Policy.object("storeSharing", [&Out](SettingsReader &Members) {
      readStoreSharing(Members, Out.StoreSharing);
    });
  });
}

} // namespace indigopoint
