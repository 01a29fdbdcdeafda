#include "platform/store_codec.h"

#include <functional>

#include <gtest/gtest.h>

#include "allocation_meter.h"
#include "base64.h"
#include "config_codec.h"
#include "health_poller.h"
#include "json_document.h"
#include "large_documents.h"
#include "odd_entries.h"
#include "peer_codec.h"
#include "platform_client.h"
#include "settings_reader.h"
#include "status_report.h"

namespace indigopoint {
namespace {

constexpr size_t LargestValueBytes = 1 << 20;
constexpr size_t BaseBytes = 512 << 10;

// A copy of the document, its longest text while it grows, and its values.
constexpr size_t StreamedFactor = 5;
// The operator's own files and the documents of "serve", which are kept whole.
constexpr size_t WholeFactor = 26;
// A peer's answer: uncompressed bytes, items as sent and as kept.
constexpr size_t PeerFactor = 24;

HttpResult responseOf(const std::string &Body) { return {200, Body, {}}; }

StoreQuery queryOf(StoreQuery::Kind QueryKind) {
  StoreQuery Query;
  Query.QueryKind = QueryKind;
  return Query;
}

std::string itemOf(const std::string &Value) {
  return R"({"items":[{"Key":"servers/i-b","Revision":1,"Value":")" +
         encodeBase64(Value) + R"("}],"StoreRevision":1})";
}

/// A reader of bytes that another program wrote, here the body of a response.
struct DocumentUser {
  std::string Name;
  size_t Factor;
  std::function<void(const HttpResult &Response)> Read;
  /// What the document stands in.
  std::function<std::string(const std::string &)> Wrap =
      [](const std::string &Bytes) { return Bytes; };
};

std::vector<DocumentUser> documentUsers() {
  using platform::decodeItem;
  using platform::decodeResult;
  const auto ReadItem = [](const std::string &Key) {
    return [Key](const HttpResult &Response) {
      decodeItem({Key, Response.Body});
    };
  };
  const auto ReadAnswer = [](StoreQuery::Kind QueryKind) {
    return [QueryKind](const HttpResult &Response) {
      decodeResult(queryOf(QueryKind), Response);
    };
  };
  return {
      // The document is held by an item or an answer meanwhile.
      {"Registration", StreamedFactor + 1, ReadItem("servers/i-b")},
      {"Configuration", StreamedFactor + 1, ReadItem("op/config")},
      {"Evacuation", StreamedFactor + 1, ReadItem("op/evacuate/a")},
      {"Snapshot", StreamedFactor, ReadAnswer(StoreQuery::Kind::Snapshot)},
      {"Watch", StreamedFactor, ReadAnswer(StoreQuery::Kind::Watch)},
      {"EntryInAnAnswer", StreamedFactor + 1,
       ReadAnswer(StoreQuery::Kind::Snapshot), itemOf},
      {"StoreOfServe", StreamedFactor, toStoreResult},
      {"InstanceList", StreamedFactor,
       [](const HttpResult &Response) {
         InstanceListObserved List;
         parseInstanceList(Response.Body, List);
       }},
      {"Health", StreamedFactor, parseHealthStatus},
      {"Settings", StreamedFactor,
       [](const HttpResult &Response) {
         readSettingsText(Response.Body, "file", [](SettingsReader &Reader) {
           std::string Zone;
           Reader.text("zone", Zone);
         });
       }},
      {"OperatorsFile", WholeFactor,
       [](const HttpResult &Response) {
         SiteErrors Errors;
         parseJson("file", Response.Body, Errors);
       }},
      {"ConfigurationInForce", StreamedFactor,
       [](const HttpResult &Response) {
         try {
           platform::jsonTextOf(Response.Body);
         } catch (const std::exception &) {
           // Neither JSON nor MessagePack.
         }
       }},
      {"ConfigurationOfServe", WholeFactor,
       [](const HttpResult &Response) {
         Configuration Config;
         decodeConfiguration(Response.Body, Config);
       }},
      {"ChangeOfServe", WholeFactor,
       [](const HttpResult &Response) {
         ConfigChange Change;
         decodeChange(Response.Body, Change);
       }},
      {"Status", WholeFactor,
       [](const HttpResult &Response) { statusText(Response.Body); }},
      {"PeerAnswer", PeerFactor,
       [](const HttpResult &Response) { decodePeerAnswer(Response.Body); }},
  };
}

class DocumentMemoryTest : public testing::TestWithParam<DocumentUser> {};

// Guards against a document of another writer that ends the process by its
// memory: as a list of empty maps, 1 MiB took 176 MiB to read, and as line
// feeds without an end 48 MiB.
TEST_P(DocumentMemoryTest, IsBoundedByTheSizeOfTheDocument) {
  for (const size_t Size : {size_t{4096}, size_t{100'000}, LargestValueBytes})
    for (const LargeDocument &Document : largeDocuments(Size)) {
      const HttpResult Response = responseOf(GetParam().Wrap(Document.Bytes));
      const AllocationMeter Meter;
      try {
        GetParam().Read(Response);
      } catch (const std::exception &Error) {
        ADD_FAILURE() << Document.Kind << " throws " << Error.what();
      }
      EXPECT_LE(Meter.peak(),
                BaseBytes + GetParam().Factor * Response.Body.size())
          << Document.Kind << " of " << Size << " bytes";
      EXPECT_LE(Meter.kept(), 1024U) << Document.Kind;
    }
}

INSTANTIATE_TEST_SUITE_P(AllReaders, DocumentMemoryTest,
                         testing::ValuesIn(documentUsers()),
                         [](const auto &Info) { return Info.param.Name; });

// Guards against a few bytes of a peer that become many items.
TEST(PeerAnswerMemoryTest, IsBoundedByTheSizeOfTheItems) {
  for (const size_t Count : {size_t{1}, size_t{1000}, size_t{100'000}}) {
    PackedItems Packed = packItems(std::vector<StoreItem>(Count));
    const std::string Bytes = encodePeerAnswer({}, Packed);
    const AllocationMeter Meter;
    const auto Answer = decodePeerAnswer(Bytes);
    EXPECT_LE(Meter.peak(), BaseBytes + PeerFactor * Packed.UnpackedBytes);
  }
}

// Guards against sound documents that the bound would refuse.
TEST(DocumentLimitTest, LongConfigurationsAreRead) {
  nlohmann::json Config = {{"Version", 7}};
  for (int Number = 0; Number < 4200; ++Number)
    Config["Routes"].push_back(
        {{"Name", "r" + std::to_string(Number)},
         {"Host", "198.18.0.1"},
         {"Prefix", "/" + std::to_string(Number + 1) + "/"},
         {"Service", "chat"},
         {"AimMs", 1}});
  const std::string Text = Config.dump();
  const std::vector<uint8_t> Packed = nlohmann::json::to_msgpack(Config);
  SiteErrors Errors;
  EXPECT_TRUE(parseJson("file", Text, Errors));
  for (const std::string &Value :
       {Text, std::string(Packed.begin(), Packed.end())}) {
    const AllocationMeter Meter;
    const DecodedItem Decoded = platform::decodeItem({"op/config", Value});
    ASSERT_TRUE(std::holds_alternative<RouteConfiguration>(Decoded));
    EXPECT_EQ(std::get<RouteConfiguration>(Decoded).Routes.size(), 4200U);
    EXPECT_LE(Meter.peak(), BaseBytes + StreamedFactor * Value.size());
    EXPECT_EQ(nlohmann::json::parse(platform::jsonTextOf(Value)), Config);
  }
}

// Guards against values that fill the memory of every instance for as long as
// they are in the store, and against an entry that hides others.
TEST(KeptValueTest, LargeEntriesAreKeptWithoutTheirContent) {
  std::vector<LargeDocument> Documents = largeDocuments(LargestValueBytes);
  Documents.push_back({"Padded", paddedRegistration(LargestValueBytes)});
  const AllocationMeter Meter;
  std::vector<StoreItem> Kept;
  for (const LargeDocument &Document : Documents) {
    const DecodedItem Before =
        platform::decodeItem({"servers/i-b", Document.Bytes});
    StoreResult Result =
        platform::decodeResult({}, responseOf(itemOf(Document.Bytes)));
    ASSERT_EQ(Result.Items.size(), 1U) << Document.Kind;
    const DecodedItem After = platform::decodeItem(Result.Items[0]);
    ASSERT_EQ(After.index(), Before.index()) << Document.Kind;
    if (const auto *Unreadable = std::get_if<UnreadableItem>(&After)) {
      EXPECT_EQ(Unreadable->Upstream, UpstreamId(0xb));
      EXPECT_EQ(Unreadable->Reason, std::get<UnreadableItem>(Before).Reason);
    }
    if (const auto *Upstream = std::get_if<UpstreamRegistration>(&After)) {
      EXPECT_EQ(*Upstream, std::get<UpstreamRegistration>(Before));
    }
    Kept.push_back(std::move(Result.Items[0]));
  }
  EXPECT_LE(Meter.kept(), Documents.size() * 1024);
}

} // namespace
} // namespace indigopoint
