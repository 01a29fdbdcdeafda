#include "route_table.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

constexpr Endpoint Address{1, 443};

RouteConfiguration configuration(uint64_t Version, std::vector<Route> Routes) {
  RouteConfiguration Configuration;
  Configuration.Version = ConfigVersion(Version);
  Configuration.Routes = std::move(Routes);
  return Configuration;
}

TEST(RouteTable, IgnoresVersionsThatAreNotHigher) {
  RouteTable Table;
  EXPECT_FALSE(Table.isLoaded());
  EXPECT_TRUE(
      Table.apply(configuration(7, {{"r", Address, {{"chat", 1}}}})).Applied);
  EXPECT_FALSE(Table.apply(configuration(7, {})).Applied);
  EXPECT_FALSE(Table.apply(configuration(3, {})).Applied);
  EXPECT_NE(Table.find(Address), nullptr);
  EXPECT_EQ(Table.version(), ConfigVersion(7));
}

TEST(RouteTable, CountsAddedAndRemovedRoutes) {
  RouteTable Table;
  Table.apply(configuration(
      1, {{"a", {1, 1}, {{"chat", 1}}}, {"b", {1, 2}, {{"chat", 1}}}}));
  const RouteTable::Change Change =
      Table.apply(configuration(2, {{"b", {1, 2}, {{"chat", 1}}},
                                    {"c", {1, 3}, {{"chat", 1}}},
                                    {"d", {1, 4}, {{"chat", 1}}}}));
  EXPECT_EQ(Change.Added, 2U);
  EXPECT_EQ(Change.Removed, 1U);
  EXPECT_EQ(Table.find({1, 1}), nullptr);
}

TEST(RouteTable, SplitsFlowsByWeight) {
  const Route SplitRoute{
      "r", Address, {{"chat", 90}, {"photos", 10}, {"off", 0}}};
  std::map<std::string, int> Count;
  for (uint32_t Client = 0; Client < 10'000; ++Client)
    ++Count[RouteTable::chooseShare(SplitRoute, {{Client, 1}, Address})
                ->Service];
  EXPECT_NEAR(Count["chat"], 9000, 200);
  EXPECT_NEAR(Count["photos"], 1000, 200);
  EXPECT_EQ(Count.count("off"), 0U);
}

TEST(RouteTable, RouteWithZeroTotalWeightChoosesNoService) {
  const Route ZeroWeightRoute{"r", Address, {{"chat", 0}}};
  EXPECT_EQ(RouteTable::chooseShare(ZeroWeightRoute, {{1, 1}, Address}),
            nullptr);
}

} // namespace
} // namespace indigopoint
