#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "types.h"

namespace indigopoint {

// Between callers and instances.

/// One request of a flow. \c Deadline is the time that remained when the
/// request was sent.
struct Request {
  FlowKey Flow;
  ServiceId Service;
  RequestId Id;
  /// 0 for the first transmission; the caller increments it on each
  /// retransmission.
  uint32_t Attempt = 0;
  bool Idempotent = false;
  /// Time that is left for the request, counted from its arrival.
  Duration Deadline{};
  std::string Payload;
  /// Time since the first transmission. Zero in a retransmission means unknown.
  Duration Age = Duration();
};

/// The final outcome of one request.
struct Reply {
  FlowKey Flow;
  RequestId Id;
  Outcome Result = Outcome::Unknown;
  /// How long the caller waits before it retries; 0 if it may retry at once.
  Duration RetryAfter{};
  std::string Payload;
};

/// Cancels a request. The request still gets a final reply.
struct Cancel {
  FlowKey Flow;
  ServiceId Service;
  RequestId Id;
};

/// Ends a flow. There is no reply.
struct CloseFlow {
  FlowKey Flow;
  ServiceId Service;
};

using CallerPacket = std::variant<Request, Cancel, CloseFlow>;

// Between instances: the data path.

/// A caller's packet that one instance forwards to the home instance of the
/// flow, which is the instance that chooses the upstream for each request of
/// the flow and keeps the request records.
struct Relay {
  /// The address to send the reply to.
  Endpoint Caller;
  /// How often the packet was relayed.
  uint32_t Hops = 0;
  CallerPacket Packet;
};

/// A request that a home instance sends to the owner of an upstream, to be run
/// there. The owner deduplicates by sender, boot id and submit id.
struct Submit {
  SubmitId Id;
  ServiceId Service;
  UpstreamId Upstream;
  FlowKey Flow;
  RequestId Request;
  bool Idempotent = false;
  /// The flow is not pinned yet, so the owner may redirect it.
  bool MayRedirect = false;
  Duration Deadline{};
  std::string Payload;
};

struct SubmitResult {
  SubmitId Id;
  SubmitStatus Status = SubmitStatus::Unknown;
  /// The upstream to use instead, if Status is Redirect.
  UpstreamId Redirect;
  /// The upstream is draining; the flow has to move to another one before its
  /// next request.
  bool UpstreamDraining = false;
  Duration RetryAfter{};
  std::string Payload;
  /// The upstream is ejected after failures; the flow needs another one.
  bool UpstreamEjected = false;
};

struct CancelSubmit {
  SubmitId Id;
};

/// A flow no longer uses its connection to an upstream.
struct ReleaseFlow {
  UpstreamId Upstream;
  FlowKey Flow;
};

// Between owners and upstreams.

/// Runs a request on an upstream, over the flow's connection to it.
struct Dispatch {
  ConnectionId Connection;
  DispatchId Id;
  ServiceId Service;
  FlowKey Flow;
  RequestId Request;
  bool Idempotent = false;
  Duration Deadline{};
  std::string Payload;
};

struct DispatchResult {
  ConnectionId Connection;
  DispatchId Id;
  DispatchStatus Status = DispatchStatus::Done;
  std::string Payload;
};

struct CancelDispatch {
  ConnectionId Connection;
  DispatchId Id;
};

struct Ping {
  ConnectionId Connection;
};

struct Pong {
  ConnectionId Connection;
};

struct CloseConnection {
  ConnectionId Connection;
};

// Between instances: load and pins.

/// The load of an owned upstream, sent to the owners of the other upstreams of
/// the service.
struct UpstreamLoad {
  UpstreamId Upstream;
  uint32_t Flows = 0;
  uint32_t Busy = 0;
  uint32_t Queued = 0;
  /// Requests per 100 s; 0 if the rate is not known yet.
  uint32_t RequestRate = 0;
  /// From 0 (no traffic) to 100 (full weight).
  uint32_t WeightPercent = 100;
  bool Ejected = false;
  bool Draining = false;
};

struct LoadReport {
  std::vector<UpstreamLoad> Loads;
};

/// Assigns a flow to an upstream other than its default choice.
struct Pin {
  FlowKey Flow;
  ServiceId Service;
  UpstreamId Upstream;
  bool Removed = false;
};

/// Pins kept on the backup home of their flows.
struct PinReplica {
  std::vector<Pin> Pins;
};

// Between instances: membership.

/// Orders the updates about a member: a later BootTime replaces an earlier one;
/// within one boot the higher Counter wins.
struct Incarnation {
  /// Wall-clock start of the process, in milliseconds since the epoch.
  uint64_t BootTime = 0;
  BootId Boot;
  uint32_t Counter = 0;
  auto operator<=>(const Incarnation &) const = default;
};

struct MemberUpdate {
  std::string Name;
  std::string Zone;
  Endpoint Address;
  MemberState State = MemberState::Joining;
  Incarnation MemberIncarnation;
};

/// Checks whether the receiver answers. The first entry of Updates describes
/// the sender.
struct Probe {
  uint64_t Sequence = 0;
  ConfigVersion Version;
  std::vector<MemberUpdate> Updates;
  /// Requests a page of the receiver's member table. The page starts at the
  /// first id above SyncAfter.
  bool Sync = false;
  InstanceId SyncAfter;
};

struct ProbeAck {
  uint64_t Sequence = 0;
  ConfigVersion Version;
  std::vector<MemberUpdate> Updates;
  /// Last id of the requested page; zero if it is the last page of the table.
  InstanceId SyncedTo;
};

/// Asks the receiver to probe \c Target and to forward the acknowledgement.
struct IndirectProbe {
  uint64_t Sequence = 0;
  InstanceId Target;
};

/// The process that sent a datagram. Callers and upstreams send a zero id.
struct Sender {
  InstanceId Instance;
  BootId Boot;
  auto operator<=>(const Sender &) const = default;
};

struct ForwardedMessage;

/// A message that another member forwards because its sender cannot reach
/// \c Target directly. \c Body is never null and does not hold a Forward.
struct Forward {
  InstanceId Target;
  Sender Origin;
  std::shared_ptr<const ForwardedMessage> Body;
};

// Between instances: handover.

enum class RequestPhase : uint8_t { InProgress, Finished };

/// A request record of a flow that moves to another home instance.
struct RequestRecordCopy {
  FlowKey Flow;
  RequestId Id;
  bool Idempotent = false;
  RequestPhase Phase = RequestPhase::InProgress;
  Outcome Result = Outcome::Unknown;
  Duration RetryAfter{};
  /// Time since the record was created.
  Duration Age{};
  std::string Payload;
  ServiceId Service = ServiceId();
  /// The instance that waits for the result, or has an answer that is too large
  /// to copy, and so answers retransmissions; zero unless Phase is InProgress.
  InstanceId Holder = InstanceId();
};

/// An owned upstream that moves to another owner.
struct UpstreamCopy {
  UpstreamId Upstream;
  uint32_t InProgress = 0;
  uint32_t Flows = 0;
  /// 0 if the upstream is not draining, else milliseconds since the drain began
  /// plus 1.
  uint32_t DrainingCode = 0;
};

/// A flow bucket that moves to another home instance.
struct BucketCopy {
  uint32_t Bucket = 0;
  /// How long the request records of the bucket have been complete.
  Duration CompleteFor{};
};

struct HandoverBatch {
  uint64_t Sequence = 0;
  /// The last batch of this transfer: nothing is left to move. Each batch makes
  /// the receiver the home of its Buckets and the owner of its Upstreams.
  bool Final = false;
  std::vector<BucketCopy> Buckets;
  std::vector<Pin> Pins;
  std::vector<RequestRecordCopy> Requests;
  std::vector<UpstreamCopy> Upstreams;
};

struct HandoverAck {
  uint64_t Sequence = 0;
};

// Between instances: configuration.

/// Requests the change or snapshot that follows \c CurrentVersion from a peer.
struct ConfigPull {
  ConfigVersion CurrentVersion;
  /// The version to fetch; 0 lets the peer choose.
  ConfigVersion RequestedVersion;
  uint32_t Offset = 0;
};

struct ConfigChunk {
  ConfigVersion Version;
  bool Snapshot = false;
  uint32_t Offset = 0;
  uint32_t Total = 0;
  std::string Bytes;
};

using Message =
    std::variant<Request, Reply, Cancel, CloseFlow, Relay, Submit, SubmitResult,
                 CancelSubmit, ReleaseFlow, Dispatch, DispatchResult,
                 CancelDispatch, Ping, Pong, CloseConnection, LoadReport,
                 PinReplica, Probe, ProbeAck, IndirectProbe, Forward,
                 HandoverBatch, HandoverAck, ConfigPull, ConfigChunk>;

struct ForwardedMessage {
  Message Body;
};

} // namespace indigopoint
