#include "peer_report_codec.h"

#include <chrono>
#include <random>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using std::chrono::milliseconds;

constexpr Endpoint Sender{0x0a010001, 8166};
constexpr Endpoint Receiver{0x0a010002, 8166};
const std::string Zone = "lim-a";

PeerReport reportOf(size_t EvidenceCount) {
  PeerReport Report{Sender, Zone, (uint64_t{1} << 63) + 5, {}};
  for (size_t Index = 0; Index < EvidenceCount; ++Index)
    Report.Evidence.push_back({UpstreamId(0xfedcba9876543210U + Index),
                               1'764'800'000'000, milliseconds(Index)});
  return Report;
}

std::optional<PeerReport> decode(std::string_view Bytes) {
  return decodePeerReport(Bytes, Receiver, Zone);
}

FlowAddress flowOf(uint32_t Number) {
  return {{0xfffffff0 + Number, 65'535}, {0xc6120001, 40'000}};
}

TEST(PeerReportCodecTest, KeepsAllFields) {
  PeerReport Report = reportOf(3);
  Report.Placements = {{flowOf(1), UpstreamId(~uint64_t{0}), 0xffffffff},
                       {flowOf(2), UpstreamId(2), 0}};
  Report.Queries = {flowOf(3), flowOf(4)};
  EXPECT_EQ(decode(encodePeerReport(Report)), Report);
  EXPECT_EQ(decode(encodePeerReport(reportOf(0))), reportOf(0));
}

// Guards against fragmented datagrams, and against old evidence that displaces
// new one.
TEST(PeerReportCodecTest, LeavesOutTheOldestEvidence) {
  for (size_t EvidenceCount : {0, 5, 14, 15, 16, 20, 50, 99, 100, 127, 400}) {
    PeerReport Report = reportOf(EvidenceCount);
    std::reverse(Report.Evidence.begin(), Report.Evidence.end());
    const std::string Bytes = encodePeerReport(Report);
    ASSERT_LE(Bytes.size(), MaxReportBytes);
    const auto Decoded = decode(Bytes);
    ASSERT_TRUE(Decoded) << EvidenceCount;
    const PeerReport Sorted = reportOf(EvidenceCount);
    EXPECT_TRUE(std::equal(Decoded->Evidence.begin(), Decoded->Evidence.end(),
                           Sorted.Evidence.begin()));
    EXPECT_GE(Decoded->Evidence.size(), std::min<size_t>(EvidenceCount, 30));
  }
}

// Guards against datagrams that are fragmented or not sent at all because of
// their flows.
TEST(PeerReportCodecTest, LeavesOutFlowsThatDoNotFit) {
  PeerReport Report = reportOf(20);
  for (uint32_t Number = 0; Number < 200; ++Number) {
    Report.Placements.push_back(
        {flowOf(Number), UpstreamId(~uint64_t{Number}), Number});
    Report.Queries.push_back(flowOf(Number));
  }
  const std::string Bytes = encodePeerReport(Report);
  ASSERT_LE(Bytes.size(), MaxReportBytes);
  const auto Decoded = decode(Bytes);
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded->Evidence.size(), 20U);
  EXPECT_GE(Decoded->Placements.size(), 10U);
}

TEST(PeerReportCodecTest, RejectsForeignReports) {
  const std::string Bytes = encodePeerReport(reportOf(1));
  EXPECT_TRUE(decodePeerReport(Bytes, Receiver, Zone));
  EXPECT_FALSE(decodePeerReport(Bytes, Receiver, "lim-b"));
  EXPECT_FALSE(decodePeerReport(Bytes, Sender, Zone));
  PeerReport Unknown = reportOf(1);
  Unknown.Sender.Port = 0;
  EXPECT_FALSE(decode(encodePeerReport(Unknown)));
}

TEST(PeerReportCodecTest, RejectsEachTruncationAndTrailingBytes) {
  const std::string Bytes = encodePeerReport(reportOf(3));
  for (size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_FALSE(decode(std::string_view(Bytes).substr(0, Size))) << Size;
  EXPECT_FALSE(decode(Bytes + '\0'));
  EXPECT_FALSE(decode(Bytes + Bytes));
  EXPECT_FALSE(decode(Bytes + std::string(MaxReportBytes, '\0')));
}

// Guards against one absurd value, such as a rate that was divided by zero,
// that makes the other instances reject everything that this one reports.
TEST(PeerReportCodecTest, LeavesOutImplausibleEntries) {
  PeerReport Report = reportOf(2);
  const PeerReport Expected = Report;
  Report.Evidence.push_back({UpstreamId(1), 1, Duration(-1)});
  Report.Evidence.push_back({UpstreamId(2), 1, std::chrono::hours(1)});
  Report.Evidence.push_back(Expected.Evidence[0]);
  EXPECT_EQ(decode(encodePeerReport(Report)), Expected);
}

// Replaces the only occurrence of a byte sequence by another of its length.
std::string replaced(std::string Bytes, const std::string &From,
                     const std::string &To) {
  const size_t At = Bytes.find(From);
  EXPECT_NE(At, std::string::npos);
  EXPECT_EQ(Bytes.find(From, At + 1), std::string::npos);
  return Bytes.replace(At, From.size(), To);
}

TEST(PeerReportCodecTest, RejectsImplausibleAges) {
  // 60 s in microseconds, as a zigzag number of four bytes with the field
  // header of an i64.
  PeerReport Report{Sender, Zone, 1, {}};
  Report.Evidence.push_back({UpstreamId(7), 0, std::chrono::seconds(60)});
  const std::string Bytes = encodePeerReport(Report);
  ASSERT_TRUE(decode(Bytes));
  const std::string Age = "\x80\x9c\x9c\x39";
  EXPECT_TRUE(decode(replaced(Bytes, Age, "\x80\x9c\x9c\x38")));
  EXPECT_FALSE(decode(replaced(Bytes, Age, "\x82\x9c\x9c\x39")));
  EXPECT_FALSE(decode(replaced(Bytes, Age, "\x81\x9c\x9c\x38"))) << "negative";
}

TEST(PeerReportCodecTest, RejectsOtherVersions) {
  // The first field of the struct: header byte, version 1 as zigzag number 2.
  const std::string Bytes = encodePeerReport(reportOf(1));
  ASSERT_EQ(Bytes.substr(0, 2), "\x15\x02");
  EXPECT_FALSE(decode("\x15\x04" + Bytes.substr(2)));
}

// Guards against reports of another version that are lost for a field which
// this version does not know: an empty list with the id 6.
TEST(PeerReportCodecTest, IgnoresUnknownFields) {
  std::string Bytes = encodePeerReport(reportOf(1));
  Bytes.insert(Bytes.size() - 1, "\x19\x0c");
  EXPECT_EQ(decode(Bytes), reportOf(1));
}

TEST(PeerReportCodecTest, SendsNothingForAnOverlongZone) {
  PeerReport Report = reportOf(1);
  Report.Zone = std::string(MaxReportBytes, 'z');
  EXPECT_EQ(encodePeerReport(Report), "");
}

// Guards against crashes, endless loops and large allocations in the decoder.
// What it accepts must be within the limits.
TEST(PeerReportCodecTest, SurvivesRandomBytes) {
  std::mt19937 Random(7);
  const std::string Valid = encodePeerReport(reportOf(18));
  const auto Start = std::chrono::steady_clock::now();
  size_t Accepted = 0;
  for (int Round = 0; Round < 50'000; ++Round) {
    std::string Bytes;
    if (Round % 2 == 0) {
      Bytes.resize(Random() % (MaxReportBytes + 10));
      for (char &Byte : Bytes)
        Byte = static_cast<char>(Random());
    } else {
      Bytes = Valid;
      for (uint32_t Changes = 1 + Random() % 4; Changes > 0; --Changes)
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    }
    const auto Decoded = decode(Bytes);
    if (!Decoded)
      continue;
    ++Accepted;
    EXPECT_EQ(Decoded->Zone, Zone);
    EXPECT_NE(Decoded->Sender, Receiver);
    for (const UpstreamEvidence &Entry : Decoded->Evidence) {
      EXPECT_GE(Entry.Age, Duration());
      EXPECT_LE(Entry.Age, std::chrono::seconds(60));
    }
  }
  EXPECT_GT(Accepted, 0U);
  EXPECT_LT(std::chrono::steady_clock::now() - Start, std::chrono::seconds(20));
}

} // namespace
} // namespace indigopoint
