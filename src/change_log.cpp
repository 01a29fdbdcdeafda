#include "change_log.h"

#include <utility>

namespace indigopoint {

namespace {

// A peer repeats its pulls every 50 ms and gives up after 2 s, so a snapshot
// that was idle this long has no reader left.
constexpr std::chrono::seconds SnapshotIdleLimit(10);

// About 2 ms of work per tick of 10 ms; 43,000 upstreams take 0.9 s, within the
// 2 s after which a peer asks another instance.
constexpr size_t UpstreamsPerStep = 500;

} // namespace

void ChangeLog::add(ConfigVersion Version, std::string Text) {
  if (!Changes.empty() && First.value() + Changes.size() != Version.value())
    clear();
  if (Changes.empty())
    First = Version;
  Bytes += Text.size();
  Changes.push_back(std::move(Text));
  while (Changes.size() > MaxChanges || Bytes > MaxBytes) {
    Bytes -= Changes.front().size();
    Changes.pop_front();
    First = ConfigVersion(First.value() + 1);
  }
}

void ChangeLog::clear() {
  Changes.clear();
  Bytes = 0;
}

const std::string *ChangeLog::change(ConfigVersion Version) const {
  if (Version < First || Version.value() - First.value() >= Changes.size())
    return nullptr;
  return &Changes[Version.value() - First.value()];
}

const std::string *ChangeLog::snapshot(const Configuration &Config,
                                       TimePoint Now) {
  if (const std::string *Kept = keptSnapshot(Config.Version, Now))
    return Kept;
  // A snapshot of an earlier version is finished first; otherwise frequent
  // changes would never let one complete.
  if (!Encoder) {
    Encoder.emplace(Config);
    encodeStep(Now);
  }
  return keptSnapshot(Config.Version, Now);
}

void ChangeLog::encodeStep(TimePoint Now) {
  if (!Encoder || !Encoder->step(UpstreamsPerStep))
    return;
  KeptSnapshot &Oldest =
      Snapshots[0].Version < Snapshots[1].Version ? Snapshots[0] : Snapshots[1];
  Oldest = {Encoder->version(), Now, addChecksum(Encoder->take())};
  Encoder.reset();
}

const std::string *ChangeLog::keptSnapshot(ConfigVersion Version,
                                           TimePoint Now) {
  for (KeptSnapshot &Kept : Snapshots) {
    if (Kept.Version != Version || Kept.Text.empty())
      continue;
    Kept.UsedAt = Now;
    return &Kept.Text;
  }
  return nullptr;
}

void ChangeLog::expireSnapshots(TimePoint Now) {
  for (KeptSnapshot &Kept : Snapshots)
    if (!Kept.Text.empty() && Now - Kept.UsedAt > SnapshotIdleLimit)
      Kept = {};
}

} // namespace indigopoint
