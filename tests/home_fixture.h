#pragma once

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "blackboard.h"
#include "flow_controller.h"
#include "manual_clock.h"
#include "peer_link.h"

namespace indigopoint {

/// A home instance by itself: the test acts as the owners, the callers and the
/// controllers that write the rest of the blackboard.
class TestHomeInstance {
public:
  static constexpr Duration Second = std::chrono::seconds(1);
  static constexpr Duration Milli = std::chrono::milliseconds(1);
  static constexpr ServiceId Chat = ServiceId(1);
  static constexpr ServiceId Media = ServiceId(2);
  const Endpoint Caller{0x7f000001, 9000};
  /// A flow whose home instance is lim-a-1 while all members are active.
  FlowKey Flow{42};

  explicit TestHomeInstance(const std::string &Name = "lim-a-1")
      : Board(EngineSettings{Name,
                             "lim-a",
                             "lim",
                             {0x7f000001, 7000},
                             1,
                             BootId(11),
                             {},
                             "indigopoint/"},
              TimeSource, 1),
        Peers(Board), Controller(Board, Peers) {
    Board.Self.State = MemberState::Active;
    addMember("lim-a-1", 7000, 11);
    addMember("lim-b-1", 7001, 21);
    addMember("lim-b-2", 7002, 22);
    addMember("lim-a-2", 7003, 23);
    Board.Members.ById.erase(Board.Self.Id);
    Board.Config.Version = ConfigVersion(1);
    Board.Config.Zones = {{"lim-a", "lim"}, {"lim-b", "lim"}};
    Board.Config.Services[Chat] = service(Chat, "chat-core", 4);
    Board.Config.Services[Media] = service(Media, "media-shelf", 2);
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      Board.CurrentOwnership.setBucket(Bucket, {Board.Self.Id, TimePoint()});
    applyConfig();
    setOwners(instanceIdOf("lim-b-1"));
    while (Board.CurrentPlacement.home(bucketOf(Flow)) !=
           instanceIdOf("lim-a-1"))
      Flow = FlowKey(Flow.value() + 1);
  }

  void addMember(const std::string &Name, uint16_t Port, uint64_t Boot) {
    Member Peer;
    Peer.Id = instanceIdOf(Name);
    Peer.Name = Name;
    Peer.Zone = Name.substr(0, 5);
    Peer.Address = {0x7f000001, Port};
    Peer.State = MemberState::Active;
    Peer.MemberIncarnation = {1, BootId(Boot), 0};
    Board.Members.ById[Peer.Id] = Peer;
  }

  static ServiceConfig service(ServiceId Id, const std::string &Name,
                               int Count) {
    ServiceConfig Service;
    Service.Id = Id;
    Service.Name = Name;
    Service.DrainGrace = std::chrono::seconds(3);
    Service.Tenant = "andina";
    for (int Index = 0; Index < Count; ++Index) {
      UpstreamConfig Upstream;
      Upstream.Name = Name + std::to_string(Index);
      Upstream.Id = upstreamIdOf(Name, Upstream.Name);
      Upstream.Address = {
          0x7f000001, static_cast<uint16_t>(8000 + 100 * Id.value() + Index)};
      Upstream.Zone = Index % 2 == 0 ? "lim-a" : "lim-b";
      Service.Upstreams.push_back(Upstream);
    }
    return Service;
  }

  /// Applies the configuration and the members of Board.
  void applyConfig() {
    Board.Index = ConfigIndex(Board.Config);
    Board.RegionZones = zonesOfRegion(Board.Config, "lim");
    Board.CurrentPlacement.update(Board.Self, Board.Members, Board.RegionZones);
    Controller.onPlacementChanged(Sink);
  }

  void setOwners(InstanceId Owner) {
    for (const auto &[Id, Service] : Board.Config.Services)
      for (const UpstreamConfig &Upstream : Service.Upstreams)
        Board.CurrentOwnership.setOwner(Upstream.Id, Owner);
  }

  Request request(uint64_t Id, bool Idempotent = false) const {
    return {Flow, Chat, RequestId(Id), 0, Idempotent, 10 * Second, "ask"};
  }

  void sendRequest(Request NewRequest, uint32_t Hops = 0) {
    Controller.onPacket(Caller, std::move(NewRequest), Hops, Sink);
  }

  Sender sender(const std::string &Name) const {
    const InstanceId Id = instanceIdOf(Name);
    const Member *Peer = Board.Members.find(Id);
    return {Id, Peer == nullptr ? BootId() : Peer->MemberIncarnation.Boot};
  }

  void sendResult(SubmitResult Result, const std::string &From = "lim-b-1") {
    Controller.onSubmitResult(sender(From), std::move(Result), Sink);
  }

  static SubmitResult submitResult(SubmitId Id, SubmitStatus Status,
                                   std::string Payload = "") {
    SubmitResult Result;
    Result.Id = Id;
    Result.Status = Status;
    Result.Payload = std::move(Payload);
    return Result;
  }

  /// Removes all messages of one kind from the sink and returns them.
  template <typename Kind> std::vector<Kind> popMessages() {
    std::vector<Kind> Messages;
    std::vector<Action> OtherActions;
    for (Action &SentAction : Sink.Actions) {
      auto *Datagram = std::get_if<SendDatagram>(&SentAction);
      auto *Body =
          Datagram == nullptr ? nullptr : std::get_if<Kind>(&Datagram->Body);
      if (Body != nullptr)
        Messages.push_back(std::move(*Body));
      else
        OtherActions.push_back(std::move(SentAction));
    }
    Sink.Actions = std::move(OtherActions);
    return Messages;
  }

  /// Removes the only submission from the sink and returns it.
  Submit popSubmit() {
    const std::vector<Submit> Submits = popMessages<Submit>();
    EXPECT_EQ(Submits.size(), 1U);
    return Submits.empty() ? Submit() : Submits.front();
  }

  /// Removes the only reply from the sink and returns it.
  Reply popReply() {
    const std::vector<Reply> Replies = popMessages<Reply>();
    EXPECT_EQ(Replies.size(), 1U);
    return Replies.empty()
               ? Reply{FlowKey(), RequestId(), Outcome::Unknown, {}, ""}
               : Replies.front();
  }

  /// Sends a request and answers it; returns the upstream that received it.
  UpstreamId exchangeRequest(uint64_t Id) {
    sendRequest(request(Id));
    const Submit SentSubmit = popSubmit();
    sendResult(submitResult(SentSubmit.Id, SubmitStatus::Answered, "ok"));
    EXPECT_EQ(popReply().Result, Outcome::Answered);
    return SentSubmit.Upstream;
  }

  /// Advances the virtual time by a span and runs the ticks due in it.
  void pass(Duration Span) {
    for (Duration Step = 10 * Milli; Span > Duration(); Span -= Step) {
      TimeSource.Now += std::min(Span, Step);
      Controller.onTick(Sink);
    }
  }

  UpstreamConfig &upstream(UpstreamId Id) {
    for (UpstreamConfig &Upstream : Board.Config.Services[Chat].Upstreams)
      if (Upstream.Id == Id)
        return Upstream;
    ADD_FAILURE() << "no such upstream of chat-core";
    return Board.Config.Services[Chat].Upstreams.front();
  }

  void drain(UpstreamId Id) {
    upstream(Id).Draining = true;
    Board.Config.Version = ConfigVersion(Board.Config.Version.value() + 1);
    applyConfig();
  }

  /// Another upstream of chat-core than \p Id.
  UpstreamId sibling(UpstreamId Id) {
    for (const UpstreamConfig &Upstream : Board.Config.Services[Chat].Upstreams)
      if (Upstream.Id != Id)
        return Upstream.Id;
    return UpstreamId();
  }

  /// Makes the request records of all buckets complete for the last \p Span
  /// only.
  void setRecordsCompleteFor(Duration Span) {
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      Board.CurrentOwnership.setBucket(Bucket,
                                       {Board.Self.Id, TimeSource.Now - Span});
  }

  /// Makes the instance \p Name the home instance of all buckets.
  void setHomeOfAllBuckets(const std::string &Name) {
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      Board.CurrentOwnership.setBucket(Bucket,
                                       {instanceIdOf(Name), TimePoint()});
  }

  ServiceMetrics &chatMetrics() {
    return Board.EngineMetrics.Services["andina/chat-core"];
  }

  ManualClock TimeSource;
  ActionSink Sink;
  Blackboard Board;
  PeerLink Peers;
  FlowController Controller;
};

class HomeFixture : public testing::Test, public TestHomeInstance {};

} // namespace indigopoint
