#include "change_log.h"

#include <utility>

namespace indigopoint {

namespace {

// A peer repeats its pulls every 50 ms and gives up after 2 s, so no peer is
// fetching a snapshot that has been idle this long.
constexpr std::chrono::seconds SnapshotIdleLimit(10);

// About 2 ms of work per tick of 10 ms; 43,000 upstreams take 0.9 s, within the
// 2 s after which a peer asks another instance.
constexpr size_t UpstreamsPerStep = 500;

} // namespace

void ChangeLog::add(ConfigVersion Version, std::string Text) {
  if (!Changes.empty() &&
      FirstVersion.value() + Changes.size() != Version.value())
    clear();
  if (Changes.empty())
    FirstVersion = Version;
  Bytes += Text.size();
  Changes.push_back(std::move(Text));
  while (Changes.size() > MaxChanges || Bytes > MaxBytes) {
    Bytes -= Changes.front().size();
    Changes.pop_front();
    FirstVersion = ConfigVersion(FirstVersion.value() + 1);
  }
}

void ChangeLog::clear() {
  Changes.clear();
  Bytes = 0;
}

const std::string *ChangeLog::change(ConfigVersion Version) const {
  if (Version < FirstVersion ||
      Version.value() - FirstVersion.value() >= Changes.size())
    return nullptr;
  return &Changes[Version.value() - FirstVersion.value()];
}

const std::string *ChangeLog::snapshot(const Configuration &Config,
                                       TimePoint Now) {
  if (const std::string *Snapshot = findSnapshot(Config.Version, Now))
    return Snapshot;
  // A snapshot of an earlier version is finished first; otherwise no snapshot
  // would ever be completed while changes are frequent.
  if (!Encoder) {
    Encoder.emplace(Config);
    encodeStep(Now);
  }
  return findSnapshot(Config.Version, Now);
}

void ChangeLog::encodeStep(TimePoint Now) {
  if (!Encoder || !Encoder->step(UpstreamsPerStep))
    return;
  StoredSnapshot &Oldest =
      Snapshots[0].Version < Snapshots[1].Version ? Snapshots[0] : Snapshots[1];
  Oldest = {Encoder->version(), Now, addChecksum(Encoder->take())};
  Encoder.reset();
}

const std::string *ChangeLog::findSnapshot(ConfigVersion Version,
                                           TimePoint Now) {
  for (StoredSnapshot &Snapshot : Snapshots) {
    if (Snapshot.Version != Version || Snapshot.Text.empty())
      continue;
    Snapshot.UsedAt = Now;
    return &Snapshot.Text;
  }
  return nullptr;
}

void ChangeLog::expireSnapshots(TimePoint Now) {
  for (StoredSnapshot &Snapshot : Snapshots)
    if (!Snapshot.Text.empty() && Now - Snapshot.UsedAt > SnapshotIdleLimit)
      Snapshot = {};
}

} // namespace indigopoint
