#include "unanswered_exchanges.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace indigopoint {

namespace {

// A client's time to its first retransmission. An upstream to which something
// was first sent more recently may still answer.
constexpr Duration MinAnswerTime = std::chrono::milliseconds(200);

// Sent packets count for this long, so that an instance with little traffic
// sees enough of them.
constexpr Duration Lifetime = std::chrono::seconds(5);

} // namespace

void UnansweredExchanges::recordSent(const std::string &Service, UpstreamId Id,
                                     TimePoint Now) {
  const auto [It, IsNew] = Waiting.try_emplace(Id);
  Wait &Entry = It->second;
  if (IsNew)
    Entry.Service = Service;
  if (IsNew || Now - Entry.Last > Lifetime)
    Entry.First = Now;
  Entry.Last = Now;
}

void UnansweredExchanges::expire(TimePoint Now) {
  std::erase_if(Waiting, [Now](const auto &Entry) {
    return Now - Entry.second.Last > Lifetime;
  });
}

UnansweredExchanges::Summary
UnansweredExchanges::summarize(TimePoint Now) const {
  Summary Out;
  std::set<std::string_view> Services;
  for (const auto &[Id, Entry] : Waiting) {
    const Duration Wait = Now - Entry.First;
    if (Wait < MinAnswerTime)
      continue;
    ++Out.Waiting.Upstreams;
    Services.insert(Entry.Service);
    Out.LongestWait = std::max(Out.LongestWait, Wait);
  }
  Out.Waiting.Services = Services.size();
  return Out;
}

bool UnansweredExchanges::isSilent(Counts Needed, Duration MinSilence,
                                   TimePoint Now) const {
  const Summary Found = summarize(Now);
  return Found.Waiting.Upstreams >= Needed.Upstreams &&
         Found.Waiting.Services >= Needed.Services &&
         Found.LongestWait >= MinSilence;
}

} // namespace indigopoint
