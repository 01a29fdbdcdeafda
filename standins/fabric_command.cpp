#include <map>
#include <memory>

#include "command_line.h"
#include "http_client.h"
#include "random_source.h"
#include "timer_loop.h"
#include "udp_socket.h"

namespace indigopoint::standin {

namespace {

using Json = nlohmann::json;

/// Faults that the fabric applies to datagrams in both directions.
struct FabricFaults {
  double Loss = 0;
  double Duplication = 0;
  Duration MaxDelay{};
};

/// Forwards each datagram of a caller to a random instance. One socket per
/// caller endpoint sends to the instances and receives their replies.
class Fabric {
public:
  Fabric(TimerLoop &Loop, FabricFaults Faults, uint64_t Seed)
      : Loop(Loop), Faults(Faults), Random(Seed),
        CallerSocket(Loop, [this](Endpoint From, std::string_view Bytes) {
          onCallerDatagram(From, Bytes);
        }) {}

  Endpoint address() const { return CallerSocket.address(); }
  void setInstances(const Json &List);

private:
  void onCallerDatagram(Endpoint Caller, std::string_view Bytes);
  UdpSocket &instanceSocketOf(Endpoint Caller);
  void pass(const UdpSocket &Socket, Endpoint To, std::string_view Bytes);
  void forwardOnce(const UdpSocket &Socket, Endpoint To,
                   std::string_view Bytes);

  TimerLoop &Loop;
  FabricFaults Faults;
  RandomSource Random;
  std::vector<Endpoint> Instances;
  std::map<Endpoint, std::unique_ptr<UdpSocket>> InstanceSockets;
  UdpSocket CallerSocket;
};

// Leaving instances get datagrams only if all instances are leaving.
void Fabric::setInstances(const Json &List) {
  std::vector<Endpoint> ActiveInstances;
  std::vector<Endpoint> All;
  for (const Json &Entry : List) {
    Endpoint Address;
    if (!parseEndpoint(Entry.at("address").get<std::string>(), Address))
      continue;
    All.push_back(Address);
    if (!Entry.at("leaving").get<bool>())
      ActiveInstances.push_back(Address);
  }
  Instances = ActiveInstances.empty() ? All : ActiveInstances;
}

void Fabric::onCallerDatagram(Endpoint Caller, std::string_view Bytes) {
  if (!Instances.empty())
    pass(instanceSocketOf(Caller), Instances[Random.below(Instances.size())],
         Bytes);
}

UdpSocket &Fabric::instanceSocketOf(Endpoint Caller) {
  std::unique_ptr<UdpSocket> &Socket = InstanceSockets[Caller];
  if (!Socket)
    Socket = std::make_unique<UdpSocket>(
        Loop, [this, Caller](Endpoint, std::string_view Bytes) {
          pass(CallerSocket, Caller, Bytes);
        });
  return *Socket;
}

void Fabric::pass(const UdpSocket &Socket, Endpoint To,
                  std::string_view Bytes) {
  if (Random.fraction() < Faults.Loss)
    return;
  forwardOnce(Socket, To, Bytes);
  if (Random.fraction() < Faults.Duplication)
    forwardOnce(Socket, To, Bytes);
}

void Fabric::forwardOnce(const UdpSocket &Socket, Endpoint To,
                         std::string_view Bytes) {
  if (Faults.MaxDelay.count() == 0) {
    Socket.send(To, Bytes);
    return;
  }
  // Each datagram gets a separate random delay, which also reorders datagrams.
  const Duration Delay(
      Random.below(static_cast<uint64_t>(Faults.MaxDelay.count()) + 1));
  Loop.after(Delay, [&Socket, To, Copy = std::string(Bytes)] {
    Socket.send(To, Copy);
  });
}

void pollInstances(HttpClient &Http, Endpoint Platform, Fabric &TargetFabric) {
  HttpCall Call;
  Call.To = Platform;
  Call.Target = "/v1/instances";
  Http.call(Call, [&TargetFabric](const HttpResult &Result) {
    const Json Answer = Json::parse(Result.Body, nullptr, false);
    if (Result.Status == 200 && Answer.is_object() &&
        Answer.contains("instances"))
      TargetFabric.setInstances(Answer["instances"]);
  });
}

} // namespace

int runFabric(Arguments Args) {
  TCLAP::CmdLine Line("Distributes callers' datagrams over instances", ' ',
                      "1");
  CommonOptions Common(Line);
  TCLAP::ValueArg<std::string> PlatformAddress("", "platform",
                                               "HTTP address of the platform",
                                               true, "", "IP:PORT", Line);
  TCLAP::ValueArg<uint64_t> PollMs("", "poll-ms",
                                   "Interval of reading the instance list",
                                   false, 100, "MS", Line);
  TCLAP::ValueArg<double> Loss("", "loss", "Share of datagrams lost", false, 0,
                               "FRACTION", Line);
  TCLAP::ValueArg<double> Duplication("", "duplication",
                                      "Share of datagrams sent twice", false, 0,
                                      "FRACTION", Line);
  TCLAP::ValueArg<uint64_t> DelayMs("", "max-delay-ms",
                                    "Upper bound of the random delay", false, 0,
                                    "MS", Line);
  Line.parse(Args);

  TimerLoop Loop;
  Fabric TargetFabric(Loop,
                      {Loss.getValue(), Duplication.getValue(),
                       std::chrono::milliseconds(DelayMs.getValue())},
                      Common.seed());
  const Endpoint Platform = endpointOption(PlatformAddress);
  HttpClient Http(Loop.eventLoop());
  pollInstances(Http, Platform, TargetFabric);
  Loop.every(std::chrono::milliseconds(PollMs.getValue()),
             [&] { pollInstances(Http, Platform, TargetFabric); });
  Common.limitRunTime(Loop);
  Common.writeReadyFile({{"address", toString(TargetFabric.address())}});
  Loop.run();
  return 0;
}

} // namespace indigopoint::standin
