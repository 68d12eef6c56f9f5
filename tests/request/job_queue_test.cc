#include "basilspring/request/job_queue.h"

#include <gtest/gtest.h>

#include "basilspring/request/capacity_reservation.h"

namespace basilspring {
namespace {

const WorkspaceId kQuotes("quotes");
const WorkspaceId kForecasts("forecasts");

QueueItem Item(const std::string& id, const WorkspaceId& workspace, JobClass job_class,
               std::int64_t submitted, std::uint32_t accelerators = 1) {
  QueueItem item;
  item.id = JobId(id);
  item.workspace = workspace;
  item.job_class = job_class;
  item.shape.accelerators = Accelerators(accelerators);
  item.run_time = Duration(1000);
  item.submitted = TimePoint(submitted);
  return item;
}

JobQueue MakeQueue() {
  JobQueue queue;
  queue.SetCapacity({100, 100000, 100, 10});
  return queue;
}

std::vector<JobId> Ids(const std::vector<std::string>& names) {
  return {names.begin(), names.end()};
}

// Guards against a burst of one workspace that delays all other workspaces until it is done.
TEST(JobQueue, WorkspacesTakeTurnsByWeight) {
  JobQueue queue = MakeQueue();
  queue.SetWorkspace(kQuotes, {.weight = 2});
  for (int i = 0; i < 6; ++i) {
    queue.Add(Item("f" + std::to_string(i), kForecasts, JobClass::kBatch, i), TimePoint(i));
  }
  for (int i = 0; i < 4; ++i) {
    queue.Add(Item("q" + std::to_string(i), kQuotes, JobClass::kBatch, 10 + i), TimePoint(10 + i));
  }
  EXPECT_EQ(queue.NextJobs(TimePoint(20), 6), Ids({"f0", "q0", "q1", "f1", "q2", "q3"}));
  queue.AddUsage(kForecasts, Item("x", kForecasts, JobClass::kBatch, 0, 4).shape);
  EXPECT_EQ(queue.NextJobs(TimePoint(20), 2), Ids({"q0", "q1"}));
}

// Guards against starvation of lower classes under a steady flow of urgent jobs, and against ageing
// that gives a whole backlog precedence over all other workspaces.
TEST(JobQueue, AgeingPromotesOnlyTheOldestJobOfAClass) {
  JobQueue queue = MakeQueue();
  const Duration step = QueueSettings().ageing_step;
  queue.Add(Item("b0", kForecasts, JobClass::kBackground, 0), TimePoint(0));
  queue.Add(Item("b1", kForecasts, JobClass::kBackground, 1), TimePoint(1));
  const TimePoint later = TimePoint(0) + step * 3;
  queue.Add(Item("u0", kQuotes, JobClass::kUrgent, later.milliseconds()), later);
  EXPECT_EQ(queue.NextJobs(later - step * 2, 3), Ids({"u0", "b0", "b1"}));
  EXPECT_EQ(queue.NextJobs(later, 3), Ids({"b0", "u0", "b1"}));
  queue.Dequeue(JobId("b0"), later);
  EXPECT_EQ(queue.NextJobs(later, 3), Ids({"u0", "b1"}));
}

// Guards against exceeding a workspace's quota by several jobs that are selected in the same round.
TEST(JobQueue, QuotaCountsJobsChosenInTheSameRound) {
  JobQueue queue = MakeQueue();
  queue.SetWorkspace(kQuotes, {.weight = 1, .quota_accelerators = 4});
  EXPECT_FALSE(queue.Add(Item("a", kQuotes, JobClass::kBatch, 0, 3), TimePoint(0)));
  EXPECT_FALSE(queue.Add(Item("b", kQuotes, JobClass::kBatch, 1, 2), TimePoint(1)));
  EXPECT_FALSE(queue.Add(Item("c", kQuotes, JobClass::kBatch, 2, 1), TimePoint(2)));
  EXPECT_EQ(queue.NextJobs(TimePoint(3), 9), Ids({"a", "c"}));
  const auto refusal = queue.Add(Item("d", kQuotes, JobClass::kBatch, 3, 5), TimePoint(3));
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->kind, ErrorKind::kQuotaExceeded);
}

// Guards against accepting jobs that are bound to miss their deadline, and against unbounded
// queues.
TEST(JobQueue, RefusesJobsOverTheLimitOrTheDeadline) {
  JobQueue queue = MakeQueue();
  queue.SetSettings({.limits = {20, 1, 1}});
  for (int i = 0; i < 20; ++i) {
    ASSERT_FALSE(
        queue.Add(Item("u" + std::to_string(i), kQuotes, JobClass::kUrgent, 0), TimePoint(0)));
  }
  // 20 jobs of 1 s on 10 accelerators.
  EXPECT_EQ(queue.EstimateWait(JobClass::kUrgent), Duration(2000));
  EXPECT_EQ(queue.Add(Item("v", kQuotes, JobClass::kUrgent, 0), TimePoint(0))->kind,
            ErrorKind::kOverloaded);
  QueueItem batch = Item("b", kQuotes, JobClass::kBatch, 0);
  batch.deadline = TimePoint(1500);
  EXPECT_EQ(queue.Add(batch, TimePoint(0))->kind, ErrorKind::kOverloaded);
  batch.deadline = TimePoint(2500);
  EXPECT_FALSE(queue.Add(batch, TimePoint(0)));
}

// Guards against index entries that stay behind after a job has left the queue.
TEST(JobQueue, CancelAndExpiryRemoveEverything) {
  JobQueue queue = MakeQueue();
  QueueItem item = Item("a", kQuotes, JobClass::kBatch, 0);
  item.deadline = TimePoint(500);
  queue.Add(item, TimePoint(0));
  queue.Add(Item("b", kQuotes, JobClass::kBatch, 0), TimePoint(0));
  queue.MarkPassedOver(JobId("a"), TimePoint(10));
  EXPECT_EQ(queue.NextDeadline(), TimePoint(500));
  EXPECT_TRUE(queue.Expire(TimePoint(499)).empty());
  EXPECT_EQ(queue.Expire(TimePoint(500)).size(), 1U);
  EXPECT_TRUE(queue.Cancel(JobId("b")));
  EXPECT_FALSE(queue.Cancel(JobId("b")));
  EXPECT_EQ(queue.size(), 0U);
  EXPECT_EQ(queue.EstimateWait(JobClass::kBackground), Duration(0));
  EXPECT_EQ(queue.DueForReservation(TimePoint(10'000'000)), nullptr);
}

// Guards against starvation of a large gang while small jobs take every worker that becomes free.
TEST(CapacityReservation, ReservesTheWorkersThatBecomeFreeFirst) {
  CellState cell;
  for (int i = 0; i < 4; ++i) {
    const WorkerId id("w" + std::to_string(i));
    cell.UpsertWorker(id, RackId("r"), {},
                      {Cores(8), Megabytes(8000), Accelerators(8), Slots(8), Connections(8)}, true);
    PlacedTask task;
    task.attempt = AttemptId("t" + std::to_string(i));
    task.accelerators = 1;
    task.started = TimePoint(1000 * (4 - i));
    cell.AddTask(id, task);
  }
  const auto end = [](const PlacedTask& task) { return task.started + Duration(10000); };
  const GangShape shape{2, Cores(1), Megabytes(1), Accelerators(8), true};
  const auto reservation = ReserveCapacity(cell, JobId("gang"), shape, TimePoint(5000), end);
  ASSERT_TRUE(reservation);
  EXPECT_EQ(reservation->workers, (std::vector<WorkerId>{WorkerId("w2"), WorkerId("w3")}));
  EXPECT_EQ(reservation->start, TimePoint(12000));
  EXPECT_TRUE(MayBackfill(*reservation, TimePoint(5000), Duration(7000)));
  EXPECT_FALSE(MayBackfill(*reservation, TimePoint(5000), Duration(7001)));
}

}  // namespace
}  // namespace basilspring
