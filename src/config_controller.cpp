#include "config_controller.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "blackboard.h"
#include "change_log.h"
#include "config_codec.h"
#include "config_follower.h"
#include "peer_fetch.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

constexpr std::string_view Component = "configuration";
// Separates the election of readers from other rendezvous hashes.
constexpr uint64_t ReaderKey = 0x726561646572ULL;
constexpr size_t ReadersPerZone = 2;
// A starting instance knows no members for a moment and would elect itself as
// a reader; so would all instances of a starting zone.
constexpr std::chrono::seconds ElectionDelay(1);
// How long a new instance waits for a peer to offer a version.
constexpr std::chrono::seconds OfferWait(2);
// Spreads the store calls of new instances. With 1,267 members it limits them
// to 100 per second, of the 2,000 reads per second that the store handles.
constexpr std::chrono::milliseconds JitterPerMember(10);
constexpr std::chrono::seconds MinJitter(2);
constexpr uint32_t MaxJitterDoublings = 4;
// A reader gets a change from its watch. It asks peers only if the watch does
// not deliver the change within this time.
constexpr std::chrono::milliseconds ReaderGrace(500);
// How long a peer is not asked after it sent a malformed document or did not
// answer.
constexpr std::chrono::seconds PeerPenalty(10);
// When only penalised peers remain, they are asked again after this time, so
// that a short loss of packets does not delay a change by PeerPenalty.
constexpr std::chrono::seconds ShortPenalty(1);
// More offers than this do not improve the choice of peers.
constexpr size_t MaxOffers = 64;
// Maximum number of chunks sent per tick (14 MB/s), so that many fetching peers
// cannot delay the packets of flows.
constexpr uint32_t ChunksPerTick = 128;

bool isLive(MemberState State) {
  return State == MemberState::Joining || State == MemberState::Active ||
         State == MemberState::Suspect;
}

std::string textOf(ConfigVersion Version) {
  return "version " + std::to_string(Version.value());
}

} // namespace

struct ConfigController::Impl {
  Impl(Blackboard &Board, PeerLink &Peers)
      : Board(Board), Peers(Peers), Follower(Board) {}

  bool isElectedReader();
  void updateRole();
  bool isFallbackDue();
  void fetchFromPeers(ActionSink &Sink);
  InstanceId choosePeer();
  bool isUsable(InstanceId Peer, Duration Penalty) const;
  void dropPeer(std::string_view Reason, LogLevel Level, ActionSink &Sink);
  void finishFetch(ActionSink &Sink);
  bool apply(const ConfigChange &Change, std::string_view Source,
             ActionSink &Sink);
  bool apply(Configuration Snapshot, std::string_view Source, ActionSink &Sink);
  void onNewVersion(std::string_view Source, ActionSink &Sink);
  const std::string *documentFor(const ConfigPull &Pull, ConfigChunk &Chunk);
  void reply(InstanceId Peer, Endpoint Address, ConfigChunk Chunk,
             ActionSink &Sink);

  Blackboard &Board;
  PeerLink &Peers;
  ChangeLog Log;
  PeerFetch Fetch;
  ConfigFollower Follower;
  uint64_t Generation = 0;

  std::optional<uint64_t> SeenMembersGeneration;
  MemberState SeenState = MemberState::Joining;
  bool Elected = false;
  TimePoint ElectedAt{};
  std::optional<TimePoint> FallbackAt;
  uint32_t FallbackRounds = 0;

  /// Newer versions than the current one, by the peer that announced them.
  std::map<InstanceId, ConfigVersion> Offers;
  std::map<InstanceId, TimePoint> FailedAt;
  TimePoint OfferedAt{};
  uint32_t ChunksSent = 0;
};

ConfigController::ConfigController(Blackboard &Board, PeerLink &Peers)
    : PImpl(std::make_unique<Impl>(Board, Peers)) {}

ConfigController::~ConfigController() = default;

uint64_t ConfigController::generation() const { return PImpl->Generation; }

// Election of readers.

bool ConfigController::Impl::isElectedReader() {
  if (SeenMembersGeneration == Board.Members.Generation &&
      SeenState == Board.Self.State)
    return Elected;
  SeenMembersGeneration = Board.Members.Generation;
  SeenState = Board.Self.State;
  size_t Higher = 0;
  const uint64_t OwnScore = rendezvousScore(ReaderKey, Board.Self.Id.value());
  for (const auto &[Id, Candidate] : Board.Members.ById)
    if (Id != Board.Self.Id && Candidate.Zone == Board.Self.Zone &&
        isLive(Candidate.State) &&
        rendezvousScore(ReaderKey, Id.value()) > OwnScore)
      ++Higher;
  const bool IsElected = isLive(Board.Self.State) && Higher < ReadersPerZone;
  if (IsElected && !Elected)
    ElectedAt = Board.now();
  Elected = IsElected;
  return Elected;
}

void ConfigController::Impl::updateRole() {
  if (isElectedReader() && Board.now() - ElectedAt >= ElectionDelay)
    Follower.setRole(ConfigFollower::Role::Follow);
  else if (isFallbackDue())
    Follower.setRole(ConfigFollower::Role::ReadOnce);
  else if (Follower.role() == ConfigFollower::Role::Follow || !Offers.empty())
    Follower.setRole(ConfigFollower::Role::None);
}

// A new instance reads the store itself if no peer offers a version.
bool ConfigController::Impl::isFallbackDue() {
  if (Board.Config.Version != ConfigVersion() || !Offers.empty()) {
    FallbackAt.reset();
    FallbackRounds = 0;
    return false;
  }
  if (FallbackAt && Board.now() < *FallbackAt)
    return false;
  const bool Due = FallbackAt.has_value();
  // The spread doubles in each further round, to limit the calls while the
  // store is still empty.
  const Duration Jitter =
      (MinJitter + JitterPerMember * Board.Members.ById.size()) *
      (1U << std::min(FallbackRounds++, MaxJitterDoublings));
  FallbackAt =
      Board.now() + OfferWait +
      Duration(Board.Random.below(static_cast<uint64_t>(Jitter.count())));
  return Due;
}

void ConfigController::onTick(ActionSink &Sink) {
  // No configuration is applied here: its index is rebuilt at the end of an
  // event, and the controllers that tick after this one still use the old
  // index.
  PImpl->ChunksSent = 0;
  PImpl->updateRole();
  PImpl->Follower.onTick(Sink);
  PImpl->fetchFromPeers(Sink);
  PImpl->Log.encodeStep(PImpl->Board.now());
  PImpl->Log.expireSnapshots(PImpl->Board.now());
}

void ConfigController::onStoreAnswer(const StoreAnswer &Answer,
                                     ActionSink &Sink) {
  PImpl->Follower.onAnswer(Answer, Sink);
  const auto Apply = [&](auto &Config) {
    return PImpl->apply(std::move(Config), "the store", Sink);
  };
  while (auto Newer = PImpl->Follower.nextConfig(Sink))
    if (!std::visit(Apply, *Newer))
      break;
  PImpl->Follower.onTick(Sink);
}

// Applying.

bool ConfigController::Impl::apply(const ConfigChange &Change,
                                   std::string_view Source, ActionSink &Sink) {
  if (Change.Parts != 0 || !applyChange(Change, Board.Config))
    return false;
  Log.add(Change.Version, addChecksum(encodeChange(Change)));
  onNewVersion(Source, Sink);
  return true;
}

bool ConfigController::Impl::apply(Configuration Snapshot,
                                   std::string_view Source, ActionSink &Sink) {
  if (Snapshot.Version <= Board.Config.Version)
    return false;
  Board.Config = std::move(Snapshot);
  Log.clear();
  onNewVersion(Source, Sink);
  return true;
}

void ConfigController::Impl::onNewVersion(std::string_view Source,
                                          ActionSink &Sink) {
  ++Generation;
  std::erase_if(Offers, [this](const auto &Offer) {
    return Offer.second <= Board.Config.Version;
  });
  if (Fetch.isActive() && Fetch.baseVersion() < Board.Config.Version)
    Fetch.stop();
  Sink.log(LogLevel::Info, Component,
           textOf(Board.Config.Version) + " in force, from " +
               std::string(Source));
}

// Fetching from peers.

void ConfigController::onPeerVersion(InstanceId Peer, ConfigVersion Version,
                                     ActionSink &Sink) {
  if (Version <= PImpl->Board.Config.Version || Peer == PImpl->Board.Self.Id)
    return;
  if (PImpl->Offers.empty())
    PImpl->OfferedAt = PImpl->Board.now();
  if (PImpl->Offers.size() >= MaxOffers)
    std::erase_if(PImpl->Offers, [this](const auto &Offer) {
      return !PImpl->isUsable(Offer.first, PeerPenalty);
    });
  if (PImpl->Offers.size() < MaxOffers)
    PImpl->Offers[Peer] = Version;
  PImpl->fetchFromPeers(Sink);
}

bool ConfigController::Impl::isUsable(InstanceId Peer, Duration Penalty) const {
  const auto It = FailedAt.find(Peer);
  if (It != FailedAt.end() && Board.now() - It->second < Penalty)
    return false;
  const Member *PeerMember = Board.Members.find(Peer);
  return PeerMember != nullptr && PeerMember->State != MemberState::Dead &&
         PeerMember->State != MemberState::Left;
}

InstanceId ConfigController::Impl::choosePeer() {
  for (const Duration Penalty :
       {Duration(PeerPenalty), Duration(ShortPenalty)}) {
    std::vector<InstanceId> Usable;
    for (const auto &[Peer, Version] : Offers)
      if (isUsable(Peer, Penalty))
        Usable.push_back(Peer);
    if (!Usable.empty())
      return Usable[Board.Random.below(Usable.size())];
  }
  return {};
}

void ConfigController::Impl::dropPeer(std::string_view Reason, LogLevel Level,
                                      ActionSink &Sink) {
  const InstanceId Peer = Fetch.peer();
  const Member *PeerMember = Board.Members.find(Peer);
  Sink.log(Level, Component,
           (PeerMember != nullptr ? PeerMember->Name
                                  : std::to_string(Peer.value())) +
               " " + std::string(Reason) + "; trying another peer");
  Offers.erase(Peer);
  std::erase_if(FailedAt, [this](const auto &Entry) {
    return Board.now() - Entry.second >= PeerPenalty;
  });
  FailedAt[Peer] = Board.now();
  Fetch.stop();
}

void ConfigController::Impl::fetchFromPeers(ActionSink &Sink) {
  if (Fetch.isExpired(Board.now()))
    dropPeer("sent no complete document within 2 s", LogLevel::Warning, Sink);
  const bool ShouldWaitForStore =
      Follower.role() == ConfigFollower::Role::Follow && Follower.isHealthy() &&
      Board.Config.Version != ConfigVersion() &&
      Board.now() - OfferedAt < ReaderGrace;
  if (!Fetch.isActive() && !Offers.empty() && !ShouldWaitForStore) {
    const InstanceId Peer = choosePeer();
    if (Peer != InstanceId())
      Fetch.start(Peer, Board.Config.Version, Board.now());
  }
  for (const ConfigPull &Pull : Fetch.duePulls(Board.now()))
    Peers.send(Fetch.peer(), Pull, Sink);
}

void ConfigController::onConfigChunk(const Sender &From,
                                     const ConfigChunk &Chunk,
                                     ActionSink &Sink) {
  if (From.Instance != PImpl->Fetch.peer())
    return;
  switch (PImpl->Fetch.onChunk(Chunk, PImpl->Board.now())) {
  case PeerFetch::Result::Ignored:
  case PeerFetch::Result::Accepted:
    break;
  case PeerFetch::Result::NothingNewer:
    PImpl->dropPeer("has nothing newer than " +
                        textOf(PImpl->Board.Config.Version),
                    LogLevel::Info, Sink);
    break;
  case PeerFetch::Result::TooLarge:
    PImpl->dropPeer("offers " + std::to_string(Chunk.Total) +
                        " bytes, the limit is " +
                        std::to_string(MaxConfigDocumentBytes),
                    LogLevel::Error, Sink);
    break;
  case PeerFetch::Result::Malformed:
    PImpl->dropPeer("sent a malformed chunk", LogLevel::Warning, Sink);
    break;
  case PeerFetch::Result::Complete:
    PImpl->finishFetch(Sink);
    break;
  }
  PImpl->fetchFromPeers(Sink);
}

void ConfigController::Impl::finishFetch(ActionSink &Sink) {
  std::string Text;
  std::error_code Error = stripChecksum(Fetch.document(), Text);
  ConfigChange Change;
  Configuration Snapshot;
  if (!Error)
    Error = Fetch.isSnapshot() ? decodeConfiguration(Text, Snapshot)
                               : decodeChange(Text, Change);
  const ConfigVersion DecodedVersion =
      Fetch.isSnapshot() ? Snapshot.Version : Change.Version;
  if (Error || DecodedVersion != Fetch.version())
    return dropPeer("sent a malformed document of " + textOf(Fetch.version()),
                    LogLevel::Error, Sink);
  const Member *PeerMember = Board.Members.find(Fetch.peer());
  const std::string Source =
      PeerMember != nullptr ? PeerMember->Name : "a peer";
  const bool Applied = Fetch.isSnapshot()
                           ? apply(std::move(Snapshot), Source, Sink)
                           : apply(Change, Source, Sink);
  if (!Applied)
    dropPeer("sent an older document", LogLevel::Warning, Sink);
}

// Serving peers.

void ConfigController::onConfigPull(const Sender &From, Endpoint Address,
                                    const ConfigPull &Pull, ActionSink &Sink) {
  // A pull above the limit is ignored; the peer repeats it.
  if (PImpl->ChunksSent >= ChunksPerTick)
    return;
  ++PImpl->ChunksSent;
  ConfigChunk Chunk;
  Chunk.Version = PImpl->Board.Config.Version;
  if (Pull.CurrentVersion >= PImpl->Board.Config.Version)
    return PImpl->reply(From.Instance, Address, std::move(Chunk), Sink);
  const std::string *Document = PImpl->documentFor(Pull, Chunk);
  if (Document == nullptr || Pull.Offset >= Document->size())
    return;
  Chunk.Offset = Pull.Offset;
  Chunk.Total = static_cast<uint32_t>(Document->size());
  Chunk.Bytes = Document->substr(Pull.Offset, ConfigChunkBytes);
  PImpl->reply(From.Instance, Address, std::move(Chunk), Sink);
}

const std::string *ConfigController::Impl::documentFor(const ConfigPull &Pull,
                                                       ConfigChunk &Chunk) {
  const ConfigVersion NextVersion(Pull.CurrentVersion.value() + 1);
  const bool AnyDocumentAccepted = Pull.RequestedVersion == ConfigVersion();
  if (AnyDocumentAccepted || Pull.RequestedVersion == NextVersion)
    if (const std::string *Change = Log.change(NextVersion)) {
      Chunk.Version = NextVersion;
      return Change;
    }
  Chunk.Snapshot = true;
  if (AnyDocumentAccepted || Pull.RequestedVersion == Board.Config.Version)
    return Log.snapshot(Board.Config, Board.now());
  Chunk.Version = Pull.RequestedVersion;
  return Log.findSnapshot(Pull.RequestedVersion, Board.now());
}

void ConfigController::Impl::reply(InstanceId Peer, Endpoint Address,
                                   ConfigChunk Chunk, ActionSink &Sink) {
  const Member *PeerMember = Board.Members.find(Peer);
  if (PeerMember != nullptr && PeerMember->RelayMember != InstanceId())
    Peers.send(Peer, std::move(Chunk), Sink);
  else
    Sink.send(Address, std::move(Chunk));
}

} // namespace indigopoint
