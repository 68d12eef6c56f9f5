#include "basilspring/request/routing.h"

#include <gtest/gtest.h>

namespace basilspring {
namespace {

constexpr TimePoint kNow(100000);

CellCandidate Cell(const std::string& id, const std::string& region, std::int64_t wait_ms = 0) {
  CellCandidate cell;
  CellSummary& summary = cell.summary;
  summary.cell = CellId(id);
  summary.region = RegionId(region);
  summary.data_centre = DataCentreId(id.substr(0, id.find('/')));
  summary.epoch = Epoch(1);
  summary.scheduler = Address{"127.0.0.1", 9000};
  summary.workers = 10;
  summary.free_accelerators = 80;
  summary.total_accelerators = 80;
  summary.free_slots = 80;
  summary.free_runs = {80, 40, 20, 10};
  summary.estimated_wait = std::vector<Duration>(kJobClassCount, Duration(wait_ms));
  summary.racks = {{1, 10, 8}};
  summary.ready = true;
  return cell;
}

class RoutingTest : public testing::Test {
 protected:
  RoutingResult Route(const std::vector<CellCandidate>& cells, const LinkBudget* link = nullptr) {
    RoutingInput input{&job_, kNow, RegionId("south"), &cells, link, avoid_};
    return RouteJob(input);
  }
  std::string Chosen(const std::vector<CellCandidate>& cells, const LinkBudget* link = nullptr) {
    const RoutingResult result = Route(cells, link);
    const auto* const routed = std::get_if<Routed>(&result);
    return routed == nullptr ? "" : routed->cell.value();
  }
  ErrorKind Refusal(const std::vector<CellCandidate>& cells, const LinkBudget* link = nullptr) {
    const RoutingResult result = Route(cells, link);
    const auto* const refusal = std::get_if<NotRouted>(&result);
    return refusal == nullptr ? ErrorKind::kNone : refusal->kind;
  }

  JobSpec job_;
  std::set<CellId> avoid_;
};

// Guards against using the billed link when the gain in wait doesn't justify the bytes.
TEST_F(RoutingTest, ChoosesAnotherRegionOnlyForASufficientGain) {
  const LinkBudget link(30000);
  EXPECT_EQ(Chosen({Cell("a/0", "south", 900), Cell("b/0", "north", 0)}, &link), "a/0");
  EXPECT_EQ(Chosen({Cell("a/0", "south", 60000), Cell("b/0", "north", 0)}, &link), "b/0");
  job_.payload = std::string(kMaxPayloadBytes, 'x');
  EXPECT_EQ(Chosen({Cell("a/0", "south", 1500), Cell("b/0", "north", 0)}, &link), "a/0");
}

// Guards against exceeding the link budget.
TEST_F(RoutingTest, AnExhaustedLinkBudgetKeepsJobsLocalOrRefusesThem) {
  LinkBudget link(30000);
  while (link.TryTake(kNow, 10000)) {
  }
  EXPECT_EQ(Chosen({Cell("a/0", "south", 60000), Cell("b/0", "north", 0)}, &link), "a/0");
  EXPECT_EQ(Refusal({Cell("b/0", "north", 0)}, &link), ErrorKind::kOverloaded);
  EXPECT_TRUE(link.Has(kNow + Duration(1000), 100000));
  EXPECT_FALSE(LinkBudget(0).Has(kNow, 1));
}

// Guards against routing jobs to a data centre out of service or to a cell without a scheduler.
TEST_F(RoutingTest, ExcludesDataCentresOutOfServiceAndCellsWithoutScheduler) {
  CellCandidate out = Cell("a/0", "south");
  out.in_service = false;
  CellCandidate not_ready = Cell("b/0", "south");
  not_ready.summary.ready = false;
  CellCandidate old = Cell("c/0", "south");
  old.current = false;
  EXPECT_EQ(Chosen({out, not_ready, old, Cell("d/0", "south", 5000)}), "d/0");
  EXPECT_EQ(Refusal({out}), ErrorKind::kDataCentreOut);
  EXPECT_EQ(Refusal({out, not_ready, old}), ErrorKind::kNoScheduler);
  EXPECT_EQ(Refusal({}), ErrorKind::kNoScheduler);
}

// Guards against queueing a job that can never run, and against refusing one as "never fits" while
// a cell that is out of service could hold it.
TEST_F(RoutingTest, ReportsNeverFitsOnlyWhenNoCellCanEverHoldTheJob) {
  job_.shape.accelerators = Accelerators(16);
  EXPECT_EQ(Refusal({Cell("a/0", "south"), Cell("b/0", "north")}), ErrorKind::kNeverFits);
  CellCandidate large = Cell("b/0", "south");
  large.summary.racks = {{1, 5, 16}};
  large.in_service = false;
  EXPECT_EQ(Refusal({Cell("a/0", "south"), large}), ErrorKind::kDataCentreOut);
  // Each rack is described by its smallest worker, so the cell may have one larger worker.
  CellCandidate mixed = Cell("c/0", "south");
  mixed.summary.racks = {{1, 10, 4}};
  EXPECT_EQ(Chosen({mixed}), "c/0");
}

// Guards against queueing a job while another cell has free capacity, and against splitting large
// runs for small jobs.
TEST_F(RoutingTest, PrefersShortWaitsThenFreeCapacityThenTheTighterFit) {
  EXPECT_EQ(Chosen({Cell("a/0", "south", 5000), Cell("b/0", "south", 100)}), "b/0");
  job_.shape.accelerators = Accelerators(1);
  CellCandidate fragmented = Cell("b/0", "south");
  fragmented.summary.free_runs = {5, 0, 0, 0};
  EXPECT_EQ(Chosen({Cell("a/0", "south"), fragmented}), "b/0");
  fragmented.tasks_sent = 5;
  EXPECT_EQ(Chosen({Cell("a/0", "south"), fragmented}), "b/0");
  job_.shape.adjacent = true;
  EXPECT_EQ(Chosen({Cell("a/0", "south"), fragmented}), "a/0");
}

TEST_F(RoutingTest, AvoidsCellsThatRefusedAndReportsOneLinePerCandidate) {
  avoid_.insert(CellId("a/0"));
  const RoutingResult result = Route({Cell("a/0", "south"), Cell("b/0", "south", 9000)});
  ASSERT_TRUE(std::holds_alternative<Routed>(result));
  EXPECT_EQ(std::get<Routed>(result).cell, CellId("b/0"));
  EXPECT_EQ(std::get<Routed>(result).candidates.size(), 2U);
  EXPECT_EQ(Refusal({Cell("a/0", "south")}), ErrorKind::kNoCapacity);
}

}  // namespace
}  // namespace basilspring
