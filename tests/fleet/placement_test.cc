#include "basilspring/fleet/placement.h"

#include <gtest/gtest.h>

#include "fleet_harness.h"

namespace basilspring::fleet {
namespace {

Candidate MakeCandidate(const char* rack, std::int64_t free) {
  Candidate candidate;
  candidate.rack = rack;
  candidate.capacity = {64000, 64000, 8};
  candidate.free = {64000, 64000, free};
  return candidate;
}

// Guards against small tasks spread over all workers, which leaves no whole worker for wide tasks.
TEST(FleetPlacementTest, FillsTheTightestWorkerFirst) {
  const auto placed =
      PlaceNow(MakeStep(1, 1, 100), 1, {MakeCandidate("r", 8), MakeCandidate("r", 2)});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->workers, (std::vector<std::size_t>{1}));
}

TEST(FleetPlacementTest, PlacesAGangWholeOrNotAtAll) {
  StepSpec gang = MakeStep(3, 8, 100);
  gang.gang = true;
  const std::vector<Candidate> two = {MakeCandidate("r", 8), MakeCandidate("r", 8)};
  EXPECT_FALSE(PlaceNow(gang, 3, two));
  gang.gang = false;
  const auto part = PlaceNow(gang, 3, two);
  ASSERT_TRUE(part);
  EXPECT_EQ(part->workers.size(), 2U);
}

TEST(FleetPlacementTest, KeepsAGangInOneRackIfOneCanHoldIt) {
  StepSpec gang = MakeStep(2, 8, 100);
  gang.gang = true;
  gang.same_rack = true;
  const std::vector<Candidate> split = {MakeCandidate("r1", 8), MakeCandidate("r1", 0),
                                        MakeCandidate("r2", 8)};
  EXPECT_FALSE(PlaceNow(gang, 2, split));
  EXPECT_TRUE(PlaceNow(gang, 2, split, true));
  const auto whole =
      PlaceNow(gang, 2, {MakeCandidate("r1", 8), MakeCandidate("r2", 8), MakeCandidate("r2", 8)});
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole->workers, (std::vector<std::size_t>{1, 2}));
}

TEST(FleetPlacementTest, RespectsLabelsAndTheLimitPerWorker) {
  StepSpec step = MakeStep(2, 1, 100);
  step.required_label = "fast";
  const std::vector<std::string> labels = {"fast", "r"};
  Candidate labelled = MakeCandidate("r", 8);
  labelled.labels = &labels;
  const std::vector<Candidate> candidates = {MakeCandidate("r", 8), labelled};
  const auto placed = PlaceNow(step, 2, candidates);
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->workers, (std::vector<std::size_t>{1, 1}));
  step.max_per_worker = 1;
  EXPECT_EQ(PlaceNow(step, 2, candidates)->workers.size(), 1U);
}

TEST(FleetPlacementTest, StopsTheCheapestVictims) {
  Candidate expensive = MakeCandidate("r", 0);
  expensive.victims = {{{1000, 1000, 8}, 100.0, 0}};
  Candidate cheap = MakeCandidate("r", 4);
  cheap.victims = {{{1000, 1000, 4}, 5.0, 1}};
  const auto placed = PlaceWithVictims(MakeStep(1, 8, 100), 1, {expensive, cheap});
  ASSERT_TRUE(placed);
  EXPECT_EQ(placed->workers, (std::vector<std::size_t>{1}));
  EXPECT_EQ(placed->victims, (std::vector<std::size_t>{1}));
  EXPECT_DOUBLE_EQ(placed->lost_work, 5.0);
}

}  // namespace
}  // namespace basilspring::fleet
