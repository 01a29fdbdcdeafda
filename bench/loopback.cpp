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

// Enough in flight to keep the tested thread busy, few enough to lose nothing
// in socket buffers.
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

// Keeps a number of requests in flight towards one address.
class ClosedLoop {
public:
  ClosedLoop(EventLoop &Loop, Endpoint To) : Loop(Loop), To(To) {
    if (Socket.open(Loop, AnyPort, [this](Endpoint, std::string_view Bytes) {
          onReply(Bytes);
        }))
      throw std::runtime_error("cannot open the caller's socket");
  }

  // Runs for a time; latencies and counts cover this run only.
  void run(int Window, Duration Time) {
    Open.clear();
    Latencies.clear();
    Lost = 0;
    First = Next;
    const LoopEvent End = LoopEvent::after(Loop, Time, [this] { Loop.stop(); });
    const LoopEvent Replace = LoopEvent::every(
        Loop, std::chrono::milliseconds(20), [this] { replaceLost(); });
    for (int Index = 0; Index < Window; ++Index)
      sendNext();
    Socket.flush();
    Loop.run();
  }

  std::vector<double> Latencies;
  /// Requests without an answer, and requests refused.
  uint64_t Lost = 0;

private:
  struct Sent {
    TimePoint At;
    bool Done = false;
  };

  // Without this, each lost datagram would shrink the window for good.
  void replaceLost() {
    const TimePoint Limit = TimeSource.now() - LossTime;
    while (!Open.empty() && (Open.front().Done || Open.front().At < Limit)) {
      if (!Open.front().Done) {
        ++Lost;
        sendNext();
      }
      Open.pop_front();
      ++First;
    }
    Socket.flush();
  }

  void sendNext() {
    Message Body = Request{FlowKey(Next % Flows * 0x9e3779b97f4a7c15),
                           ServiceId(1),
                           RequestId(Next),
                           0,
                           true,
                           std::chrono::seconds(2),
                           Payload};
    if (encodeDatagram({}, Body, Socket.nextBuffer()))
      return;
    Socket.commit(To);
    Open.push_back({TimeSource.now()});
    ++Next;
  }

  void onReply(std::string_view Bytes) {
    Sender Origin;
    Message Body;
    if (decodeDatagram(Bytes, Origin, Body))
      return;
    const auto *Final = std::get_if<Reply>(&Body);
    if (Final == nullptr || Final->Id.value() < First)
      return;
    Sent &Asked = Open[Final->Id.value() - First];
    if (Asked.Done)
      return;
    Asked.Done = true;
    if (Final->Result == Outcome::Answered)
      Latencies.push_back(
          static_cast<double>((TimeSource.now() - Asked.At).count()));
    else
      ++Lost;
    sendNext();
  }

  EventLoop &Loop;
  Endpoint To;
  UdpEndpoint Socket{MaxDatagramBytes};
  SteadyClock TimeSource;
  const std::string Payload = std::string(PayloadBytes, 'x');
  std::deque<Sent> Open;
  uint64_t Next = 1;
  uint64_t First = 1;
};

Figures measure(EventLoop &Loop, Endpoint To, const LoopThread &Tested,
                Duration Time) {
  ClosedLoop Callers(Loop, To);
  // Opens the flows, and waits until an instance is ready.
  Callers.run(ThroughputWindow, std::chrono::seconds(2));
  const Duration Before = Tested.cpuTime();
  Callers.run(ThroughputWindow, Time);
  const Duration Cpu = Tested.cpuTime() - Before;
  Figures Out;
  Out.Lost = Callers.Lost;
  const auto Count = static_cast<double>(Callers.Latencies.size());
  if (Count == 0)
    return Out;
  Out.RequestsPerSecond = Count * 1e6 / static_cast<double>(Time.count());
  Out.CpuMicroseconds = static_cast<double>(Cpu.count()) / Count;
  Callers.run(1, Time / 2);
  auto &Latencies = Callers.Latencies;
  if (Latencies.empty())
    return Out;
  std::sort(Latencies.begin(), Latencies.end());
  Out.MedianUs = Latencies[Latencies.size() / 2];
  Out.P99Us = Latencies[Latencies.size() * 99 / 100];
  return Out;
}

Figures measureBare(EventLoop &Loop, Endpoint Upstream, Duration Time) {
  Endpoint To;
  const LoopThread Tested([&](EventLoop &Own) {
    auto Forwarder = std::make_shared<BareForwarder>(Own, Upstream);
    To = Forwarder->address();
    return Forwarder;
  });
  return measure(Loop, To, Tested, Time);
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
  Endpoint To;
  const LoopThread Tested([&](EventLoop &Own) {
    auto Instance = std::make_shared<Server>(Own, Settings,
                                             [](const Server::StopResult &) {});
    if (const std::string Problem = Instance->start(); !Problem.empty())
      throw std::runtime_error(Problem);
    To = Instance->address();
    return Instance;
  });
  return measure(Loop, To, Tested, Time);
}

void print(const char *Name, const Figures &Of) {
  std::printf("%-10s %9.0f requests/s  %9.0f packets/s  %6.2f us CPU/request  "
              "latency median %5.0f us  p99 %5.0f us  lost %llu\n",
              Name, Of.RequestsPerSecond, 4 * Of.RequestsPerSecond,
              Of.CpuMicroseconds, Of.MedianUs, Of.P99Us,
              static_cast<unsigned long long>(Of.Lost));
}

} // namespace

bool measureLoopback(int Seconds, int Rounds) {
  LogSettings Log;
  Log.Level = LogLevel::Error;
  configureLogging(Log);
  EventLoop Loop;
  Endpoint Upstream;
  const LoopThread UpstreamThread([&](EventLoop &Own) {
    auto Answering = std::make_shared<AnsweringUpstream>(Own);
    Upstream = Answering->address();
    return Answering;
  });
  bool Passed = true;
  for (int Round = 0; Round < Rounds; ++Round) {
    const Duration Time = std::chrono::seconds(Seconds);
    const Figures Bare = measureBare(Loop, Upstream, Time);
    const Figures Instance = measureInstance(Loop, Upstream, Time);
    print("bare", Bare);
    print("instance", Instance);
    std::printf("ratio      %.2f of packets/s, %.2f of packets per CPU time, "
                "%+.0f us median latency\n",
                Instance.RequestsPerSecond / Bare.RequestsPerSecond,
                Bare.CpuMicroseconds / Instance.CpuMicroseconds,
                Instance.MedianUs - Bare.MedianUs);
    Passed &= Bare.RequestsPerSecond > 0 && Instance.RequestsPerSecond > 0;
  }
  return Passed;
}

} // namespace indigopoint
