#include "platform/packet_codec.h"

#include <random>

#include <gtest/gtest.h>

namespace indigopoint::platform {
namespace {

std::string bytesOf(const std::string &Hex) {
  std::string Out;
  for (size_t Offset = 0; Offset + 1 < Hex.size(); Offset += 3)
    Out += static_cast<char>(std::stoi(Hex.substr(Offset, 2), nullptr, 16));
  return Out;
}

// The opening packet from the platform's specification.
const std::string Opening =
    bytesOf("a1 b2 c3 d5 00 00 c6 12 00 01 01 bb 64 40 00 07 9c 41 11 22 33 44 "
            "00 00 00 00 00 00 00 00 20 ");

std::string packet(uint8_t Flags, const std::string &Data) {
  std::string Out = Opening;
  Out[4] = static_cast<char>(Data.size() >> 8);
  Out[5] = static_cast<char>(Data.size());
  Out[30] = static_cast<char>(Flags);
  return Out + Data;
}

TEST(PacketCodecTest, DecodesTheHeader) {
  PacketHeader Header;
  ASSERT_TRUE(decodePacket(Opening, Header));
  EXPECT_EQ(toString(Header.Flow), "100.64.0.7:40001>198.18.0.1:443");
  EXPECT_EQ(Header.Sequence, 0x11223344U);
  EXPECT_TRUE(Header.IsOpening);
  EXPECT_FALSE(Header.IsFinal || Header.IsReset);
  EXPECT_EQ(Header.Tag, FlowTag(0));
  ASSERT_TRUE(decodePacket(packet(1 | 4, "abc"), Header));
  EXPECT_FALSE(Header.IsOpening);
  EXPECT_TRUE(Header.IsFinal);
  EXPECT_EQ(Header.DataBytes, 3);
}

TEST(PacketCodecTest, ForwardingChangesOnlyTheTag) {
  const std::string Packet = packet(1, "payload");
  std::string Out;
  encodeForward(Packet, UpstreamId(0x407f3a91c2), FlowTag(0xa1b2c3d4), Out);
  EXPECT_EQ(Out.substr(0, 8), bytesOf("00 00 00 40 7f 3a 91 c2 "));
  std::string Expected = Packet;
  Expected.replace(26, 4, bytesOf("a1 b2 c3 d4 "));
  EXPECT_EQ(Out.substr(8), Expected);
}

// The reset from the platform's specification.
TEST(PacketCodecTest, ResetIsSentFromServiceToClient) {
  PacketHeader Packet;
  ASSERT_TRUE(decodePacket(Opening, Packet));
  std::string Out;
  encodeReset(Packet, Out);
  EXPECT_EQ(Out,
            bytesOf("00 00 00 00 00 00 64 40 00 07 9c 41 c6 12 00 01 01 bb 00 "
                    "00 00 00 00 00 00 00 00 00 00 00 80 "));
}

// A client accepts a reset of an established flow only if its sequence number
// is close to the last number that the client acknowledged.
TEST(PacketCodecTest, ResetOfAnEstablishedFlowUsesTheAckNumber) {
  PacketHeader Packet;
  ASSERT_TRUE(decodePacket(packet(1, "abc"), Packet));
  Packet.AckNumber = 0x01020304;
  std::string Out;
  encodeReset(Packet, Out);
  EXPECT_EQ(Out.substr(18, 4), bytesOf("01 02 03 04 "));
}

TEST(PacketCodecTest, RejectsInvalidClientPackets) {
  PacketHeader Header;
  EXPECT_FALSE(decodePacket("", Header));
  EXPECT_FALSE(decodePacket(Opening.substr(0, 30), Header));
  EXPECT_FALSE(decodePacket(Opening + "x", Header));
  EXPECT_FALSE(decodePacket(packet(1, "abc").substr(0, 32), Header));
  // Only an upstream sends opening packets with an acknowledgement.
  EXPECT_FALSE(decodePacket(packet(32 | 1, ""), Header));
  EXPECT_TRUE(decodePacket(packet(1, std::string(1200, 'x')), Header));
  EXPECT_FALSE(decodePacket(packet(1, std::string(1201, 'x')), Header));
}

// Guards against a datagram that crashes the decoder or makes it read past the
// end of the datagram.
TEST(PacketCodecTest, HandlesRandomBytes) {
  std::mt19937 Random(7);
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes(Random() % 80, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    if (Bytes.size() >= 31 && Random() % 2 == 0) {
      Bytes[4] = 0;
      Bytes[5] = static_cast<char>(Bytes.size() - 31);
    }
    PacketHeader Header;
    if (decodePacket(Bytes, Header)) {
      EXPECT_EQ(Header.DataBytes, Bytes.size() - 31);
    }
  }
}

} // namespace
} // namespace indigopoint::platform
