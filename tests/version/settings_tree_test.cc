#include "basilspring/version/settings_tree.h"

#include <gtest/gtest.h>

#include "basilspring/error.h"

namespace basilspring {
namespace {

const SettingScope kQuotesInPlovdiv = {RegionId("bg-south"), DataCentreId("plovdiv-a"),
                                       WorkspaceId("quotes")};

std::string ErrorOf(const std::vector<ConfigNode>& nodes) {
  try {
    SettingsTree::FromNodes(nodes);
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

// Guards against a higher node that overrides a lower one, at each step of the lookup order.
TEST(SettingsTree, LowerNodeOverridesHigherOne) {
  SettingsTree tree;
  const std::vector<std::string> order = {"default",     "/",
                                          "/bg-south",   "/bg-south/plovdiv-a",
                                          "/*/*/quotes", "/bg-south/plovdiv-a/quotes"};
  for (std::size_t i = 1; i < order.size(); ++i) {
    EXPECT_EQ(tree.Resolve("weight", kQuotesInPlovdiv).node, order[i - 1]);
    tree.Set(order[i], "weight", SettingValue(static_cast<std::int64_t>(i)));
    EXPECT_EQ(tree.ResolveNumber("weight", kQuotesInPlovdiv), static_cast<std::int64_t>(i));
  }
}

// Guards against settings of one workspace or data centre that apply to another.
TEST(SettingsTree, NodesApplyOnlyToTheirOwnScope) {
  const SettingsTree tree = SettingsTree::FromNodes(
      {{"/bg-south/plovdiv-a", R"({"state":"out"})"}, {"/*/*/labels", R"({"weight":7})"}});
  EXPECT_EQ(tree.ResolveText("state", {RegionId("bg-south"), DataCentreId("stara-zagora-a"), {}}),
            "in");
  EXPECT_EQ(tree.ResolveNumber("weight", kQuotesInPlovdiv), 100);
}

// Guards against accepting an invalid value, and against errors that don't say what is allowed.
TEST(SettingsTree, RejectsUnknownKeysTypesRangesAndPaths) {
  EXPECT_NE(ErrorOf({{"/", R"({"wait":1})"}}).find("there is no setting \"wait\""),
            std::string::npos);
  EXPECT_NE(ErrorOf({{"/", R"({"weight":"1"})"}}).find("a whole number"), std::string::npos);
  EXPECT_NE(ErrorOf({{"/", R"({"weight":0})"}}).find("from 1 to 10000"), std::string::npos);
  EXPECT_NE(ErrorOf({{"/a/b", R"({"state":"gone"})"}}).find("in|out"), std::string::npos);
  EXPECT_NE(ErrorOf({{"/*/b", "{}"}}).find("is not a node"), std::string::npos);
  EXPECT_NE(ErrorOf({{"/a/", "{}"}}).find("is not a node"), std::string::npos);
}

// Guards against a cell that gets the settings of other data centres or lacks its own.
TEST(SettingsTree, FilterKeepsTheNodesOfOneDataCentre) {
  const SettingsTree tree =
      SettingsTree::FromNodes({{"/", R"({"weight":1})"},
                               {"/bg-south", R"({"weight":2})"},
                               {"/bg-north", R"({"weight":3})"},
                               {"/bg-south/plovdiv-a/quotes", R"({"weight":4})"},
                               {"/bg-south/stara-zagora-a", R"({"weight":5})"},
                               {"/*/*/quotes", R"({"workspace":true})"}});
  const SettingsTree filtered = SettingsTree::FromNodes(
      tree.FilterFor(kQuotesInPlovdiv.region, kQuotesInPlovdiv.data_centre));
  EXPECT_EQ(filtered.nodes().size(), 4U);
  EXPECT_EQ(filtered.ResolveNumber("weight", kQuotesInPlovdiv), 4);
  EXPECT_EQ(filtered.Workspaces(), std::vector<WorkspaceId>{WorkspaceId("quotes")});
}

TEST(SettingsTree, NodesAreUnchangedAfterARoundTrip) {
  SettingsTree tree;
  tree.Set("/a/b/c", "workspace", SettingValue(true));
  tree.Set("/a/b", "state", SettingValue(std::string("out")));
  EXPECT_EQ(SettingsTree::FromNodes(tree.ToNodes()).nodes(), tree.nodes());
  tree.Set("/a/b", "state", std::nullopt);
  EXPECT_EQ(tree.nodes().count("/a/b"), 0U);
}

}  // namespace
}  // namespace basilspring
