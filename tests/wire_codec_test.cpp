#include "wire_codec.h"

#include <random>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

const Sender Origin{InstanceId(~0ULL), BootId(0x8000000000000001)};
const std::string Payload("a\0b\xff", 4);
const std::vector<Pin> Pins = {
    {FlowKey(~0ULL), ServiceId(7), UpstreamId(8)},
    {FlowKey(2), ServiceId(~0U), UpstreamId(9), true}};
const std::vector<MemberUpdate> Updates = {{"lim-a-1",
                                            "lim-a",
                                            {0x7f000001, 65535},
                                            MemberState::Left,
                                            {1700000000000, BootId(~0ULL), 3}}};

Request sampleRequest() {
  return {FlowKey(1), ServiceId(2), RequestId(~0ULL), 4,
          true,       Duration(-5), Payload,          Duration(7)};
}

Forward forwardOf(Message Body) {
  return {InstanceId(1),
          {InstanceId(2), BootId(3)},
          std::make_shared<const ForwardedMessage>(
              ForwardedMessage{std::move(Body)})};
}

// One message of each kind, in the order of Message, with values at the ends
// of their ranges.
std::vector<Message> samples() {
  const Endpoint Caller{0xffffffff, 1};
  return {
      sampleRequest(),
      Reply{FlowKey(1), RequestId(2), Outcome::RefusedNotRun, Duration(3), ""},
      Cancel{FlowKey(1), ServiceId(2), RequestId(3)},
      CloseFlow{FlowKey(1), ServiceId(2)},
      Relay{Caller, 4, sampleRequest()},
      Submit{SubmitId(1), ServiceId(2), UpstreamId(~0ULL), FlowKey(3),
             RequestId(4), true, true, Duration(30'000'000), Payload},
      SubmitResult{SubmitId(1), SubmitStatus::Redirect, UpstreamId(2), true,
                   Duration(3), Payload, true},
      CancelSubmit{SubmitId(1)},
      ReleaseFlow{UpstreamId(1), FlowKey(2)},
      Dispatch{ConnectionId(1), DispatchId(2), ServiceId(3), FlowKey(4),
               RequestId(5), true, Duration(6), Payload},
      DispatchResult{ConnectionId(1), DispatchId(2), DispatchStatus::Cancelled,
                     Payload},
      CancelDispatch{ConnectionId(1), DispatchId(2)},
      Ping{ConnectionId(1)},
      Pong{ConnectionId(2)},
      CloseConnection{ConnectionId(3)},
      LoadReport{{{UpstreamId(1), ~0U, 2, 3, 4, true, true}, {}}},
      PinReplica{Pins},
      Probe{1, ConfigVersion(2), Updates, true, InstanceId(~0ULL)},
      ProbeAck{~0ULL, ConfigVersion(2), Updates, InstanceId(~0ULL)},
      IndirectProbe{1, InstanceId(2)},
      forwardOf(sampleRequest()),
      HandoverBatch{1,
                    true,
                    {{65535, Duration(7)}},
                    Pins,
                    {{FlowKey(1), RequestId(2), true, RequestPhase::Finished,
                      Outcome::Unknown, Duration(3), Duration(4), Payload,
                      ServiceId(5), InstanceId(6)}},
                    {{UpstreamId(1), 2, 3, 4}}},
      HandoverAck{9},
      ConfigPull{ConfigVersion(1), ConfigVersion(2), ~0U},
      ConfigChunk{ConfigVersion(1), true, 2, 3, Payload}};
}

std::string encodeOrFail(const Message &Body) {
  std::string Bytes;
  EXPECT_FALSE(encodeDatagram(Origin, Body, Bytes));
  return Bytes;
}

std::error_code decodeError(std::string_view Bytes) {
  Sender DecodedSender;
  Message Body;
  return decodeDatagram(Bytes, DecodedSender, Body);
}

// A header in the compact protocol, written by hand.
std::string header(char ZigzagVersion, char ZigzagKind) {
  return {'\x15', ZigzagVersion, '\x15', ZigzagKind, '\0'};
}

// Guards against a field that is left out of the mapping or truncated: encoding
// again must give the same bytes, and the samples set every field.
TEST(WireCodec, EveryKindRoundTrips) {
  const std::vector<Message> Samples = samples();
  ASSERT_EQ(Samples.size(), std::variant_size_v<Message>);
  for (size_t Kind = 0; Kind < Samples.size(); ++Kind) {
    ASSERT_EQ(Samples[Kind].index(), Kind);
    const std::string Bytes = encodeOrFail(Samples[Kind]);
    Sender From;
    Message Body;
    ASSERT_FALSE(decodeDatagram(Bytes, From, Body)) << "kind " << Kind;
    EXPECT_EQ(From, Origin);
    EXPECT_EQ(Body.index(), Kind);
    EXPECT_EQ(encodeOrFail(Body), Bytes) << "kind " << Kind;
  }
}

// Guards against a request record that is not found after a handover because
// its service or holder was not encoded.
TEST(WireCodec, RequestRecordKeepsServiceAndHolder) {
  HandoverBatch Batch;
  Batch.Requests.push_back({FlowKey(1), RequestId(2), true,
                            RequestPhase::InProgress, Outcome::Unknown,
                            Duration(3), Duration(4), Payload, ServiceId(5),
                            InstanceId(6)});
  Sender From;
  Message Body;
  ASSERT_FALSE(decodeDatagram(encodeOrFail(Batch), From, Body));
  const RequestRecordCopy &Decoded =
      std::get<HandoverBatch>(Body).Requests.at(0);
  EXPECT_EQ(Decoded.Service, ServiceId(5));
  EXPECT_EQ(Decoded.Holder, InstanceId(6));
}

TEST(WireCodec, RequestKeepsItsValues) {
  Sender From;
  Message Body;
  ASSERT_FALSE(decodeDatagram(encodeOrFail(sampleRequest()), From, Body));
  const auto &Decoded = std::get<Request>(Body);
  EXPECT_EQ(Decoded.Flow, FlowKey(1));
  EXPECT_EQ(Decoded.Service, ServiceId(2));
  EXPECT_EQ(Decoded.Id, RequestId(~0ULL));
  EXPECT_EQ(Decoded.Attempt, 4U);
  EXPECT_TRUE(Decoded.Idempotent);
  EXPECT_EQ(Decoded.Deadline, Duration(-5));
  EXPECT_EQ(Decoded.Payload, Payload);
}

TEST(WireCodec, RelayCarriesEveryCallerPacket) {
  const Endpoint Caller{0x7f000001, 7000};
  const std::vector<CallerPacket> Packets = {
      sampleRequest(), Cancel{FlowKey(1), ServiceId(2), RequestId(3)},
      CloseFlow{FlowKey(1), ServiceId(2)}};
  for (const CallerPacket &Packet : Packets) {
    Sender From;
    Message Body;
    ASSERT_FALSE(
        decodeDatagram(encodeOrFail(Relay{Caller, 1, Packet}), From, Body));
    EXPECT_EQ(std::get<Relay>(Body).Packet.index(), Packet.index());
    EXPECT_EQ(std::get<Relay>(Body).Caller, Caller);
  }
}

// Guards against a relay whose packet is absent or ambiguous.
TEST(WireCodec, RelayNeedsExactlyOnePacket) {
  const std::string Head = header(2, 10);
  const std::string Caller = {'\x1c', '\x15', 2, '\x14', 2, 0, '\x15', 0};
  const std::string CancelField = {'\x2c', '\x16', 2, '\x15', 2, '\x16', 2, 0};
  const std::string CloseField = {'\x1c', '\x16', 2, '\x15', 2, 0};
  const std::string Stop(1, '\0');
  EXPECT_FALSE(decodeError(Head + Caller + CancelField + Stop));
  EXPECT_EQ(decodeError(Head + Caller + Stop), WireError::Malformed);
  EXPECT_EQ(decodeError(Head + Caller + CancelField + CloseField + Stop),
            WireError::Malformed);
}

TEST(WireCodec, ForwardCarriesAnyOtherMessageAndItsSender) {
  for (const Message &Sample : samples()) {
    if (std::holds_alternative<Forward>(Sample))
      continue;
    Sender From;
    Message Body;
    ASSERT_FALSE(decodeDatagram(encodeOrFail(forwardOf(Sample)), From, Body));
    const auto &Decoded = std::get<Forward>(Body);
    EXPECT_EQ(From, Origin);
    EXPECT_EQ(Decoded.Origin, (Sender{InstanceId(2), BootId(3)}));
    EXPECT_EQ(encodeOrFail(Decoded.Body->Body), encodeOrFail(Sample));
  }
}

// Guards against recursion whose depth is limited only by the datagram size.
TEST(WireCodec, ForwardInForwardIsRefused) {
  std::string Bytes;
  EXPECT_EQ(
      encodeDatagram(Origin, forwardOf(forwardOf(sampleRequest())), Bytes),
      WireError::Malformed);
  const std::string Inner = encodeOrFail(forwardOf(Ping{ConnectionId(1)}));
  const std::string Outer = header(2, 42) + std::string("\x16\x02\x18") +
                            static_cast<char>(Inner.size()) + Inner +
                            std::string(1, '\0');
  EXPECT_EQ(decodeError(Outer), WireError::Malformed);
  EXPECT_FALSE(decodeError(encodeOrFail(sampleRequest())));
}

// Guards against a truncated datagram that is decoded as a shorter one.
TEST(WireCodec, EveryPrefixIsRefused) {
  for (const Message &Sample : samples()) {
    const std::string Bytes = encodeOrFail(Sample);
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      EXPECT_TRUE(decodeError(std::string_view(Bytes).substr(0, Size)))
          << "kind " << Sample.index() << ", " << Size << " bytes";
  }
  EXPECT_EQ(decodeError(""), WireError::Truncated);
}

TEST(WireCodec, TrailingBytesAreRefused) {
  for (const Message &Sample : samples())
    EXPECT_EQ(decodeError(encodeOrFail(Sample) + '\0'), WireError::Malformed);
}

TEST(WireCodec, OversizedDatagramsAreRefusedOnBothSides) {
  EXPECT_EQ(decodeError(std::string(MaxDatagramBytes + 1, '\0')),
            WireError::Oversized);
  Request Large = sampleRequest();
  std::string Bytes;
  for (const size_t Size : {MaxDatagramBytes, 10 * MaxDatagramBytes}) {
    Large.Payload.assign(Size, 'x');
    EXPECT_EQ(encodeDatagram(Origin, Large, Bytes), WireError::Oversized);
  }
  Large.Payload.assign(MaxDatagramBytes - 100, 'x');
  EXPECT_FALSE(decodeError(encodeOrFail(Large)));
}

TEST(WireCodec, WrongVersionAndUnknownKindsAreRefused) {
  const std::string Ping = {'\x16', 2, 0};
  EXPECT_FALSE(decodeError(header(2, 26) + Ping));
  EXPECT_EQ(decodeError(header(4, 26) + Ping), WireError::WrongVersion);
  EXPECT_EQ(decodeError(header(2, 0) + Ping), WireError::UnknownKind);
  EXPECT_EQ(decodeError(header(2, 1) + Ping), WireError::UnknownKind);
  EXPECT_EQ(decodeError(header(2, 52) + Ping), WireError::UnknownKind);
}

TEST(WireCodec, MissingRequiredFieldsAreRefused) {
  for (char Kind = 2; Kind <= 50; Kind += 2)
    EXPECT_EQ(decodeError(header(2, Kind) + std::string(1, '\0')),
              WireError::Malformed)
        << "kind " << Kind / 2;
}

// Guards against allocation for a claimed size that the datagram cannot hold.
TEST(WireCodec, ClaimedSizesBeyondTheDatagramAreRefused) {
  const std::string Huge = "\xff\xff\xff\xff\x07";
  const std::string Pins = header(2, 34) + "\x19\xfc" + Huge;
  EXPECT_TRUE(decodeError(Pins));
  const std::string Forward = header(2, 42) + "\x16\x02\x18" + Huge;
  EXPECT_TRUE(decodeError(Forward));
  const std::string UnknownList = header(2, 26) + "\x79\xfc" + Huge;
  EXPECT_TRUE(decodeError(UnknownList));
}

// Guards against a stack overflow when unknown fields are skipped.
TEST(WireCodec, DeepNestingIsRefused) {
  EXPECT_TRUE(decodeError(header(2, 26) + std::string(50'000, '\x7c')));
}

TEST(WireCodec, OutOfRangeEnumsDurationsAndBucketsAreRefused) {
  Reply Bad{FlowKey(1), RequestId(2), static_cast<Outcome>(3), {}, ""};
  EXPECT_EQ(decodeError(encodeOrFail(Bad)), WireError::Malformed);
  const std::string Negative = {'\x16', 2, '\x16', 2, '\x15', 1, 0};
  EXPECT_EQ(decodeError(header(2, 4) + Negative), WireError::Malformed);
  const std::string HugeDuration = "\x16\x02\x16\x02\x15\x02\x16"
                                   "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01";
  EXPECT_EQ(decodeError(header(2, 4) + HugeDuration + std::string(1, '\0')),
            WireError::Malformed);
  HandoverBatch Batch;
  Batch.Buckets.push_back({65536, Duration(0)});
  EXPECT_EQ(decodeError(encodeOrFail(Batch)), WireError::Malformed);
}

// Guards against protocol objects that keep state after a failed decoding.
TEST(WireCodec, DecodingWorksAfterEveryFailure) {
  const std::string Good = encodeOrFail(sampleRequest());
  for (const Message &Sample : samples()) {
    const std::string Bytes = encodeOrFail(Sample);
    EXPECT_TRUE(
        decodeError(std::string_view(Bytes).substr(0, Bytes.size() / 2)));
    EXPECT_FALSE(decodeError(Good));
    EXPECT_EQ(encodeOrFail(sampleRequest()), Good);
  }
}

TEST(WireCodec, RandomBytesAreRejected) {
  std::mt19937_64 Random(20260101);
  std::string Bytes;
  for (int Round = 0; Round < 200'000; ++Round) {
    Bytes.resize(Random() % 200);
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    EXPECT_TRUE(decodeError(Bytes));
  }
}

// Mutated datagrams get further in the decoder than random bytes. A datagram
// that decodes must give a valid message, which encodes and decodes again.
TEST(WireCodec, MutatedDatagramsDecodeToValidMessagesOrFail) {
  std::mt19937_64 Random(20260102);
  const std::vector<Message> Samples = samples();
  for (int Round = 0; Round < 200'000; ++Round) {
    std::string Bytes = encodeOrFail(Samples[Random() % Samples.size()]);
    for (uint64_t Left = 1 + Random() % 3; Left > 0; --Left)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    if (Random() % 4 == 0)
      Bytes.insert(Random() % Bytes.size(), 1, static_cast<char>(Random()));
    Sender From;
    Message Body;
    if (decodeDatagram(Bytes, From, Body))
      continue;
    std::string Reencoded;
    ASSERT_FALSE(encodeDatagram(From, Body, Reencoded));
    EXPECT_FALSE(decodeError(Reencoded));
  }
}

} // namespace
} // namespace indigopoint
