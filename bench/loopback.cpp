#include "loopback.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <stdexcept>
#include <vector>

#include "server.h"
#include "steady_clock.h"
#include "test_bed.h"

namespace indigopoint {

namespace {

constexpr uint64_t Flows = 10'000;
constexpr size_t PayloadBytes = 200;

// Enough requests in flight to keep the tested thread busy, but few enough not
// to overflow socket buffers.
constexpr int ThroughputWindow = 256;

// A request without a reply for this long is counted as lost.
constexpr std::chrono::milliseconds LossTime(200);

struct Figures {
  uint64_t Lost = 0;
  double RequestsPerSecond = 0;
  /// CPU time of the tested thread per request (four datagrams pass it).
  double CpuMicroseconds = 0;
  double MedianUs = 0;
  double P99Us = 0;
};

// Keeps a fixed number of requests in flight to one address.
class ClosedLoop {
public:
  ClosedLoop(EventLoop &Loop, Endpoint Destination)
      : Loop(Loop), Destination(Destination) {
    if (Socket.open(Loop, AnyPort, [this](Endpoint, std::string_view Bytes) {
          onReply(Bytes);
        }))
      throw std::runtime_error("cannot open the caller's socket");
  }

  // Runs for the given time. Latencies and Lost cover this run only.
  void run(int Window, Duration Time) {
    PendingRequests.clear();
    Latencies.clear();
    Lost = 0;
    FirstId = NextId;
    const LoopEvent End = LoopEvent::after(Loop, Time, [this] { Loop.stop(); });
    const LoopEvent Replace = LoopEvent::every(
        Loop, std::chrono::milliseconds(20), [this] { replaceLost(); });
    for (int Index = 0; Index < Window; ++Index)
      sendNext();
    Socket.flush();
    Loop.run();
  }

  std::vector<double> Latencies;
  /// Requests without an answer and refused requests.
  uint64_t Lost = 0;

private:
  struct SentRequest {
    TimePoint SentAt;
    bool IsDone = false;
  };

  // Sends a new request for each lost one. Otherwise each lost datagram would
  // shrink the window permanently.
  void replaceLost() {
    const TimePoint Limit = TimeSource.now() - LossTime;
    while (!PendingRequests.empty() &&
           (PendingRequests.front().IsDone ||
            PendingRequests.front().SentAt < Limit)) {
      if (!PendingRequests.front().IsDone) {
        ++Lost;
        sendNext();
      }
      PendingRequests.pop_front();
      ++FirstId;
    }
    Socket.flush();
  }

  void sendNext() {
    Message Body = Request{FlowKey(NextId % Flows * 0x9e3779b97f4a7c15),
                           ServiceId(1),
                           RequestId(NextId),
                           0,
                           true,
                           std::chrono::seconds(2),
                           Payload};
    if (encodeDatagram({}, Body, Socket.nextBuffer()))
      return;
    Socket.commit(Destination);
    PendingRequests.push_back({TimeSource.now()});
    ++NextId;
  }

  void onReply(std::string_view Bytes) {
    Sender Origin;
    Message Body;
    if (decodeDatagram(Bytes, Origin, Body))
      return;
    const auto *Answer = std::get_if<Reply>(&Body);
    if (Answer == nullptr || Answer->Id.value() < FirstId)
      return;
    SentRequest &Pending = PendingRequests[Answer->Id.value() - FirstId];
    if (Pending.IsDone)
      return;
    Pending.IsDone = true;
    if (Answer->Result == Outcome::Answered)
      Latencies.push_back(
          static_cast<double>((TimeSource.now() - Pending.SentAt).count()));
    else
      ++Lost;
    sendNext();
  }

  EventLoop &Loop;
  Endpoint Destination;
  UdpEndpoint Socket{MaxDatagramBytes};
  SteadyClock TimeSource;
  const std::string Payload = std::string(PayloadBytes, 'x');
  std::deque<SentRequest> PendingRequests;
  uint64_t NextId = 1;
  uint64_t FirstId = 1;
};

Figures measure(EventLoop &Loop, Endpoint Destination,
                const LoopThread &TestedThread, Duration Time) {
  ClosedLoop Callers(Loop, Destination);
  // Warm-up: opens the flows and waits until the instance is ready.
  Callers.run(ThroughputWindow, std::chrono::seconds(2));
  const Duration CpuBefore = TestedThread.cpuTime();
  Callers.run(ThroughputWindow, Time);
  const Duration CpuUsed = TestedThread.cpuTime() - CpuBefore;
  Figures Result;
  Result.Lost = Callers.Lost;
  const auto Count = static_cast<double>(Callers.Latencies.size());
  if (Count == 0)
    return Result;
  Result.RequestsPerSecond = Count * 1e6 / static_cast<double>(Time.count());
  Result.CpuMicroseconds = static_cast<double>(CpuUsed.count()) / Count;
  Callers.run(1, Time / 2);
  auto &Latencies = Callers.Latencies;
  if (Latencies.empty())
    return Result;
  std::sort(Latencies.begin(), Latencies.end());
  Result.MedianUs = Latencies[Latencies.size() / 2];
  Result.P99Us = Latencies[Latencies.size() * 99 / 100];
  return Result;
}

Figures measureBareForwarder(EventLoop &Loop, Endpoint Upstream,
                             Duration Time) {
  Endpoint Destination;
  const LoopThread TestedThread([&](EventLoop &ThreadLoop) {
    auto Forwarder = std::make_shared<BareForwarder>(ThreadLoop, Upstream);
    Destination = Forwarder->address();
    return Forwarder;
  });
  return measure(Loop, Destination, TestedThread, Time);
}

Figures measureInstance(EventLoop &Loop, Endpoint Upstream, Duration Time) {
  const OneServicePlatform Platform(Loop, Upstream);
  ProcessSettings Settings;
  Settings.Name = "lim-a-1";
  Settings.Zone = "lim-a";
  Settings.Region = "lim";
  Settings.Address = AnyPort;
  Settings.Platform = Platform.address();
  Settings.Seed = 1;
  Endpoint Destination;
  const LoopThread TestedThread([&](EventLoop &ThreadLoop) {
    auto Instance = std::make_shared<Server>(ThreadLoop, Settings,
                                             [](const Server::StopResult &) {});
    if (const std::string Problem = Instance->start(); !Problem.empty())
      throw std::runtime_error(Problem);
    Destination = Instance->address();
    return Instance;
  });
  return measure(Loop, Destination, TestedThread, Time);
}

void print(const char *Name, const Figures &Values) {
  std::printf("%-10s %9.0f requests/s  %9.0f packets/s  %6.2f us CPU/request  "
              "latency median %5.0f us  p99 %5.0f us  lost %llu\n",
              Name, Values.RequestsPerSecond, 4 * Values.RequestsPerSecond,
              Values.CpuMicroseconds, Values.MedianUs, Values.P99Us,
              static_cast<unsigned long long>(Values.Lost));
}

} // namespace

bool measureLoopback(int Seconds, int Rounds) {
  LogSettings Log;
  Log.Level = LogLevel::Error;
  configureLogging(Log);
  EventLoop Loop;
  Endpoint Upstream;
  const LoopThread UpstreamThread([&](EventLoop &ThreadLoop) {
    auto EchoUpstream = std::make_shared<AnsweringUpstream>(ThreadLoop);
    Upstream = EchoUpstream->address();
    return EchoUpstream;
  });
  bool HasTraffic = true;
  for (int Round = 0; Round < Rounds; ++Round) {
    const Duration Time = std::chrono::seconds(Seconds);
    const Figures ForwarderFigures = measureBareForwarder(Loop, Upstream, Time);
    const Figures InstanceFigures = measureInstance(Loop, Upstream, Time);
    print("bare", ForwarderFigures);
    print("instance", InstanceFigures);
    std::printf(
        "ratio      %.2f of packets/s, %.2f of packets per CPU time, "
        "%+.0f us median latency\n",
        InstanceFigures.RequestsPerSecond / ForwarderFigures.RequestsPerSecond,
        ForwarderFigures.CpuMicroseconds / InstanceFigures.CpuMicroseconds,
        InstanceFigures.MedianUs - ForwarderFigures.MedianUs);
    HasTraffic &= ForwarderFigures.RequestsPerSecond > 0 &&
                  InstanceFigures.RequestsPerSecond > 0;
  }
  return HasTraffic;
}

} // namespace indigopoint
