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

// A cell whose entry submits unfinished jobs again to each new scheduler.
struct World {
  World() {
    for (std::uint32_t i = 0; i < kWorkers; ++i) cell.AddWorker(Worker(i));
    cell.Run(6000);
  }
  static std::string Worker(std::uint32_t i) { return "w" + std::to_string(i % kWorkers); }

  void Submit(std::uint32_t seed) {
    jobs.push_back(seed);
    Send(jobs.size() - 1);
  }
  void Send(std::size_t i) {
    const std::uint32_t seed = jobs[i];
    cell.Submit(Name(i), 1 + seed % 3, 4 + 4 * (seed / 3 % 2), seed / 6 % 2 == 0,
                seed / 12 % 2 == 0 ? JobClass::kUrgent : JobClass::kBatch);
  }
  static std::string Name(std::size_t i) { return "j" + std::to_string(i); }
  void Replace() {
    cell.ReplaceScheduler(false);
    Resend();
  }
  // Jobs that a cell gave back come again, as from an entry.
  void Resend() {
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (cell.Result(Name(i)) == nullptr) Send(i);
    }
  }
  // The entry remembers that a job had run when it was given back, and refuses it accordingly.
  bool ReturnedAfterRun(const JobId& job) const {
    const std::vector<JobReturned> returned = cell.Sent<JobReturned>();
    return std::any_of(returned.begin(), returned.end(),
                       [&job](const JobReturned& one) { return one.job == job && one.ran; });
  }

  void Step(std::uint32_t kind, std::uint32_t value) {
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
        cell.lose_claim_answer = on;
        return;
      case 9:
        cell.give_permits = on;
        return;
      case 10:
        cell.out = on;
        return;
      case 11:
        return Replace();
      default:
        return cell.Run(50 * (1 + value % 160));
    }
  }

  void Heal() {
    cell.store_down = cell.lose_claim_answer = cell.out = false;
    cell.give_permits = true;
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      FakeAgent& agent = cell.agent(Worker(i));
      agent.silent = agent.ignore_prepare = agent.ignore_start = false;
      agent.start_error = ErrorKind::kNone;
    }
    for (int round = 0; round < 60; ++round) {
      Resend();
      cell.Run(3000);
      for (std::size_t i = 0; i < jobs.size(); ++i) cell.FinishTasks(Name(i));
    }
  }

  void Check() {
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const JobResult* const result = cell.Result(Name(i));
      const std::size_t attempts = cell.started[JobId(Name(i))].size();
      const bool idempotent = jobs[i] / 6 % 2 == 0;
      if (result == nullptr) RC_FAIL("no answer of " + Name(i));
      if (!idempotent) RC_ASSERT(attempts <= 1U);
      if (ErrorInfo(result->error).outcome == RunOutcome::kNotRun) {
        RC_ASSERT(attempts == 0U || ReturnedAfterRun(JobId(Name(i))));
      }
      if (result->error != ErrorKind::kNone) continue;
      RC_ASSERT(HasValidChecksum(result->answer));
      RC_ASSERT(result->answer.outputs.size() == 1 + jobs[i] % 3);
    }
    RC_ASSERT(cell.Reserved() == 0U);
  }

  CellHarness cell;
  std::vector<std::uint32_t> jobs;
};

// Guards against any order of faults that runs non-idempotent work twice, calls started work "not
// run", answers in part, or leaves a job without an answer once the faults are over.
TEST(CellProperties, PromisesHoldUnderFaults) {
  EXPECT_TRUE(rc::check([] {
    const auto steps =
        *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(rc::gen::pair(
            rc::gen::inRange<std::uint32_t>(0, 16), rc::gen::inRange<std::uint32_t>(0, 1000)));
    World world;
    for (const auto& [kind, value] : steps) world.Step(kind, value);
    world.Heal();
    world.Check();
  }));
}

}  // namespace
}  // namespace basilspring
