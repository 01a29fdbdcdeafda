#pragma once

#include "gen/protocol_types.h"
#include "messages.h"

namespace indigopoint {

// Maps the fields of each message to the fields of its struct in
// protocol.thrift. One list per struct serves encoding and decoding: \p Map is
// called with each pair of fields and copies in its direction.

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Endpoint &Wire) {
  Map(Value.Address, Wire.address);
  Map(Value.Port, Wire.port);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Request &Wire) {
  Map(Value.Flow, Wire.flow);
  Map(Value.Service, Wire.serviceId);
  Map(Value.Id, Wire.id);
  Map(Value.Attempt, Wire.attempt);
  Map(Value.Idempotent, Wire.idempotent);
  Map(Value.Deadline, Wire.deadline);
  Map(Value.Payload, Wire.payload);
  Map(Value.Age, Wire.age);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Reply &Wire) {
  Map(Value.Flow, Wire.flow);
  Map(Value.Id, Wire.id);
  Map(Value.Result, Wire.result);
  Map(Value.RetryAfter, Wire.retryAfter);
  Map(Value.Payload, Wire.payload);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Cancel &Wire) {
  Map(Value.Flow, Wire.flow);
  Map(Value.Service, Wire.serviceId);
  Map(Value.Id, Wire.id);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::CloseFlow &Wire) {
  Map(Value.Flow, Wire.flow);
  Map(Value.Service, Wire.serviceId);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Relay &Wire) {
  Map(Value.Caller, Wire.caller);
  Map(Value.Hops, Wire.hops);
  Map.copyCallerPacket(Value.Packet, Wire);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Submit &Wire) {
  Map(Value.Id, Wire.id);
  Map(Value.Service, Wire.serviceId);
  Map(Value.Upstream, Wire.upstream);
  Map(Value.Flow, Wire.flow);
  Map(Value.Request, Wire.request);
  Map(Value.Idempotent, Wire.idempotent);
  Map(Value.MayRedirect, Wire.mayRedirect);
  Map(Value.Deadline, Wire.deadline);
  Map(Value.Payload, Wire.payload);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::SubmitResult &Wire) {
  Map(Value.Id, Wire.id);
  Map(Value.Status, Wire.status);
  Map(Value.Redirect, Wire.redirect);
  Map(Value.UpstreamDraining, Wire.upstreamLeaving);
  Map(Value.RetryAfter, Wire.retryAfter);
  Map(Value.Payload, Wire.payload);
  Map(Value.UpstreamEjected, Wire.upstreamEjected);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::CancelSubmit &Wire) {
  Map(Value.Id, Wire.id);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::ReleaseFlow &Wire) {
  Map(Value.Upstream, Wire.upstream);
  Map(Value.Flow, Wire.flow);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Dispatch &Wire) {
  Map(Value.Connection, Wire.connection);
  Map(Value.Id, Wire.id);
  Map(Value.Service, Wire.serviceId);
  Map(Value.Flow, Wire.flow);
  Map(Value.Request, Wire.request);
  Map(Value.Idempotent, Wire.idempotent);
  Map(Value.Deadline, Wire.deadline);
  Map(Value.Payload, Wire.payload);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::DispatchResult &Wire) {
  Map(Value.Connection, Wire.connection);
  Map(Value.Id, Wire.id);
  Map(Value.Status, Wire.status);
  Map(Value.Payload, Wire.payload);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::CancelDispatch &Wire) {
  Map(Value.Connection, Wire.connection);
  Map(Value.Id, Wire.id);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Ping &Wire) {
  Map(Value.Connection, Wire.connection);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Pong &Wire) {
  Map(Value.Connection, Wire.connection);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::CloseConnection &Wire) {
  Map(Value.Connection, Wire.connection);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::UpstreamLoad &Wire) {
  Map(Value.Upstream, Wire.upstream);
  Map(Value.Flows, Wire.flows);
  Map(Value.Busy, Wire.busy);
  Map(Value.Queued, Wire.queued);
  Map(Value.WeightPercent, Wire.weightPercent);
  Map(Value.Ejected, Wire.ejected);
  Map(Value.Draining, Wire.leaving);
  Map(Value.RequestRate, Wire.requestRate);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::LoadReport &Wire) {
  Map(Value.Loads, Wire.loads);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Pin &Wire) {
  Map(Value.Flow, Wire.flow);
  Map(Value.Service, Wire.serviceId);
  Map(Value.Upstream, Wire.upstream);
  Map(Value.Removed, Wire.removed);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::PinReplica &Wire) {
  Map(Value.Pins, Wire.pins);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Incarnation &Wire) {
  Map(Value.BootTime, Wire.bootTime);
  Map(Value.Boot, Wire.boot);
  Map(Value.Counter, Wire.counter);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::MemberUpdate &Wire) {
  Map(Value.Name, Wire.name);
  Map(Value.Zone, Wire.zone);
  Map(Value.Address, Wire.address);
  Map(Value.State, Wire.state);
  Map(Value.MemberIncarnation, Wire.known);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Probe &Wire) {
  Map(Value.Sequence, Wire.sequence);
  Map(Value.Version, Wire.version);
  Map(Value.Updates, Wire.updates);
  Map(Value.Sync, Wire.sync);
  Map(Value.SyncAfter, Wire.syncAfter);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::ProbeAck &Wire) {
  Map(Value.Sequence, Wire.sequence);
  Map(Value.Version, Wire.version);
  Map(Value.Updates, Wire.updates);
  Map(Value.SyncedTo, Wire.syncedTo);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::IndirectProbe &Wire) {
  Map(Value.Sequence, Wire.sequence);
  Map(Value.Target, Wire.target);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::Forward &Wire) {
  Map(Value.Target, Wire.target);
  Map.copyForwarded(Value, Wire.encoded);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::RequestRecordCopy &Wire) {
  Map(Value.Flow, Wire.flow);
  Map(Value.Id, Wire.id);
  Map(Value.Idempotent, Wire.idempotent);
  Map(Value.Phase, Wire.phase);
  Map(Value.Result, Wire.result);
  Map(Value.RetryAfter, Wire.retryAfter);
  Map(Value.Age, Wire.age);
  Map(Value.Payload, Wire.payload);
  Map(Value.Service, Wire.serviceId);
  Map(Value.Holder, Wire.holder);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::UpstreamCopy &Wire) {
  Map(Value.Upstream, Wire.upstream);
  Map(Value.InProgress, Wire.inProgress);
  Map(Value.Flows, Wire.flows);
  Map(Value.DrainingCode, Wire.draining);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::BucketCopy &Wire) {
  Map.copyBucket(Value.Bucket, Wire.bucket);
  Map(Value.CompleteFor, Wire.completeFor);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::HandoverBatch &Wire) {
  Map(Value.Sequence, Wire.sequence);
  Map(Value.Final, Wire.isFinal);
  Map(Value.Buckets, Wire.buckets);
  Map(Value.Pins, Wire.pins);
  Map(Value.Requests, Wire.requests);
  Map(Value.Upstreams, Wire.upstreams);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::HandoverAck &Wire) {
  Map(Value.Sequence, Wire.sequence);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::ConfigPull &Wire) {
  Map(Value.CurrentVersion, Wire.have);
  Map(Value.RequestedVersion, Wire.want);
  Map(Value.Offset, Wire.offset);
}

template <typename Mapper, typename T>
void mapFields(Mapper &Map, T &Value, wire::ConfigChunk &Wire) {
  Map(Value.Version, Wire.version);
  Map(Value.Snapshot, Wire.snapshot);
  Map(Value.Offset, Wire.offset);
  Map(Value.Total, Wire.total);
  Map(Value.Bytes, Wire.bytes);
}

} // namespace indigopoint
