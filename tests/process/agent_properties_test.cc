#include <rapidcheck.h>

#include <algorithm>
#include <bit>
#include <set>

#include "tests/process/agent_fixture.h"

namespace basilspring {
namespace {

/// Returns a random number from [from, to). Uses the full range in every case, whereas rapidcheck
/// by default begins with small numbers only.
template <typename T>
T RandomInRange(T from, T to) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(from, to));
}

struct AgentProperties : public AgentFixture {
  void TestBody() override {}

  void RunRandomCommand(int index) {
    // New jobs appear over time, because an attempt that was refused or started can't be reserved
    // again.
    const int number = RandomInRange(0, 5) + index / 5;
    // Even jobs have one task; odd ones have two, both on this worker.
    std::uint32_t tasks = number % 2 == 0 ? 1 : 2;
    TaskKey key{AttemptId("j" + std::to_string(number) + "#5.1"),
                RandomInRange<std::uint32_t>(0, tasks)};
    const int command = RandomInRange(0, 9);
    // Most commands concern a task that was reserved; the others exercise refusals.
    if (command >= 3 && !reserved.empty() && RandomInRange(0, 4) != 0) {
      const Prepare& chosen =
          reserved[reserved.size() -
                   RandomInRange<std::size_t>(1, std::min<std::size_t>(reserved.size(), 3) + 1)];
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
        prepare.shape.cores = Cores(RandomInRange<std::uint32_t>(0, 20));
        prepare.shape.memory = Megabytes(RandomInRange<std::uint32_t>(0, 40000));
        prepare.accelerators = RandomInRange<std::uint32_t>(0, 8)
                               << RandomInRange<std::uint32_t>(0, 8);
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
        Receive(StopOf(attempt, Duration(RandomInRange(0, 2) * 1000), rank));
        break;
      case 7: {
        const auto call = *rc::gen::element(BackendCallKind::kStart, BackendCallKind::kPoll,
                                            BackendCallKind::kStop);
        const auto status = RandomInRange(0, 8);
        AnswerBackendCall(attempt, call, static_cast<BackendStatus>(status), "", rank);
        break;
      }
      default:
        AdvanceTime(RandomInRange(1, 15) * 100);
    }
  }

  /// Records whether the agent reported an ended task as started, and acknowledges the outcome, so
  /// that the next report lists only tasks that hold resources.
  void RecordAndAcknowledge(const AttemptId& attempt, std::uint32_t rank, bool was_started) {
    if (!was_started) never_started.insert({attempt, rank});
    Receive(TaskDoneAck{attempt, rank});
  }
  void CheckInvariants() {
    for (const BackendCall& call : out.calls) {
      if (call.kind != BackendCallKind::kStart) continue;
      RC_ASSERT(started.insert(call.task).second);
      RC_ASSERT(never_started.count(call.task) == 0U);
    }
    const auto all_done = Sent<TaskDone>();
    const auto all_stopped = Sent<TaskStopped>();
    for (const TaskDone& done : all_done) {
      RecordAndAcknowledge(done.attempt, done.rank, done.started);
    }
    for (const TaskStopped& stopped : all_stopped) {
      RecordAndAcknowledge(stopped.attempt, stopped.rank, stopped.started);
    }
    Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(5)});
    CheckNoOvercommit(OnlySent<AgentReport>().tasks);
  }
  static void CheckNoOvercommit(const std::vector<TaskReport>& tasks) {
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

// Guards against overcommitted resources, a second start of a task, and the start of a task that is
// reported as never started, for random sequences of commands, answers and delays.
TEST(AgentCoreProperties, NeverOvercommitsNorStartsTwice) {
  std::size_t starts = 0;
  const bool property_held = rc::check("agent core", [&starts] {
    AgentProperties agent;
    agent.SetUpBackendAndScheduler();
    for (int i = 0; i < 100; ++i) {
      agent.RunRandomCommand(i);
      agent.CheckInvariants();
    }
    starts += agent.started.size();
  });
  EXPECT_TRUE(property_held);
  // The property would hold trivially if no task was ever started.
  EXPECT_GT(starts, 100U);
}

}  // namespace
}  // namespace basilspring
