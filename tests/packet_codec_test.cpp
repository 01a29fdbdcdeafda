#include "platform/packet_codec.h"

#include <random>

#include <gtest/gtest.h>

namespace indigopoint::platform {
namespace {

std::string bytesOf(const std::string &Hex) {
  std::string Out;
  for (size_t At = 0; At + 1 < Hex.size(); At += 3)
    Out += static_cast<char>(std::stoi(Hex.substr(At, 2), nullptr, 16));
  return Out;
}

// The opening packet that the platform's page shows.
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

TEST(PacketCodec, ReadsTheHeader) {
  PacketHeader Got;
  ASSERT_TRUE(decodePacket(Opening, Got));
  EXPECT_EQ(toString(Got.Flow), "100.64.0.7:40001>198.18.0.1:443");
  EXPECT_EQ(Got.Sequence, 0x11223344U);
  EXPECT_TRUE(Got.IsOpening);
  EXPECT_FALSE(Got.IsFinal || Got.IsReset);
  EXPECT_EQ(Got.Tag, FlowTag(0));
  ASSERT_TRUE(decodePacket(packet(1 | 4, "abc"), Got));
  EXPECT_FALSE(Got.IsOpening);
  EXPECT_TRUE(Got.IsFinal);
  EXPECT_EQ(Got.DataBytes, 3);
}

TEST(PacketCodec, AForwardedPacketDiffersInItsTagOnly) {
  const std::string Given = packet(1, "payload");
  std::string Out;
  encodeForward(Given, UpstreamId(0x407f3a91c2), FlowTag(0xa1b2c3d4), Out);
  EXPECT_EQ(Out.substr(0, 8), bytesOf("00 00 00 40 7f 3a 91 c2 "));
  std::string Expected = Given;
  Expected.replace(26, 4, bytesOf("a1 b2 c3 d4 "));
  EXPECT_EQ(Out.substr(8), Expected);
}

// The reset that the platform's page shows.
TEST(PacketCodec, AResetGoesFromTheServiceToTheClient) {
  PacketHeader Packet;
  ASSERT_TRUE(decodePacket(Opening, Packet));
  std::string Out;
  encodeReset(Packet, Out);
  EXPECT_EQ(Out,
            bytesOf("00 00 00 00 00 00 64 40 00 07 9c 41 c6 12 00 01 01 bb 00 "
                    "00 00 00 00 00 00 00 00 00 00 00 80 "));
}

// A client takes a reset of an open flow only near what it has acknowledged.
TEST(PacketCodec, AResetOfAnOpenFlowCarriesItsAcknowledgement) {
  PacketHeader Packet;
  ASSERT_TRUE(decodePacket(packet(1, "abc"), Packet));
  Packet.AckNumber = 0x01020304;
  std::string Out;
  encodeReset(Packet, Out);
  EXPECT_EQ(Out.substr(18, 4), bytesOf("01 02 03 04 "));
}

TEST(PacketCodec, RefusesWhatIsNoPacketOfAClient) {
  PacketHeader Got;
  EXPECT_FALSE(decodePacket("", Got));
  EXPECT_FALSE(decodePacket(Opening.substr(0, 30), Got));
  EXPECT_FALSE(decodePacket(Opening + "x", Got));
  EXPECT_FALSE(decodePacket(packet(1, "abc").substr(0, 32), Got));
  // Only an upstream acknowledges an opening packet.
  EXPECT_FALSE(decodePacket(packet(32 | 1, ""), Got));
  EXPECT_TRUE(decodePacket(packet(1, std::string(1200, 'x')), Got));
  EXPECT_FALSE(decodePacket(packet(1, std::string(1201, 'x')), Got));
}

// Any datagram may arrive; none may crash the decoder or be read beyond its
// end.
TEST(PacketCodec, RandomBytesDoNoHarm) {
  std::mt19937 Random(7);
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes(Random() % 80, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random());
    if (Bytes.size() >= 31 && Random() % 2 == 0) {
      Bytes[4] = 0;
      Bytes[5] = static_cast<char>(Bytes.size() - 31);
    }
    PacketHeader Got;
    if (decodePacket(Bytes, Got)) {
      EXPECT_EQ(Got.DataBytes, Bytes.size() - 31);
    }
  }
}

} // namespace
} // namespace indigopoint::platform
