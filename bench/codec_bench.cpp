#include <benchmark/benchmark.h>

#include "wire_codec.h"

namespace indigopoint {
namespace {

const Sender Origin{InstanceId(0x123456789abcdef0), BootId(0x0fedcba987654321)};

Request sampleRequest(size_t PayloadBytes) {
  return {FlowKey(0x5555555555555555),
          ServiceId(3),
          RequestId(1000),
          0,
          true,
          Duration(2'000'000),
          std::string(PayloadBytes, 'x')};
}

Message sampleProbe() {
  Probe Body;
  for (int Index = 0; Index < 10; ++Index)
    Body.Updates.push_back({"lim-a-" + std::to_string(Index),
                            "lim-a",
                            {0x7f000001, 7000},
                            MemberState::Active,
                            {1'700'000'000'000, BootId(~0ULL), 3}});
  return Body;
}

void encodeLoop(benchmark::State &State, const Message &Body) {
  std::string Bytes;
  for (auto _ : State) {
    benchmark::DoNotOptimize(encodeDatagram(Origin, Body, Bytes));
    benchmark::DoNotOptimize(Bytes.data());
  }
  State.counters["bytes"] = static_cast<double>(Bytes.size());
}

void decodeLoop(benchmark::State &State, const Message &Sample) {
  std::string Bytes;
  if (encodeDatagram(Origin, Sample, Bytes))
    State.SkipWithError("the sample does not encode");
  Sender Source;
  Message Body;
  for (auto _ : State) {
    benchmark::DoNotOptimize(decodeDatagram(Bytes, Source, Body));
    benchmark::DoNotOptimize(Body);
  }
}

void encodeRequest(benchmark::State &State) {
  encodeLoop(State, sampleRequest(State.range(0)));
}
BENCHMARK(encodeRequest)->Arg(64)->Arg(256)->Arg(4096);

void decodeRequest(benchmark::State &State) {
  decodeLoop(State, sampleRequest(State.range(0)));
}
BENCHMARK(decodeRequest)->Arg(64)->Arg(256)->Arg(4096);

void encodeProbe(benchmark::State &State) { encodeLoop(State, sampleProbe()); }
BENCHMARK(encodeProbe);

void decodeProbe(benchmark::State &State) { decodeLoop(State, sampleProbe()); }
BENCHMARK(decodeProbe);

void decodeTruncated(benchmark::State &State) {
  std::string Bytes;
  if (encodeDatagram(Origin, sampleRequest(256), Bytes))
    State.SkipWithError("the sample does not encode");
  Sender Source;
  Message Body;
  const std::string_view Truncated = std::string_view(Bytes).substr(0, 40);
  for (auto _ : State)
    benchmark::DoNotOptimize(decodeDatagram(Truncated, Source, Body));
}
BENCHMARK(decodeTruncated);

} // namespace
} // namespace indigopoint
