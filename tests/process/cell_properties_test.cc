#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/process/cell_harness.h"

namespace basilspring {
namespace {

using testing::CellHarness;
using testing::FakeAgent;

constexpr std::uint32_t kWorkers = 4;

// A cell under faults, with an entry that submits unfinished jobs again to each new scheduler.
struct SimulatedCell {
  SimulatedCell() {
    for (std::uint32_t i = 0; i < kWorkers; ++i) cell.AddWorker(Worker(i));
    cell.Run(6000);
  }
  static std::string Worker(std::uint32_t i) { return "w" + std::to_string(i % kWorkers); }

  void Submit(std::uint32_t seed) {
    jobs.push_back(seed);
    SubmitToCell(jobs.size() - 1);
  }
  void SubmitToCell(std::size_t i) {
    const std::uint32_t seed = jobs[i];
    cell.Submit(Name(i), 1 + seed % 3, 4 + 4 * (seed / 3 % 2), seed / 6 % 2 == 0,
                seed / 12 % 2 == 0 ? JobClass::kUrgent : JobClass::kBatch);
  }
  static std::string Name(std::size_t i) { return "j" + std::to_string(i); }
  void ReplaceScheduler() {
    cell.ReplaceScheduler(false);
    ResubmitUnfinishedJobs();
  }
  // Submits again all jobs without a result, as an entry does with jobs that a cell returned to it.
  void ResubmitUnfinishedJobs() {
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (cell.Result(Name(i)) == nullptr) SubmitToCell(i);
    }
  }
  // Whether the cell returned the job after a run. A real entry remembers this and doesn't pass the
  // result "not run" on.
  bool ReturnedAfterRun(const JobId& job) const {
    const std::vector<JobReturned> returned = cell.Sent<JobReturned>();
    return std::any_of(returned.begin(), returned.end(),
                       [&job](const JobReturned& one) { return one.job == job && one.ran; });
  }

  // Applies one random step: a caller's action, a fault that is switched on or off, a change of
  // scheduler or the passing of time.
  void ApplyStep(std::uint32_t kind, std::uint32_t value) {
    FakeAgent& agent = cell.agent(Worker(value));
    const bool on = value / kWorkers % 2 == 0;
    switch (kind) {
      case 0:
        return Submit(value);
      case 1:
        return jobs.empty() ? void() : cell.Cancel(Name(value % jobs.size()));
      case 2:
        return jobs.empty() ? void() : cell.FinishTasks(Name(value % jobs.size()));
      case 3:
        agent.silent = on;
        return;
      case 4:
        agent.ignore_prepare = on;
        return;
      case 5:
        agent.ignore_start = on;
        return;
      case 6:
        agent.start_error = on ? ErrorKind::kTaskFailed : ErrorKind::kNone;
        agent.error_after_start = true;
        return;
      case 7:
        cell.store_down = on;
        return;
      case 8:
        cell.lose_claim_reply = on;
        return;
      case 9:
        cell.give_permits = on;
        return;
      case 10:
        cell.data_centre_out = on;
        return;
      case 11:
        return ReplaceScheduler();
      default:
        return cell.Run(50 * (1 + value % 160));
    }
  }

  // Clears all faults and gives every job the time to finish.
  void ClearFaultsAndFinish() {
    cell.store_down = cell.lose_claim_reply = cell.data_centre_out = false;
    cell.give_permits = true;
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      FakeAgent& agent = cell.agent(Worker(i));
      agent.silent = agent.ignore_prepare = agent.ignore_start = false;
      agent.start_error = ErrorKind::kNone;
    }
    for (int round = 0; round < 60; ++round) {
      ResubmitUnfinishedJobs();
      cell.Run(3000);
      for (std::size_t i = 0; i < jobs.size(); ++i) cell.FinishTasks(Name(i));
    }
  }

  void Check() {
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const JobResult* const result = cell.Result(Name(i));
      const std::size_t attempts = cell.started[JobId(Name(i))].size();
      const bool idempotent = jobs[i] / 6 % 2 == 0;
      if (result == nullptr) RC_FAIL("no answer for job " + Name(i));
      if (!idempotent) RC_ASSERT(attempts <= 1U);
      if (ErrorInfo(result->error).outcome == RunOutcome::kNotRun) {
        RC_ASSERT(attempts == 0U || ReturnedAfterRun(JobId(Name(i))));
      }
      if (result->error != ErrorKind::kNone) continue;
      RC_ASSERT(HasValidChecksum(result->answer));
      RC_ASSERT(result->answer.outputs.size() == 1 + jobs[i] % 3);
    }
    RC_ASSERT(cell.PreparedTasks() == 0U);
  }

  CellHarness cell;
  std::vector<std::uint32_t> jobs;
};

// Guards against sequences of faults after which a non-idempotent job runs twice, a started job is
// reported as "not run", an answer is incomplete, or a job has no answer after the faults have
// ended.
TEST(CellProperties, InvariantsHoldUnderFaults) {
  EXPECT_TRUE(rc::check([] {
    const auto steps =
        *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(rc::gen::pair(
            rc::gen::inRange<std::uint32_t>(0, 16), rc::gen::inRange<std::uint32_t>(0, 1000)));
    SimulatedCell simulation;
    for (const auto& [kind, value] : steps) simulation.ApplyStep(kind, value);
    simulation.ClearFaultsAndFinish();
    simulation.Check();
  }));
}

}  // namespace
}  // namespace basilspring
