#include <benchmark/benchmark.h>

#include <string>

#include "basilspring/request/job_queue.h"

namespace basilspring {
namespace {

constexpr int kJobsPerWorkspace = 40;

QueueItem Item(int number, int workspaces) {
  QueueItem item;
  item.id = JobId("job-" + std::to_string(number));
  item.workspace = WorkspaceId("workspace-" + std::to_string(100 + number % workspaces));
  item.job_class = static_cast<JobClass>(number / workspaces % 3);
  item.shape.accelerators = Accelerators(1);
  item.run_time = Duration(60'000);
  item.submitted = TimePoint(number);
  return item;
}

JobQueue FilledQueue(int workspaces) {
  JobQueue queue;
  queue.SetCapacity({16'000, 32'000'000, 4'000, 2'000});
  for (int i = 0; i < workspaces * kJobsPerWorkspace; ++i) queue.Restore(Item(i, workspaces));
  return queue;
}

// Determines the next 16 jobs. The argument is the number of workspaces, each with 40 waiting jobs.
void QueueOrder(benchmark::State& state) {
  const JobQueue queue = FilledQueue(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    const auto order = queue.NextJobs(TimePoint(1'000'000), 16);
    benchmark::DoNotOptimize(order.data());
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(QueueOrder)
    ->Arg(10)
    ->Arg(40)
    ->Arg(130)
    ->Arg(520)
    ->Unit(benchmark::kMicrosecond)
    ->Complexity();

// Adds and cancels one job. The argument is the number of workspaces.
void QueueAddAndCancel(benchmark::State& state) {
  const int workspaces = static_cast<int>(state.range(0));
  JobQueue queue = FilledQueue(workspaces);
  const QueueItem item = Item(workspaces * kJobsPerWorkspace, workspaces);
  for (auto _ : state) {
    queue.Add(item, TimePoint(1'000'000));
    queue.Cancel(item.id);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(QueueAddAndCancel)->Arg(10)->Arg(40)->Arg(130)->Arg(520)->Complexity();

}  // namespace
}  // namespace basilspring
