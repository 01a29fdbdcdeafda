#include "record_history.h"

#include <algorithm>

#include "blackboard.h"
#include "request_table.h"

namespace indigopoint {

namespace {

// Whether a member that was declared dead may be alive on the other side of a
// network partition: the platform still lists the member, and no new process
// has replaced it.
bool isPartitionPossible(const MemberTable &Members) {
  return std::any_of(
      Members.ById.begin(), Members.ById.end(), [](const auto &Entry) {
        return Entry.second.State == MemberState::Dead && Entry.second.Listed;
      });
}

} // namespace

// The first copy needs records that are complete for the maximum lifetime of a
// packet, a retransmission needs records that are complete since the first copy
// was sent plus that lifetime.
bool hasNeverRun(const Blackboard &Board, uint32_t Bucket, uint32_t Attempt,
                 Duration Age) {
  const auto RecordHistoryLength =
      Board.now() - Board.CurrentOwnership.completeSince(Bucket);
  if (Attempt == 0)
    return RecordHistoryLength >= MaxPacketLifetime;
  // On the other side of a partition another home instance may serve the same
  // bucket, and an earlier copy may have reached that instance.
  if (isPartitionPossible(Board.Members))
    return false;
  // The record of an earlier copy may have expired.
  if (Age >= MaxRequestLifetime)
    return false;
  const Duration TimeSinceFirstSend =
      Age > Duration() ? Age : MaxRequestLifetime;
  return RecordHistoryLength >= TimeSinceFirstSend + MaxPacketLifetime;
}

} // namespace indigopoint
