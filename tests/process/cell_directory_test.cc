#include "basilspring/process/cell_directory.h"

#include <gtest/gtest.h>

namespace basilspring {
namespace {

constexpr TimePoint kNow(100000);
const Address kEntry{"127.0.0.1", 7400};
const Address kScheduler{"127.0.0.2", 7500};
const Address kAgent{"127.0.0.3", 7500};
const CellId kCell("a/0");

class CellDirectoryTest : public testing::Test {
 protected:
  CellDirectoryTest() : directory_(ProcessId("e1"), kEntry, RegionId("south")) {}

  std::vector<DirectoryMessage> Summarize(TimePoint now, std::uint64_t epoch,
                                          std::uint64_t revision) {
    CellSummary summary;
    summary.cell = kCell;
    summary.region = RegionId("south");
    summary.epoch = Epoch(epoch);
    summary.config_revision = ConfigRevision(revision);
    return directory_.OnSummary(now, kScheduler, summary);
  }

  CellDirectory directory_;
};

// Guards against agents that follow a scheduler whose lease has expired, because its last summaries
// arrive after the change in the store.
TEST_F(CellDirectoryTest, StoreOverridesSummariesAboutTheHolder) {
  directory_.OnCellChanged(kNow, kCell, kScheduler, Epoch(5));
  directory_.OnCellChanged(kNow, kCell, Address(), Epoch(5));
  Summarize(kNow, 5, 0);
  const DirectoryMessage answer =
      directory_.OnFindCell(kNow, kAgent, FindCell{kCell, WorkerId("w")});
  EXPECT_TRUE(std::get<CellHolder>(answer.message).holder.empty());
  EXPECT_EQ(std::get<CellHolder>(answer.message).epoch, Epoch(5));
}

// Guards against delaying agents that wait for the result of an election, and against messages to
// agents that asked more than 10 s ago and have found their scheduler since.
TEST_F(CellDirectoryTest, RecentRequestersAreToldOfANewHolder) {
  directory_.OnFindCell(kNow, kAgent, FindCell{kCell, WorkerId("w")});
  const auto told = directory_.OnCellChanged(kNow + Duration(9000), kCell, kScheduler, Epoch(5));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].to, kAgent);
  EXPECT_EQ(std::get<CellHolder>(told[0].message).holder, kScheduler);
  EXPECT_TRUE(directory_.OnCellChanged(kNow + Duration(11000), kCell, kAgent, Epoch(6)).empty());
}

// Guards against a cell that keeps an old configuration after an update was lost, and against a
// configuration that reverts to a lower revision.
TEST_F(CellDirectoryTest, ConfigurationIsSentAgainUntilASummaryShowsIt) {
  Summarize(kNow, 5, 0);
  EXPECT_EQ(directory_.SetConfiguration(kNow, ConfigRevision(7), SettingsTree()).size(), 1U);
  EXPECT_TRUE(directory_.SetConfiguration(kNow, ConfigRevision(6), SettingsTree()).empty());
  EXPECT_EQ(directory_.revision(), ConfigRevision(7));
  EXPECT_TRUE(Summarize(kNow + Duration(100), 5, 0).empty());
  const auto again = Summarize(kNow + Duration(1000), 5, 0);
  ASSERT_EQ(again.size(), 1U);
  EXPECT_FALSE(again[0].datagram);
  EXPECT_EQ(std::get<ConfigurationUpdate>(again[0].message).revision, ConfigRevision(7));
  EXPECT_TRUE(Summarize(kNow + Duration(2000), 5, 7).empty());
  EXPECT_EQ(directory_.in_force().at(kCell), ConfigRevision(7));
}

}  // namespace
}  // namespace basilspring
