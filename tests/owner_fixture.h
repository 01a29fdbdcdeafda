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

/// An upstream controller alone, with one home instance that submits and one
/// sibling owner. Time passes only by the calls of the test.
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
    Member Other;
    Other.Id = instanceIdOf(Name);
    Other.Name = Name;
    Other.Address = Endpoint{1, Port};
    Board.Members.ById[Other.Id] = Other;
  }

  UpstreamId addUpstream(const std::string &Name, bool Own = true) {
    UpstreamConfig Upstream;
    Upstream.Id = upstreamIdOf("chat-core", Name);
    Upstream.Name = Name;
    Upstream.Zone = "lim-a";
    Upstream.Address = {2, static_cast<uint16_t>(8000 + Added++)};
    Service.Upstreams.push_back(Upstream);
    Board.CurrentOwnership.setOwner(Upstream.Id, Own ? Board.Self.Id
                                                     : instanceIdOf("sibling"));
    return Upstream.Id;
  }

  UpstreamConfig &configOf(UpstreamId Id) {
    for (UpstreamConfig &Each : Service.Upstreams)
      if (Each.Id == Id)
        return Each;
    ADD_FAILURE() << "no such upstream";
    return Service.Upstreams.front();
  }

  /// Puts Service in force as the next version.
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

  Submit submission(uint64_t Id, UpstreamId To, uint64_t Flow,
                    Duration Deadline = seconds(2)) const {
    Submit Body;
    Body.Id = SubmitId(Id);
    Body.Service = Service.Id;
    Body.Upstream = To;
    Body.Flow = FlowKey(Flow);
    Body.Request = RequestId(Id);
    Body.Deadline = Deadline;
    return Body;
  }

  void submit(Submit Body) {
    ActionSink Sink;
    Owner->onSubmit(home(), std::move(Body), Sink);
    collect(Sink);
  }

  /// Answers a dispatch from the address of its upstream.
  void answer(const Dispatch &Sent, UpstreamId By,
              DispatchStatus Status = DispatchStatus::Done,
              const std::string &Payload = "") {
    ActionSink Sink;
    Owner->onDispatchResult(configOf(By).Address,
                            {Sent.Connection, Sent.Id, Status, Payload}, Sink);
    collect(Sink);
  }

  void cancel(uint64_t Id) {
    ActionSink Sink;
    Owner->onCancelSubmit(home(), {SubmitId(Id)}, Sink);
    collect(Sink);
  }

  void report(UpstreamLoad Load) {
    Owner->onLoadReport({instanceIdOf("sibling"), BootId(6)}, {{Load}});
  }

  void report(UpstreamId Id, uint32_t Flows) {
    UpstreamLoad Load;
    Load.Upstream = Id;
    Load.Flows = Flows;
    report(Load);
  }

  void hint(UpstreamId Id, HealthStatus Hint) {
    ActionSink Sink;
    Owner->onHealthObserved({Id, Hint}, Sink);
    collect(Sink);
  }

  /// Lets time pass in ticks.
  void pass(Duration Length) {
    const TimePoint End = TimeSource.Now + Length;
    while (TimeSource.Now < End) {
      TimeSource.Now += TickInterval;
      ActionSink Sink;
      Owner->onTick(Sink);
      collect(Sink);
    }
  }

  /// The messages of one type sent since the last call.
  template <typename Type> std::vector<Type> take() {
    std::vector<Type> Found;
    std::vector<SendDatagram> Rest;
    for (SendDatagram &Each : Sent)
      if (auto *Body = std::get_if<Type>(&Each.Body))
        Found.push_back(std::move(*Body));
      else
        Rest.push_back(std::move(Each));
    Sent = std::move(Rest);
    return Found;
  }

  /// The single message of one type sent since the last call.
  template <typename Type> Type takeOne() {
    const std::vector<Type> Found = take<Type>();
    EXPECT_EQ(Found.size(), 1U);
    return Found.empty() ? Type() : Found.front();
  }

  /// Submits a request of a new flow and answers it.
  void serve(uint64_t Id, UpstreamId By, uint64_t Flow,
             Duration Taken = milliseconds(10)) {
    submit(submission(Id, By, Flow));
    const Dispatch Sent = takeOne<Dispatch>();
    pass(Taken);
    answer(Sent, By);
    take<SubmitResult>();
  }

  /// Lets requests time out one by one until the upstream was ejected.
  void fail(UpstreamId By, uint64_t FirstId, int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      submit(submission(FirstId + static_cast<uint64_t>(Index), By,
                        FirstId + static_cast<uint64_t>(Index),
                        milliseconds(50)));
      pass(milliseconds(200));
    }
    Sent.clear();
  }

  void collect(ActionSink &Sink) {
    for (Action &Each : Sink.Actions)
      if (auto *Out = std::get_if<SendDatagram>(&Each))
        Sent.push_back(std::move(*Out));
  }

  ManualClock TimeSource;
  Blackboard Board;
  PeerLink Peers;
  std::unique_ptr<UpstreamController> Owner;
  ServiceConfig Service;
  std::vector<SendDatagram> Sent;
  int Added = 0;
};

} // namespace indigopoint
