#include <rapidcheck.h>

#include <algorithm>
#include <bit>
#include <set>

#include "tests/process/agent_fixture.h"

namespace basilspring {
namespace {

/// A number from the whole range in every case; by default rapidcheck begins with small ones only.
template <typename T>
T Pick(T from, T to) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(from, to));
}

struct AgentProperties : public AgentFixture {
  void TestBody() override {}

  void RandomStep(int index) {
    // New jobs come up over time, because a decided attempt takes nothing any more.
    const int number = Pick(0, 5) + index / 5;
    // Even jobs have one task; odd ones have two, both on this worker.
    std::uint32_t tasks = number % 2 == 0 ? 1 : 2;
    TaskKey key{AttemptId("j" + std::to_string(number) + "#5.1"), Pick<std::uint32_t>(0, tasks)};
    const int command = Pick(0, 9);
    // Most commands concern a reserved task; the others test the refusals.
    if (command >= 3 && !reserved.empty() && Pick(0, 4) != 0) {
      const Prepare& chosen =
          reserved[reserved.size() -
                   Pick<std::size_t>(1, std::min<std::size_t>(reserved.size(), 3) + 1)];
      key = {chosen.attempt, chosen.rank};
      tasks = chosen.tasks;
    }
    const std::string attempt = key.attempt.value();
    const std::uint32_t rank = key.rank;
    switch (command) {
      case 0:
      case 1:
      case 2: {
        Prepare prepare = PrepareOf(attempt, rank, tasks);
        prepare.shape.cores = Cores(Pick<std::uint32_t>(0, 20));
        prepare.shape.memory = Megabytes(Pick<std::uint32_t>(0, 40000));
        prepare.accelerators = Pick<std::uint32_t>(0, 8) << Pick<std::uint32_t>(0, 8);
        const auto count = static_cast<std::uint32_t>(std::popcount(prepare.accelerators));
        prepare.shape.accelerators = Accelerators(count);
        Receive(prepare);
        if (OnlySent<Prepared>().error == ErrorKind::kNone) reserved.push_back(prepare);
        break;
      }
      case 3:
      case 4:
      case 5: {
        Start start = StartOf(attempt, rank);
        start.members.clear();
        for (std::uint32_t i = 0; i < tasks; ++i) {
          start.members.push_back({i, WorkerId("w1"), kAgentAddress});
        }
        Receive(start);
        break;
      }
      case 6:
        Receive(StopOf(attempt, Duration(Pick(0, 2) * 1000), rank));
        break;
      case 7: {
        const auto call = *rc::gen::element(BackendCallKind::kStart, BackendCallKind::kPoll,
                                            BackendCallKind::kStop);
        const auto status = Pick(0, 8);
        AnswerBackendCall(attempt, call, static_cast<BackendStatus>(status), "", rank);
        break;
      }
      default:
        AdvanceTime(Pick(1, 15) * 100);
    }
  }

  /// Notes what was said about a task's end and acknowledges it, so that the next report lists only
  /// tasks that hold resources.
  void Settle(const AttemptId& attempt, std::uint32_t rank, bool was_started) {
    if (!was_started) never_started.insert({attempt, rank});
    Receive(TaskDoneAck{attempt, rank});
  }
  void Check() {
    for (const BackendCall& call : out.calls) {
      if (call.kind != BackendCallKind::kStart) continue;
      RC_ASSERT(started.insert(call.task).second);
      RC_ASSERT(never_started.count(call.task) == 0U);
    }
    const auto all_done = Sent<TaskDone>();
    const auto all_stopped = Sent<TaskStopped>();
    for (const TaskDone& done : all_done) Settle(done.attempt, done.rank, done.started);
    for (const TaskStopped& stopped : all_stopped) {
      Settle(stopped.attempt, stopped.rank, stopped.started);
    }
    Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(5)});
    CheckHeld(OnlySent<AgentReport>().tasks);
  }
  static void CheckHeld(const std::vector<TaskReport>& tasks) {
    std::uint64_t cores = 0;
    std::uint64_t memory = 0;
    AcceleratorMask accelerators = 0;
    for (const TaskReport& task : tasks) {
      cores += task.shape.cores.value();
      memory += task.shape.memory.value();
      RC_ASSERT((accelerators & task.accelerators) == 0U);
      accelerators |= task.accelerators;
    }
    RC_ASSERT(cores <= 60U);
    RC_ASSERT(memory <= 130000U);
    RC_ASSERT(tasks.size() <= 8U);
    RC_ASSERT(accelerators < 256U);
  }

  std::vector<Prepare> reserved;
  std::set<TaskKey> started;
  std::set<TaskKey> never_started;
};

// Guards against overcommitted resources, a second start, and a start before or after "never
// started" was said, over any order of commands, answers and pauses.
TEST(AgentCoreProperties, NeverOvercommitsNorStartsTwice) {
  std::size_t starts = 0;
  const bool held = rc::check("agent core", [&starts] {
    AgentProperties agent;
    agent.SetUpBackendAndScheduler();
    for (int i = 0; i < 100; ++i) {
      agent.RandomStep(i);
      agent.Check();
    }
    starts += agent.started.size();
  });
  EXPECT_TRUE(held);
  // The property would hold trivially if nothing was ever started.
  EXPECT_GT(starts, 100U);
}

}  // namespace
}  // namespace basilspring
