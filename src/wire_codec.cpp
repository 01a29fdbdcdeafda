#include "wire_codec.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "placement.h"
#include "wire_fields.h"

namespace indigopoint {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using apache::thrift::transport::TTransportException;
using CompactProtocol =
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

constexpr int32_t ProtocolVersion = 1;

// Longer durations are rejected, so that the sum of a duration and a clock
// reading cannot overflow.
constexpr int64_t MaxDurationUs = int64_t{100} * 365 * 24 * 3600 * 1'000'000;

template <typename Enum> constexpr Enum LastValue = Enum();
template <> constexpr Outcome LastValue<Outcome> = Outcome::Unknown;
template <> constexpr auto LastValue<SubmitStatus> = SubmitStatus::NotOwner;
template <>
constexpr auto LastValue<DispatchStatus> = DispatchStatus::Cancelled;
template <> constexpr auto LastValue<MemberState> = MemberState::Left;
template <> constexpr auto LastValue<RequestPhase> = RequestPhase::Finished;

template <typename T>
concept IsEnum = std::is_enum_v<T>;

template <typename T>
concept IsNumber = std::is_integral_v<T>;

// A Forward contains a datagram, which is encoded or decoded during the
// encoding or decoding of the outer datagram.
std::error_code encodeInner(const Forward &Outer, std::string &Out);
std::error_code decodeInner(const std::string &Bytes, Forward &Outer);

struct WireEncoder {
  template <IsNumber T, IsNumber W> void operator()(T From, W &To) {
    To = static_cast<W>(From);
  }
  template <typename Tag, typename Rep, IsNumber W>
  void operator()(TypedId<Tag, Rep> From, W &To) {
    To = static_cast<W>(From.value());
  }
  template <IsEnum T> void operator()(T From, int32_t &To) {
    To = static_cast<int32_t>(From);
  }
  void operator()(Duration From, int64_t &To) {
    To = std::clamp<int64_t>(From.count(), -MaxDurationUs, MaxDurationUs);
  }
  void operator()(const std::string &From, std::string &To) { To = From; }
  void operator()(const Endpoint &From, wire::Endpoint &To) {
    mapFields(*this, From, To);
  }
  void operator()(const Incarnation &From, wire::Incarnation &To) {
    mapFields(*this, From, To);
  }
  template <typename T, typename W>
  void operator()(const std::vector<T> &From, std::vector<W> &To) {
    To.resize(From.size());
    for (size_t Index = 0; Index < From.size(); ++Index)
      mapFields(*this, From[Index], To[Index]);
  }
  void copyBucket(uint32_t From, int32_t &To) { (*this)(From, To); }
  void copyForwarded(const Forward &From, std::string &To) {
    if (const std::error_code Error = encodeInner(From, To))
      throw std::system_error(Error);
  }
  void copyCallerPacket(const CallerPacket &From, wire::Relay &To) {
    To.__isset = {};
    if (const auto *Packet = std::get_if<Request>(&From)) {
      To.__isset.request = true;
      mapFields(*this, *Packet, To.request);
    } else if (const auto *Packet = std::get_if<Cancel>(&From)) {
      To.__isset.cancel = true;
      mapFields(*this, *Packet, To.cancel);
    } else {
      To.__isset.closeFlow = true;
      mapFields(*this, std::get<CloseFlow>(From), To.closeFlow);
    }
  }
};

struct WireDecoder {
  bool Valid = true;

  template <IsNumber T, IsNumber W> void operator()(T &To, W From) {
    To = static_cast<T>(From);
  }
  template <typename Tag, typename Rep, IsNumber W>
  void operator()(TypedId<Tag, Rep> &To, W From) {
    To = TypedId<Tag, Rep>(static_cast<Rep>(From));
  }
  template <IsEnum T> void operator()(T &To, int32_t From) {
    if (From < 0 || From > static_cast<int32_t>(LastValue<T>))
      Valid = false;
    else
      To = static_cast<T>(From);
  }
  void operator()(Duration &To, int64_t From) {
    if (From < -MaxDurationUs || From > MaxDurationUs)
      Valid = false;
    To = Duration(From);
  }
  void operator()(std::string &To, std::string &From) { To = std::move(From); }
  void operator()(Endpoint &To, wire::Endpoint &From) {
    mapFields(*this, To, From);
  }
  void operator()(Incarnation &To, wire::Incarnation &From) {
    mapFields(*this, To, From);
  }
  template <typename T, typename W>
  void operator()(std::vector<T> &To, std::vector<W> &From) {
    To.resize(From.size());
    for (size_t Index = 0; Index < From.size(); ++Index)
      mapFields(*this, To[Index], From[Index]);
  }
  void copyBucket(uint32_t &To, int32_t From) {
    (*this)(To, From);
    Valid &= To < FlowBuckets;
  }
  void copyForwarded(Forward &To, const std::string &From) {
    if (decodeInner(From, To))
      Valid = false;
  }
  void copyCallerPacket(CallerPacket &To, wire::Relay &From) {
    const auto &IsSet = From.__isset;
    Valid &= int(IsSet.request) + int(IsSet.cancel) + int(IsSet.closeFlow) == 1;
    if (IsSet.request)
      mapFields(*this, To.emplace<Request>(), From.request);
    else if (IsSet.cancel)
      mapFields(*this, To.emplace<Cancel>(), From.cancel);
    else
      mapFields(*this, To.emplace<CloseFlow>(), From.closeFlow);
  }
};

template <typename T, typename W, wire::MessageKind::type Kind>
struct MessageMapping {
  using MessageType = T;
  using Wire = W;
  static constexpr int32_t Number = Kind;
};

// The message kinds in the order of the alternatives of Message.
using Kind = wire::MessageKind;
template <typename...> struct MappingList {};
using MessageMappings = MappingList<
    MessageMapping<Request, wire::Request, Kind::REQUEST>,
    MessageMapping<Reply, wire::Reply, Kind::REPLY>,
    MessageMapping<Cancel, wire::Cancel, Kind::CANCEL>,
    MessageMapping<CloseFlow, wire::CloseFlow, Kind::CLOSE_FLOW>,
    MessageMapping<Relay, wire::Relay, Kind::RELAY>,
    MessageMapping<Submit, wire::Submit, Kind::SUBMIT>,
    MessageMapping<SubmitResult, wire::SubmitResult, Kind::SUBMIT_RESULT>,
    MessageMapping<CancelSubmit, wire::CancelSubmit, Kind::CANCEL_SUBMIT>,
    MessageMapping<ReleaseFlow, wire::ReleaseFlow, Kind::RELEASE_FLOW>,
    MessageMapping<Dispatch, wire::Dispatch, Kind::DISPATCH>,
    MessageMapping<DispatchResult, wire::DispatchResult, Kind::DISPATCH_RESULT>,
    MessageMapping<CancelDispatch, wire::CancelDispatch, Kind::CANCEL_DISPATCH>,
    MessageMapping<Ping, wire::Ping, Kind::PING>,
    MessageMapping<Pong, wire::Pong, Kind::PONG>,
    MessageMapping<CloseConnection, wire::CloseConnection,
                   Kind::CLOSE_CONNECTION>,
    MessageMapping<LoadReport, wire::LoadReport, Kind::LOAD_REPORT>,
    MessageMapping<PinReplica, wire::PinReplica, Kind::PIN_REPLICA>,
    MessageMapping<Probe, wire::Probe, Kind::PROBE>,
    MessageMapping<ProbeAck, wire::ProbeAck, Kind::PROBE_ACK>,
    MessageMapping<IndirectProbe, wire::IndirectProbe, Kind::INDIRECT_PROBE>,
    MessageMapping<Forward, wire::Forward, Kind::FORWARD>,
    MessageMapping<HandoverBatch, wire::HandoverBatch, Kind::HANDOVER_BATCH>,
    MessageMapping<HandoverAck, wire::HandoverAck, Kind::HANDOVER_ACK>,
    MessageMapping<ConfigPull, wire::ConfigPull, Kind::CONFIG_PULL>,
    MessageMapping<ConfigChunk, wire::ConfigChunk, Kind::CONFIG_CHUNK>>;

class Protocol : public CompactProtocol {
public:
  using CompactProtocol::CompactProtocol;

  void setContainerLimit(int32_t Limit) { container_limit_ = Limit; }
};

// Reads from bytes that it does not own. Unlike TMemoryBuffer::resetBuffer,
// observe() does not allocate.
class ReadBuffer : public TMemoryBuffer {
public:
  ReadBuffer() : TMemoryBuffer(nullptr, 0, OBSERVE) {}

  void observe(std::string_view Bytes) {
    // The buffer is never written to.
    buffer_ = reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data()));
    bufferSize_ = static_cast<uint32_t>(Bytes.size());
    rBase_ = buffer_;
    rBound_ = wBase_ = wBound_ = buffer_ + bufferSize_;
    resetConsumedMessageSize();
  }
};

// The protocol objects of one thread.
struct Codec {
  Codec()
      : Input(std::make_shared<ReadBuffer>()),
        Output(std::make_shared<TMemoryBuffer>()),
        Reader(Input, MaxDatagramBytes, MaxDatagramBytes), Writer(Output) {
    // Limits the memory of the thread: a message that exceeds MaxDatagramBytes
    // is encoded up to twice that size, then the encoding fails.
    Output->setMaxBufferSize(2 * MaxDatagramBytes);
  }

  std::shared_ptr<ReadBuffer> Input;
  std::shared_ptr<TMemoryBuffer> Output;
  Protocol Reader;
  Protocol Writer;
};

// A datagram received from the network, or a datagram in a Forward.
enum Level : size_t { Outermost, Inner, LevelCount };

// A Thrift exception leaves the protocol object in the middle of a struct, so
// the objects of the thread are recreated after each exception.
std::optional<Codec> &threadCodec(Level NestingLevel) {
  thread_local std::array<std::optional<Codec>, LevelCount> Codecs;
  if (!Codecs[NestingLevel])
    Codecs[NestingLevel].emplace();
  return Codecs[NestingLevel];
}

using WriteBody = void (*)(const Message &, Protocol &);
using ReadBody = bool (*)(Message &, Protocol &);

// The wire struct is reused, so that its strings and lists keep their memory.
template <typename E> void writeBody(const Message &Body, Protocol &Out) {
  thread_local typename E::Wire Struct;
  WireEncoder Encoder;
  mapFields(Encoder, *std::get_if<typename E::MessageType>(&Body), Struct);
  Struct.write(static_cast<CompactProtocol *>(&Out));
}

template <typename E> bool readBody(Message &Body, Protocol &In) {
  typename E::Wire Struct;
  Struct.read(static_cast<CompactProtocol *>(&In));
  WireDecoder Decoder;
  mapFields(Decoder, Body.emplace<typename E::MessageType>(), Struct);
  return Decoder.Valid;
}

template <typename... Es> struct Tables {
  static_assert(
      std::is_same_v<Message, std::variant<typename Es::MessageType...>>,
      "MessageMappings must list every message in the order of Message");
  static constexpr size_t KindEnd = std::max({Es::Number...}) + 1;

  static constexpr std::array<int32_t, sizeof...(Es)> Numbers = {Es::Number...};
  static constexpr std::array<WriteBody, sizeof...(Es)> Writers = {
      writeBody<Es>...};
  static constexpr std::array<ReadBody, KindEnd> Readers = [] {
    std::array<ReadBody, KindEnd> Table{};
    ((Table[Es::Number] = readBody<Es>), ...);
    return Table;
  }();
};

template <typename... Es> Tables<Es...> tablesOf(MappingList<Es...>);
using MessageTables = decltype(tablesOf(MessageMappings()));

// Each element of a list takes at least this many bytes (the two fields of a
// BucketCopy and its end), which limits the allocation when the size field
// of the list is false.
constexpr size_t MinElementBytes = 4;

std::error_code decode(std::string_view Bytes, Codec &ThreadCodec, bool IsInner,
                       Sender &Origin, Message &Body) {
  ThreadCodec.Input->observe(Bytes);
  ThreadCodec.Reader.setContainerLimit(
      static_cast<int32_t>(Bytes.size() / MinElementBytes + 1));
  wire::Header Head;
  Head.read(&ThreadCodec.Reader);
  if (Head.version != ProtocolVersion)
    return WireError::WrongVersion;
  const auto &Readers = MessageTables::Readers;
  if (Head.kind < 0 || size_t(Head.kind) >= Readers.size() ||
      Readers[Head.kind] == nullptr)
    return WireError::UnknownKind;
  if (IsInner && Head.kind == Kind::FORWARD)
    return WireError::Malformed;
  Origin.Instance = InstanceId(static_cast<uint64_t>(Head.instance));
  Origin.Boot = BootId(static_cast<uint64_t>(Head.boot));
  const bool Valid = Readers[Head.kind](Body, ThreadCodec.Reader);
  if (!Valid || ThreadCodec.Input->available_read() != 0)
    return WireError::Malformed;
  return {};
}

void encode(const Sender &Origin, const Message &Body, Codec &ThreadCodec) {
  ThreadCodec.Output->resetBuffer();
  wire::Header Head;
  Head.version = ProtocolVersion;
  Head.kind = MessageTables::Numbers[Body.index()];
  Head.instance = static_cast<int64_t>(Origin.Instance.value());
  Head.boot = static_cast<int64_t>(Origin.Boot.value());
  Head.write(&ThreadCodec.Writer);
  MessageTables::Writers[Body.index()](Body, ThreadCodec.Writer);
}

class WireCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "wire"; }
  std::string message(int Value) const override {
    switch (static_cast<WireError>(Value)) {
    case WireError::Truncated:
      return "the datagram is truncated";
    case WireError::Oversized:
      return "the datagram is larger than 60 KB";
    case WireError::WrongVersion:
      return "the datagram has another protocol version";
    case WireError::UnknownKind:
      return "the datagram has an unknown message kind";
    case WireError::Malformed:
      return "the datagram is malformed";
    }
    return "unknown wire error";
  }
};

std::error_code encodeAtLevel(Level NestingLevel, const Sender &Origin,
                              const Message &Body, std::string &Out) {
  std::optional<Codec> &ThreadCodec = threadCodec(NestingLevel);
  try {
    encode(Origin, Body, *ThreadCodec);
  } catch (const std::system_error &Error) {
    ThreadCodec.reset();
    return Error.code();
  } catch (const std::exception &) {
    // Only the buffer limit and a failed allocation throw here.
    ThreadCodec.reset();
    return WireError::Oversized;
  }
  uint8_t *Bytes = nullptr;
  uint32_t Size = 0;
  ThreadCodec->Output->getBuffer(&Bytes, &Size);
  if (Size > MaxDatagramBytes)
    return WireError::Oversized;
  Out.assign(reinterpret_cast<const char *>(Bytes), Size);
  return {};
}

std::error_code decodeAtLevel(Level NestingLevel, std::string_view Bytes,
                              Sender &Origin, Message &Body) {
  if (Bytes.size() > MaxDatagramBytes)
    return WireError::Oversized;
  std::optional<Codec> &ThreadCodec = threadCodec(NestingLevel);
  std::error_code Error;
  try {
    Error = decode(Bytes, *ThreadCodec, NestingLevel == Inner, Origin, Body);
    if (!Error)
      return Error;
  } catch (const TTransportException &) {
    Error = WireError::Truncated;
  } catch (const std::exception &) {
    Error = WireError::Malformed;
  }
  ThreadCodec.reset();
  return Error;
}

std::error_code encodeInner(const Forward &Outer, std::string &Out) {
  if (std::holds_alternative<Forward>(Outer.Body->Body))
    return WireError::Malformed;
  return encodeAtLevel(Inner, Outer.Origin, Outer.Body->Body, Out);
}

// decode() rejects a Forward in a Forward before it reads the body, so that
// datagrams are never nested more than two deep.
std::error_code decodeInner(const std::string &Bytes, Forward &Outer) {
  auto Decoded = std::make_shared<ForwardedMessage>();
  if (const auto Error =
          decodeAtLevel(Inner, Bytes, Outer.Origin, Decoded->Body))
    return Error;
  Outer.Body = std::move(Decoded);
  return {};
}

} // namespace

std::error_code make_error_code(WireError Error) {
  static const WireCategory Category;
  return {static_cast<int>(Error), Category};
}

std::error_code encodeDatagram(const Sender &Origin, const Message &Body,
                               std::string &Out) {
  return encodeAtLevel(Outermost, Origin, Body, Out);
}

std::error_code decodeDatagram(std::string_view Bytes, Sender &Origin,
                               Message &Body) {
  return decodeAtLevel(Outermost, Bytes, Origin, Body);
}

} // namespace indigopoint
