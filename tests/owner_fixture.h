#pragma once

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "blackboard.h"
#include "manual_clock.h"
#include "peer_link.h"
#include "upstream_controller.h"

namespace indigopoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests a single upstream controller with one home instance, which submits
/// requests, and one owner instance of sibling upstreams. Only the test
/// advances the clock.
class OwnerTest : public ::testing::Test {
protected:
  OwnerTest()
      : Board(settings(), TimeSource, 1), Peers(Board),
        Owner(std::make_unique<UpstreamController>(Board, Peers)) {
    Board.Self.State = MemberState::Active;
    Board.RegionZones = {"lim-a"};
    addMember("home", 7001);
    addMember("sibling", 7002);
    Service.Id = ServiceId(1);
    Service.Name = "chat-core";
    Service.DrainGrace = std::chrono::seconds(3);
    Service.Tenant = "andina";
  }

  static EngineSettings settings() {
    EngineSettings Settings;
    Settings.Name = "owner";
    Settings.Zone = "lim-a";
    Settings.Region = "lim";
    Settings.Boot = BootId(11);
    return Settings;
  }

  void addMember(const std::string &Name, uint16_t Port) {
    Member NewMember;
    NewMember.Id = instanceIdOf(Name);
    NewMember.Name = Name;
    NewMember.Address = Endpoint{1, Port};
    Board.Members.ById[NewMember.Id] = NewMember;
  }

  UpstreamId addUpstream(const std::string &Name, bool IsOwned = true) {
    UpstreamConfig Upstream;
    Upstream.Id = upstreamIdOf("chat-core", Name);
    Upstream.Name = Name;
    Upstream.Zone = "lim-a";
    Upstream.Address = {2, static_cast<uint16_t>(8000 + UpstreamCount++)};
    Service.Upstreams.push_back(Upstream);
    Board.CurrentOwnership.setOwner(
        Upstream.Id, IsOwned ? Board.Self.Id : instanceIdOf("sibling"));
    return Upstream.Id;
  }

  UpstreamConfig &configOf(UpstreamId Id) {
    for (UpstreamConfig &Upstream : Service.Upstreams)
      if (Upstream.Id == Id)
        return Upstream;
    ADD_FAILURE() << "no such upstream";
    return Service.Upstreams.front();
  }

  /// Makes Service part of the next configuration version and applies it.
  void configure() {
    Board.Config.Version = ConfigVersion(Board.Config.Version.value() + 1);
    Board.Config.Services.clear();
    Board.Config.Services[Service.Id] = Service;
    Board.Index = ConfigIndex(Board.Config);
    ActionSink Sink;
    Owner->onPlacementChanged(Sink);
    collect(Sink);
  }

  static Sender home() { return {instanceIdOf("home"), BootId(5)}; }

  Submit submission(uint64_t Id, UpstreamId Upstream, uint64_t Flow,
                    Duration Deadline = seconds(2)) const {
    Submit NewSubmit;
    NewSubmit.Id = SubmitId(Id);
    NewSubmit.Service = Service.Id;
    NewSubmit.Upstream = Upstream;
    NewSubmit.Flow = FlowKey(Flow);
    NewSubmit.Request = RequestId(Id);
    NewSubmit.Deadline = Deadline;
    return NewSubmit;
  }

  void submit(Submit NewSubmit) {
    ActionSink Sink;
    Owner->onSubmit(home(), std::move(NewSubmit), Sink);
    collect(Sink);
  }

  /// Answers a dispatch from the address of its upstream.
  void answer(const Dispatch &Request, UpstreamId Upstream,
              DispatchStatus Status = DispatchStatus::Done,
              const std::string &Payload = "") {
    ActionSink Sink;
    Owner->onDispatchResult(configOf(Upstream).Address,
                            {Request.Connection, Request.Id, Status, Payload},
                            Sink);
    collect(Sink);
  }

  void cancel(uint64_t Id) {
    ActionSink Sink;
    Owner->onCancelSubmit(home(), {SubmitId(Id)}, Sink);
    collect(Sink);
  }

  void receiveLoad(UpstreamLoad Load) {
    Owner->onLoadReport({instanceIdOf("sibling"), BootId(6)}, {{Load}});
  }

  void receiveLoad(UpstreamId Id, uint32_t Flows) {
    UpstreamLoad Load;
    Load.Upstream = Id;
    Load.Flows = Flows;
    receiveLoad(Load);
  }

  void observeHealth(UpstreamId Id, HealthStatus Status) {
    ActionSink Sink;
    Owner->onHealthObserved({Id, Status}, Sink);
    collect(Sink);
  }

  /// Advances the virtual time by a length and runs the ticks due in it.
  void pass(Duration Length) {
    const TimePoint End = TimeSource.Now + Length;
    while (TimeSource.Now < End) {
      TimeSource.Now += TickInterval;
      ActionSink Sink;
      Owner->onTick(Sink);
      collect(Sink);
    }
  }

  /// Removes and returns the sent messages of one type.
  template <typename Type> std::vector<Type> takeSent() {
    std::vector<Type> Matching;
    std::vector<SendDatagram> OtherDatagrams;
    for (SendDatagram &Datagram : SentDatagrams)
      if (auto *Body = std::get_if<Type>(&Datagram.Body))
        Matching.push_back(std::move(*Body));
      else
        OtherDatagrams.push_back(std::move(Datagram));
    SentDatagrams = std::move(OtherDatagrams);
    return Matching;
  }

  /// Removes and returns the only sent message of one type; fails if there is
  /// not exactly one.
  template <typename Type> Type takeOneSent() {
    const std::vector<Type> Matching = takeSent<Type>();
    EXPECT_EQ(Matching.size(), 1U);
    return Matching.empty() ? Type() : Matching.front();
  }

  /// Submits a request of a new flow and answers it.
  void serve(uint64_t Id, UpstreamId Upstream, uint64_t Flow,
             Duration ServiceTime = milliseconds(10)) {
    submit(submission(Id, Upstream, Flow));
    const Dispatch Request = takeOneSent<Dispatch>();
    pass(ServiceTime);
    answer(Request, Upstream);
    takeSent<SubmitResult>();
  }

  /// Submits \p Count requests and lets each of them time out.
  void timeOutRequests(UpstreamId Upstream, uint64_t FirstId, int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      submit(submission(FirstId + static_cast<uint64_t>(Index), Upstream,
                        FirstId + static_cast<uint64_t>(Index),
                        milliseconds(50)));
      pass(milliseconds(200));
    }
    SentDatagrams.clear();
  }

  void collect(ActionSink &Sink) {
    for (Action &Produced : Sink.Actions)
      if (auto *Datagram = std::get_if<SendDatagram>(&Produced))
        SentDatagrams.push_back(std::move(*Datagram));
  }

  ManualClock TimeSource;
  Blackboard Board;
  PeerLink Peers;
  std::unique_ptr<UpstreamController> Owner;
  ServiceConfig Service;
  std::vector<SendDatagram> SentDatagrams;
  int UpstreamCount = 0;
};

} // namespace indigopoint
