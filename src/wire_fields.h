#pragma once

#include "gen/protocol_types.h"
#include "messages.h"

namespace indigopoint {

// Which field of a message is which field of its struct in protocol.thrift.
// One list per struct serves both directions: \p M is called with each pair
// and copies one way or the other.

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Endpoint &B) {
  M(A.Address, B.address);
  M(A.Port, B.port);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Request &B) {
  M(A.Flow, B.flow);
  M(A.Service, B.serviceId);
  M(A.Id, B.id);
  M(A.Attempt, B.attempt);
  M(A.Idempotent, B.idempotent);
  M(A.Deadline, B.deadline);
  M(A.Payload, B.payload);
  M(A.Age, B.age);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Reply &B) {
  M(A.Flow, B.flow);
  M(A.Id, B.id);
  M(A.Result, B.result);
  M(A.RetryAfter, B.retryAfter);
  M(A.Payload, B.payload);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Cancel &B) {
  M(A.Flow, B.flow);
  M(A.Service, B.serviceId);
  M(A.Id, B.id);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::CloseFlow &B) {
  M(A.Flow, B.flow);
  M(A.Service, B.serviceId);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Relay &B) {
  M(A.Caller, B.caller);
  M(A.Hops, B.hops);
  M.callerPacket(A.Packet, B);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Submit &B) {
  M(A.Id, B.id);
  M(A.Service, B.serviceId);
  M(A.Upstream, B.upstream);
  M(A.Flow, B.flow);
  M(A.Request, B.request);
  M(A.Idempotent, B.idempotent);
  M(A.MayRedirect, B.mayRedirect);
  M(A.Deadline, B.deadline);
  M(A.Payload, B.payload);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::SubmitResult &B) {
  M(A.Id, B.id);
  M(A.Status, B.status);
  M(A.Redirect, B.redirect);
  M(A.UpstreamDraining, B.upstreamLeaving);
  M(A.RetryAfter, B.retryAfter);
  M(A.Payload, B.payload);
  M(A.UpstreamEjected, B.upstreamEjected);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::CancelSubmit &B) {
  M(A.Id, B.id);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::ReleaseFlow &B) {
  M(A.Upstream, B.upstream);
  M(A.Flow, B.flow);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Dispatch &B) {
  M(A.Connection, B.connection);
  M(A.Id, B.id);
  M(A.Service, B.serviceId);
  M(A.Flow, B.flow);
  M(A.Request, B.request);
  M(A.Idempotent, B.idempotent);
  M(A.Deadline, B.deadline);
  M(A.Payload, B.payload);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::DispatchResult &B) {
  M(A.Connection, B.connection);
  M(A.Id, B.id);
  M(A.Status, B.status);
  M(A.Payload, B.payload);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::CancelDispatch &B) {
  M(A.Connection, B.connection);
  M(A.Id, B.id);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Ping &B) {
  M(A.Connection, B.connection);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Pong &B) {
  M(A.Connection, B.connection);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::CloseConnection &B) {
  M(A.Connection, B.connection);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::UpstreamLoad &B) {
  M(A.Upstream, B.upstream);
  M(A.Flows, B.flows);
  M(A.Busy, B.busy);
  M(A.Queued, B.queued);
  M(A.WeightPercent, B.weightPercent);
  M(A.Ejected, B.ejected);
  M(A.Draining, B.leaving);
  M(A.RequestRate, B.requestRate);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::LoadReport &B) {
  M(A.Loads, B.loads);
}

template <typename Map, typename T> void mapFields(Map &M, T &A, wire::Pin &B) {
  M(A.Flow, B.flow);
  M(A.Service, B.serviceId);
  M(A.Upstream, B.upstream);
  M(A.Removed, B.removed);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::PinReplica &B) {
  M(A.Pins, B.pins);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Incarnation &B) {
  M(A.BootTime, B.bootTime);
  M(A.Boot, B.boot);
  M(A.Counter, B.counter);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::MemberUpdate &B) {
  M(A.Name, B.name);
  M(A.Zone, B.zone);
  M(A.Address, B.address);
  M(A.State, B.state);
  M(A.MemberIncarnation, B.known);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Probe &B) {
  M(A.Sequence, B.sequence);
  M(A.Version, B.version);
  M(A.Updates, B.updates);
  M(A.Sync, B.sync);
  M(A.SyncAfter, B.syncAfter);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::ProbeAck &B) {
  M(A.Sequence, B.sequence);
  M(A.Version, B.version);
  M(A.Updates, B.updates);
  M(A.SyncedTo, B.syncedTo);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::IndirectProbe &B) {
  M(A.Sequence, B.sequence);
  M(A.Target, B.target);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::Forward &B) {
  M(A.Target, B.target);
  M.forwarded(A, B.encoded);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::RequestRecordCopy &B) {
  M(A.Flow, B.flow);
  M(A.Id, B.id);
  M(A.Idempotent, B.idempotent);
  M(A.Phase, B.phase);
  M(A.Result, B.result);
  M(A.RetryAfter, B.retryAfter);
  M(A.Age, B.age);
  M(A.Payload, B.payload);
  M(A.Service, B.serviceId);
  M(A.Holder, B.holder);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::UpstreamCopy &B) {
  M(A.Upstream, B.upstream);
  M(A.InProgress, B.inProgress);
  M(A.Flows, B.flows);
  M(A.DrainingCode, B.draining);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::BucketCopy &B) {
  M.bucket(A.Bucket, B.bucket);
  M(A.CompleteFor, B.completeFor);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::HandoverBatch &B) {
  M(A.Sequence, B.sequence);
  M(A.Final, B.isFinal);
  M(A.Buckets, B.buckets);
  M(A.Pins, B.pins);
  M(A.Requests, B.requests);
  M(A.Upstreams, B.upstreams);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::HandoverAck &B) {
  M(A.Sequence, B.sequence);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::ConfigPull &B) {
  M(A.CurrentVersion, B.have);
  M(A.RequestedVersion, B.want);
  M(A.Offset, B.offset);
}

template <typename Map, typename T>
void mapFields(Map &M, T &A, wire::ConfigChunk &B) {
  M(A.Version, B.version);
  M(A.Snapshot, B.snapshot);
  M(A.Offset, B.offset);
  M(A.Total, B.total);
  M(A.Bytes, B.bytes);
}

} // namespace indigopoint
