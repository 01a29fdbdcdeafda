/* Datagrams between callers, instances and upstreams. A datagram holds a
 * Header and then the struct that Header.kind names, both in the compact
 * protocol. Times are in microseconds. Ids are 64-bit patterns; addresses and
 * ports are bit patterns of unsigned numbers in host byte order. Enum
 * fields are i32, so that a number outside the enum can be rejected after
 * reading; a comment names the enum. The home instance assigns the requests
 * of a flow to upstreams; the owner instance of an upstream sends to it. */

namespace cpp indigopoint.wire

const i32 PROTOCOL_VERSION = 1

enum MessageKind {
  REQUEST = 1
  REPLY = 2
  CANCEL = 3
  CLOSE_FLOW = 4
  RELAY = 5
  SUBMIT = 6
  SUBMIT_RESULT = 7
  CANCEL_SUBMIT = 8
  RELEASE_FLOW = 9
  DISPATCH = 10
  DISPATCH_RESULT = 11
  CANCEL_DISPATCH = 12
  PING = 13
  PONG = 14
  CLOSE_CONNECTION = 15
  LOAD_REPORT = 16
  PIN_REPLICA = 17
  PROBE = 18
  PROBE_ACK = 19
  INDIRECT_PROBE = 20
  FORWARD = 21
  HANDOVER_BATCH = 22
  HANDOVER_ACK = 23
  CONFIG_PULL = 24
  CONFIG_CHUNK = 25
}

struct Header {
  1: required i32 version
  2: required i32 kind
  /* Zero or absent from callers and upstreams. */
  3: i64 instance
  /* Id of the current run of the sending process. */
  4: i64 boot
}

struct Endpoint {
  1: required i32 address
  2: required i16 port
}

/* Between callers and instances. */

enum Outcome {
  ANSWERED = 0
  /* Rejected before execution. */
  REFUSED_NOT_RUN = 1
  UNKNOWN = 2
}

struct Request {
  1: required i64 flow
  2: required i32 serviceId
  3: required i64 id
  4: i32 attempt
  5: bool idempotent
  6: required i64 deadline
  7: binary payload
  /* Time since the first transmission; 0 in a retransmission means unknown. */
  8: i64 age
}

struct Reply {
  1: required i64 flow
  2: required i64 id
  3: required i32 result /* Outcome */
  4: i64 retryAfter
  5: binary payload
}

struct Cancel {
  1: required i64 flow
  2: required i32 serviceId
  3: required i64 id
}

struct CloseFlow {
  1: required i64 flow
  2: required i32 serviceId
}

/* Between instances: the data path. */

/* A packet of a caller, relayed to the home instance of its flow. Exactly one
 * of request, cancel and closeFlow is set. */
struct Relay {
  1: required Endpoint caller
  2: required i32 hops
  3: optional Request request
  4: optional Cancel cancel
  5: optional CloseFlow closeFlow
}

/* A request that a home instance sends to the owner instance of an upstream, to
 * be run there. */
struct Submit {
  1: required i64 id
  2: required i32 serviceId
  3: required i64 upstream
  4: required i64 flow
  5: required i64 request
  6: bool idempotent
  7: bool mayRedirect
  8: required i64 deadline
  9: binary payload
}

enum SubmitStatus {
  ANSWERED = 0
  NOT_RUN = 1
  UNKNOWN = 2
  REDIRECT = 3
  NOT_OWNER = 4
}

struct SubmitResult {
  1: required i64 id
  2: required i32 status /* SubmitStatus */
  3: i64 redirect
  /* The upstream is draining. */
  4: bool upstreamLeaving
  5: i64 retryAfter
  6: binary payload
  7: bool upstreamEjected
}

struct CancelSubmit {
  1: required i64 id
}

struct ReleaseFlow {
  1: required i64 upstream
  2: required i64 flow
}

/* Between owner instances and upstreams. */

struct Dispatch {
  1: required i64 connection
  2: required i64 id
  3: required i32 serviceId
  4: required i64 flow
  5: required i64 request
  6: bool idempotent
  7: required i64 deadline
  8: binary payload
}

enum DispatchStatus {
  DONE = 0
  SHED = 1
  DRAINING = 2
  EXPIRED = 3
  CANCELLED = 4
}

struct DispatchResult {
  1: required i64 connection
  2: required i64 id
  3: required i32 status /* DispatchStatus */
  4: binary payload
}

struct CancelDispatch {
  1: required i64 connection
  2: required i64 id
}

struct Ping {
  1: required i64 connection
}

struct Pong {
  1: required i64 connection
}

struct CloseConnection {
  1: required i64 connection
}

/* Between instances: load and pins. */

struct UpstreamLoad {
  1: required i64 upstream
  2: i32 flows
  3: i32 busy
  4: i32 queued
  5: i32 weightPercent
  6: bool ejected
  7: bool leaving
  8: i32 requestRate
}

struct LoadReport {
  1: required list<UpstreamLoad> loads
}

struct Pin {
  1: required i64 flow
  2: required i32 serviceId
  3: required i64 upstream
  4: bool removed
}

struct PinReplica {
  1: required list<Pin> pins
}

/* Between instances: membership. */

/* Orders the updates about a member: by bootTime, within a boot by counter. */
struct Incarnation {
  1: required i64 bootTime
  2: required i64 boot
  3: required i32 counter
}

enum MemberState {
  JOINING = 0
  ACTIVE = 1
  LEAVING = 2
  SUSPECT = 3
  DEAD = 4
  LEFT = 5
}

struct MemberUpdate {
  1: required string name
  2: required string zone
  3: required Endpoint address
  4: required i32 state /* MemberState */
  /* The incarnation of the member that this update describes. */
  5: required Incarnation known
}

struct Probe {
  1: required i64 sequence
  /* Version of the configuration. */
  2: i64 version
  3: list<MemberUpdate> updates
  /* Requests a page of the receiver's member table, after the instance
   * syncAfter. */
  4: bool sync
  5: i64 syncAfter
}

struct ProbeAck {
  1: required i64 sequence
  /* Version of the configuration. */
  2: i64 version
  3: list<MemberUpdate> updates
  /* Last instance of the requested page; zero if it is the last page. */
  4: i64 syncedTo
}

struct IndirectProbe {
  1: required i64 sequence
  2: required i64 target
}

/* A datagram that another instance forwards to the target because its sender
 * cannot reach the target directly. encoded is a whole datagram and not a
 * Forward. */
struct Forward {
  1: required i64 target
  2: required binary encoded
}

/* Between instances: handover. */

enum RequestPhase {
  IN_PROGRESS = 0
  FINISHED = 1
}

struct RequestRecordCopy {
  1: required i64 flow
  2: required i64 id
  3: bool idempotent
  4: required i32 phase /* RequestPhase */
  5: required i32 result /* Outcome */
  6: i64 retryAfter
  7: i64 age
  8: binary payload
  9: required i32 serviceId
  /* The instance that runs the request or still has the reply; zero unless it
   * is in progress. */
  10: i64 holder
}

struct UpstreamCopy {
  1: required i64 upstream
  2: i32 inProgress
  3: i32 flows
  /* 0 if not draining, else milliseconds since the drain began plus 1. */
  4: i32 draining
}

struct BucketCopy {
  1: required i32 bucket
  /* Time since the request records of the bucket became complete. */
  2: required i64 completeFor
}

struct HandoverBatch {
  1: required i64 sequence
  2: bool isFinal
  3: list<BucketCopy> buckets
  4: list<Pin> pins
  5: list<RequestRecordCopy> requests
  6: list<UpstreamCopy> upstreams
}

struct HandoverAck {
  1: required i64 sequence
}

/* Between instances: configuration. */

struct ConfigPull {
  /* Current version of the sender. */
  1: required i64 have
  /* The version to fetch; 0 lets the peer choose. */
  2: i64 want
  3: i32 offset
}

struct ConfigChunk {
  1: required i64 version
  2: bool snapshot
  3: i32 offset
  4: i32 total
  5: binary bytes
}

/* Between instances over HTTP: the state of the store and of the peers. */

/* An item of the store as a peer sends it. */
struct PeerItem {
  1: string key
  2: binary value
  3: i64 revision
  4: i64 createdRevision
  5: bool deleted
}

struct PeerEntry {
  1: i32 address
  2: i32 port
  3: string zone
  /* Time since the instance was last heard from. */
  4: i64 age
  5: i32 linkMbps
}

struct PeerItems {
  1: list<PeerItem> items
}

/* The content that a configuration version had before a restoration of the
   store. */
struct LostConfiguration {
  1: required i64 version
  /* Hash of the item's value. */
  2: required i64 contentHash
}

struct PeerState {
  1: i64 revision
  2: i64 age
  3: bool complete
  /* PeerItems in the compact protocol, compressed by zlib; empty for none. */
  4: binary packedItems
  /* Size of packedItems before compression, in bytes. */
  5: i32 unpackedBytes
  6: list<PeerEntry> peers
  /* Rises each time the store is restored from an older copy. */
  7: i64 era
  /* Items that stay in force although the restored store has older ones, in
     the form of packedItems. */
  8: binary packedRetainedItems
  9: i32 unpackedRetainedBytes
  /* What is known of the version that the sender of the request asked for. */
  10: list<LostConfiguration> lost
}

/* Between instances of a zone, on the report address: one datagram without a
 * Header. Ages replace times, since the clocks of instances differ. */

struct ReportedEvidence {
  1: required i64 upstream
  /* Start of the upstream's process in Unix milliseconds; 0 if unknown. */
  2: i64 startedAtMs
  /* Time since the evidence was found. */
  3: required i64 age
  /* Whether a connection check found that the upstream has stopped. */
  4: bool hasStopped = false
}

struct ReportedFlow {
  1: required Endpoint client
  2: required Endpoint serviceAddress
}

struct ReportedPlacement {
  1: required ReportedFlow flow
  2: required i64 upstream
  /* A sequence number that the client of the flow has used. */
  3: required i32 sequence
}

struct PeerReport {
  1: required i32 version
  /* Peer address of the sender. */
  2: required Endpoint sender
  3: required string zone
  4: required i64 sequence
  5: list<ReportedEvidence> evidence
  /* 6 was used by an earlier version. */
  7: list<ReportedPlacement> placements
  8: list<ReportedFlow> queries
}
