#include "config_controller.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "blackboard.h"
#include "change_log.h"
#include "config_codec.h"
#include "peer_fetch.h"
#include "peer_link.h"
#include "store_reader.h"

namespace indigopoint {

namespace {

constexpr std::string_view Component = "configuration";
// Separates the election of readers from other rendezvous choices.
constexpr uint64_t ReaderKey = 0x726561646572ULL;
constexpr size_t ReadersPerZone = 2;
// A starting instance knows no members for a moment and would take itself for
// a reader; so would all instances of a zone that starts.
constexpr std::chrono::seconds ElectionDelay(1);
// How long a fresh instance waits for the offer of a peer.
constexpr std::chrono::seconds OfferWait(2);
// Spreads the store calls of fresh instances: with 1,267 members at most 100 a
// second, of the 2,000 reads a second that the store handles.
constexpr std::chrono::milliseconds SpreadPerMember(10);
constexpr std::chrono::seconds MinSpread(2);
constexpr uint32_t MaxSpreadDoublings = 4;
// A reader gets a change from its watch. It asks peers only if that is late.
constexpr std::chrono::milliseconds ReaderGrace(500);
// How long a peer is not asked after it sent a malformed document or nothing.
constexpr std::chrono::seconds PeerPenalty(10);
// When the only peers left are such ones, they are asked again after this, so
// that a short loss of packets does not delay a change by PeerPenalty.
constexpr std::chrono::seconds ShortPenalty(1);
// More offers than this give no better choice of peers.
constexpr size_t MaxOffers = 64;
// Chunks sent per tick (14 MB/s), so that many fetching peers cannot crowd out
// the packets of flows.
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
      : Board(Board), Peers(Peers), Reader(Board) {}

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
  const std::string *documentFor(const ConfigPull &Pull, ConfigChunk &Reply);
  void reply(InstanceId To, Endpoint Address, ConfigChunk Reply,
             ActionSink &Sink);

  Blackboard &Board;
  PeerLink &Peers;
  ChangeLog Log;
  PeerFetch Fetch;
  StoreReader Reader;
  uint64_t Generation = 0;

  std::optional<uint64_t> SeenMembers;
  MemberState SeenState = MemberState::Joining;
  bool Elected = false;
  TimePoint ElectedAt{};
  std::optional<TimePoint> FallbackAt;
  uint32_t FallbackRounds = 0;

  /// Versions above the own one that peers announced.
  std::map<InstanceId, ConfigVersion> Offers;
  std::map<InstanceId, TimePoint> FailedAt;
  TimePoint OfferedAt{};
  uint32_t ChunksSent = 0;
};

ConfigController::ConfigController(Blackboard &Board, PeerLink &Peers)
    : PImpl(std::make_unique<Impl>(Board, Peers)) {}

ConfigController::~ConfigController() = default;

uint64_t ConfigController::generation() const { return PImpl->Generation; }

// Readers.

bool ConfigController::Impl::isElectedReader() {
  if (SeenMembers == Board.Members.Generation && SeenState == Board.Self.State)
    return Elected;
  SeenMembers = Board.Members.Generation;
  SeenState = Board.Self.State;
  size_t Higher = 0;
  const uint64_t Own = rendezvousScore(ReaderKey, Board.Self.Id.value());
  for (const auto &[Id, Other] : Board.Members.ById)
    if (Id != Board.Self.Id && Other.Zone == Board.Self.Zone &&
        isLive(Other.State) && rendezvousScore(ReaderKey, Id.value()) > Own)
      ++Higher;
  const bool Now = isLive(Board.Self.State) && Higher < ReadersPerZone;
  if (Now && !Elected)
    ElectedAt = Board.now();
  Elected = Now;
  return Elected;
}

void ConfigController::Impl::updateRole() {
  if (isElectedReader() && Board.now() - ElectedAt >= ElectionDelay)
    Reader.setRole(StoreReader::Role::Follow);
  else if (isFallbackDue())
    Reader.setRole(StoreReader::Role::Once);
  else if (Reader.role() == StoreReader::Role::Follow || !Offers.empty())
    Reader.setRole(StoreReader::Role::None);
}

// A fresh instance to which no peer offers a version reads the store itself.
bool ConfigController::Impl::isFallbackDue() {
  if (Board.Config.Version != ConfigVersion() || !Offers.empty()) {
    FallbackAt.reset();
    FallbackRounds = 0;
    return false;
  }
  if (FallbackAt && Board.now() < *FallbackAt)
    return false;
  const bool Due = FallbackAt.has_value();
  // Each further round is spread wider, for a store that is still empty.
  const Duration Spread =
      (MinSpread + SpreadPerMember * Board.Members.ById.size()) *
      (1U << std::min(FallbackRounds++, MaxSpreadDoublings));
  FallbackAt =
      Board.now() + OfferWait +
      Duration(Board.Random.below(static_cast<uint64_t>(Spread.count())));
  return Due;
}

void ConfigController::onTick(ActionSink &Sink) {
  // Nothing is applied here: the index of the configuration is rebuilt at the
  // end of an event, and the controllers that tick next still use the old one.
  PImpl->ChunksSent = 0;
  PImpl->updateRole();
  PImpl->Reader.onTick(Sink);
  PImpl->fetchFromPeers(Sink);
  PImpl->Log.encodeStep(PImpl->Board.now());
  PImpl->Log.expireSnapshots(PImpl->Board.now());
}

void ConfigController::onStoreAnswer(const StoreAnswer &Answer,
                                     ActionSink &Sink) {
  std::optional<StoreReader::NewerConfig> Read =
      PImpl->Reader.onAnswer(Answer, Sink);
  if (Read)
    std::visit(
        [&](auto &Newer) { PImpl->apply(std::move(Newer), "the store", Sink); },
        *Read);
  PImpl->Reader.onTick(Sink);
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
  if (Fetch.isActive() && Fetch.have() < Board.Config.Version)
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
  const Member *Other = Board.Members.find(Peer);
  return Other != nullptr && Other->State != MemberState::Dead &&
         Other->State != MemberState::Left;
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
  const Member *Other = Board.Members.find(Peer);
  Sink.log(Level, Component,
           (Other != nullptr ? Other->Name : std::to_string(Peer.value())) +
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
  const bool ReaderWaits = Reader.role() == StoreReader::Role::Follow &&
                           Reader.isHealthy() &&
                           Board.Config.Version != ConfigVersion() &&
                           Board.now() - OfferedAt < ReaderGrace;
  if (!Fetch.isActive() && !Offers.empty() && !ReaderWaits) {
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
  const ConfigVersion Read =
      Fetch.isSnapshot() ? Snapshot.Version : Change.Version;
  if (Error || Read != Fetch.version())
    return dropPeer("sent a malformed document of " + textOf(Fetch.version()),
                    LogLevel::Error, Sink);
  const Member *Other = Board.Members.find(Fetch.peer());
  const std::string Source = Other != nullptr ? Other->Name : "a peer";
  const bool Applied = Fetch.isSnapshot()
                           ? apply(std::move(Snapshot), Source, Sink)
                           : apply(Change, Source, Sink);
  if (!Applied)
    dropPeer("sent an older document", LogLevel::Warning, Sink);
}

// Serving peers.

void ConfigController::onConfigPull(const Sender &From, Endpoint Address,
                                    const ConfigPull &Pull, ActionSink &Sink) {
  // A pull over the limit is repeated by the peer.
  if (PImpl->ChunksSent >= ChunksPerTick)
    return;
  ++PImpl->ChunksSent;
  ConfigChunk Reply;
  Reply.Version = PImpl->Board.Config.Version;
  if (Pull.CurrentVersion >= PImpl->Board.Config.Version)
    return PImpl->reply(From.Instance, Address, std::move(Reply), Sink);
  const std::string *Document = PImpl->documentFor(Pull, Reply);
  if (Document == nullptr || Pull.Offset >= Document->size())
    return;
  Reply.Offset = Pull.Offset;
  Reply.Total = static_cast<uint32_t>(Document->size());
  Reply.Bytes = Document->substr(Pull.Offset, ConfigChunkBytes);
  PImpl->reply(From.Instance, Address, std::move(Reply), Sink);
}

const std::string *ConfigController::Impl::documentFor(const ConfigPull &Pull,
                                                       ConfigChunk &Reply) {
  const ConfigVersion Next(Pull.CurrentVersion.value() + 1);
  const bool PeerChooses = Pull.RequestedVersion == ConfigVersion();
  if (PeerChooses || Pull.RequestedVersion == Next)
    if (const std::string *Change = Log.change(Next)) {
      Reply.Version = Next;
      return Change;
    }
  Reply.Snapshot = true;
  if (PeerChooses || Pull.RequestedVersion == Board.Config.Version)
    return Log.snapshot(Board.Config, Board.now());
  Reply.Version = Pull.RequestedVersion;
  return Log.keptSnapshot(Pull.RequestedVersion, Board.now());
}

void ConfigController::Impl::reply(InstanceId To, Endpoint Address,
                                   ConfigChunk Reply, ActionSink &Sink) {
  const Member *Other = Board.Members.find(To);
  if (Other != nullptr && Other->RelayMember != InstanceId())
    Peers.send(To, std::move(Reply), Sink);
  else
    Sink.send(Address, std::move(Reply));
}

} // namespace indigopoint
