#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "basilspring/request/capacity_reservation.h"
#include "basilspring/request/placement.h"
#include "basilspring/version/guarantee.h"

namespace basilspring {
namespace {

constexpr int kWorkersPerRack = 8;
// 1,700 tasks run on 128 workers.
constexpr double kTasksPerWorker = 1700.0 / 128;
constexpr int kWorkspaces = 130;

WorkerId Id(int i) { return WorkerId("plovdiv-a-worker-" + std::to_string(1000 + i)); }
WorkspaceId Workspace(int i) { return WorkspaceId("workspace-" + std::to_string(100 + i)); }

CellState EmptyCell(int workers) {
  CellState cell;
  for (int i = 0; i < workers; ++i) {
    cell.UpsertWorker(Id(i), RackId("rack-" + std::to_string(i / kWorkersPerRack)), {},
                      {Cores(128), Megabytes(256000), Accelerators(16), Slots(32), Connections(60)},
                      true);
  }
  return cell;
}

// Returns guarantees of all workspaces that add up to half of the cell's accelerators, in runs of
// `run_size` accelerators.
std::vector<Guarantee> GuaranteesForHalfTheCell(int workers, int run_size = 8) {
  std::vector<Guarantee> guarantees;
  const int runs = workers * 16 / run_size / 2;
  for (int i = 0; i < runs; ++i) {
    const auto w = static_cast<std::size_t>(i % kWorkspaces);
    if (w == guarantees.size()) guarantees.push_back({Workspace(i)});
    (run_size == 8 ? guarantees[w].run8 : guarantees[w].run1) += 1;
  }
  return guarantees;
}

// Fills a cell with gangs of 4 batch or background tasks that hold `accelerators_per_worker` of the
// 16 accelerators of each worker; the others stay free. The seed is fixed, so that all benchmarks
// measure the same cell.
void FillWithTasks(CellState& cell, int accelerators_per_worker) {
  std::mt19937 random(20240901);
  int number = 0;
  double tasks_due = 0;
  for (const auto& [id, worker] : cell.workers()) {
    tasks_due += kTasksPerWorker;
    for (int held_accelerators = 0; tasks_due >= 1; tasks_due -= 1, ++number) {
      PlacedTask task;
      task.attempt = AttemptId("job-" + std::to_string(number / 4) + "#12.1");
      task.job = JobId("job-" + std::to_string(number / 4));
      task.rank = static_cast<std::uint32_t>(number % 4);
      task.workspace = Workspace(static_cast<int>((number / 4) % kWorkspaces));
      task.job_class = (number / 4) % 3 == 0 ? JobClass::kBackground : JobClass::kBatch;
      task.shape.cores = Cores(2);
      if (held_accelerators < accelerators_per_worker) {
        task.accelerators = 1U << held_accelerators++;
      }
      task.shape.accelerators = Accelerators(task.accelerators == 0 ? 0 : 1);
      task.borrowed = true;
      task.started = TimePoint(static_cast<std::int64_t>(random() % 3'600'000));
      cell.AddTask(id, task);
    }
  }
}

CellState FullCell(int workers, int accelerators_per_worker) {
  CellState cell = EmptyCell(workers);
  ApplyBinding(cell, BindGuarantees(cell, GuaranteesForHalfTheCell(workers)).runs);
  FillWithTasks(cell, accelerators_per_worker);
  return cell;
}

JobSpec Gang(std::uint32_t tasks, std::uint32_t accelerators, JobClass job_class) {
  JobSpec job;
  job.id = JobId("gang");
  job.workspace = Workspace(kWorkspaces);
  job.job_class = job_class;
  job.shape = {tasks, Cores(2), Megabytes(1000), Accelerators(accelerators), accelerators > 1};
  return job;
}

void RunPlaceGang(benchmark::State& state, const CellState& cell, const JobSpec& job,
                  bool expect_placed, PlacementPolicy policy = PlacementPolicy::kGuarantees) {
  PlacementInput input{&cell, &job, TimePoint(4'000'000), policy};
  input.may_preempt = job.job_class == JobClass::kUrgent;
  for (auto _ : state) {
    const PlacementResult result = PlaceGang(input);
    if (std::holds_alternative<Placed>(result) != expect_placed) {
      state.SkipWithError("unexpected decision");
    }
    benchmark::DoNotOptimize(&result);
  }
  state.SetComplexityN(state.range(0));
}

// Places a gang of 64 tasks in free capacity. The argument is the number of workers, unless noted.
void GangInFreeCapacity(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  RunPlaceGang(state, FullCell(workers, 11), Gang(64, 2, JobClass::kBatch), true);
}
// Places a gang of 64 that preempts tasks beyond their guarantee (borrowed).
void GangWithVictims(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  RunPlaceGang(state, FullCell(workers, 13), Gang(64, 4, JobClass::kUrgent), true);
}
// Places a gang of 64 within a guarantee of half the cell, all of which borrowed tasks occupy.
void GuaranteedGangWithVictims(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  CellState cell = EmptyCell(workers);
  const Guarantee half{Workspace(kWorkspaces), 0, 0, 0, static_cast<std::uint32_t>(workers), 0, 0};
  ApplyBinding(cell, BindGuarantees(cell, {half}).runs);
  FillWithTasks(cell, 13);
  JobSpec job = Gang(std::min(64U, static_cast<std::uint32_t>(workers)), 8, JobClass::kUrgent);
  RunPlaceGang(state, cell, job, true);
}
// Tries to place an urgent gang of 64 that doesn't fit. Each stage of the placement is
// tried twice, because a worker is to be avoided.
void UrgentGangThatWaits(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  CellState cell = EmptyCell(workers);
  const Guarantee half{Workspace(kWorkspaces), 0, 0, 0, static_cast<std::uint32_t>(workers), 0, 0};
  ApplyBinding(cell, BindGuarantees(cell, {half}).runs);
  FillWithTasks(cell, 13);
  // Guaranteed tasks occupy all workers but 32, so that only 32 of the 64 tasks fit.
  int number = 0;
  for (const auto& [id, worker] : std::map(cell.workers())) {
    PlacedTask task;
    task.attempt = AttemptId("urgent-" + std::to_string(number));
    task.job_class = JobClass::kUrgent;
    task.accelerators = 1U << 15U;
    task.borrowed = false;
    if (number++ >= 32) cell.AddTask(id, task);
  }
  const JobSpec job = Gang(64, 16, JobClass::kUrgent);
  PlacementInput input{&cell, &job, TimePoint(4'000'000)};
  input.may_preempt = true;
  input.avoid = {Id(0)};
  for (auto _ : state) {
    const PlacementResult result = PlaceGang(input);
    if (std::holds_alternative<Placed>(result)) state.SkipWithError("unexpected decision");
    benchmark::DoNotOptimize(&result);
  }
  state.SetComplexityN(state.range(0));
}
// Tries to place a gang of 64 that doesn't fit, and determines the reasons.
void GangThatWaits(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  RunPlaceGang(state, FullCell(workers, 13), Gang(64, 8, JobClass::kBatch), false);
}
// Places the gang of GangInFreeCapacity with the baseline policy.
void GangFirstFit(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  RunPlaceGang(state, FullCell(workers, 11), Gang(64, 2, JobClass::kBatch), true,
               PlacementPolicy::kFirstFit);
}
// Places a gang in a cell of 128 workers. The argument is the number of its tasks, 1 to 64.
void GangSize(benchmark::State& state) {
  const auto tasks = static_cast<std::uint32_t>(state.range(0));
  RunPlaceGang(state, FullCell(128, 11), Gang(tasks, 2, JobClass::kBatch), true);
}

// Rebinds all guarantees after the loss of a rack, and places a gang of 64.
void RackLoss(benchmark::State& state, int run_size) {
  const auto workers = static_cast<int>(state.range(0));
  const std::vector<Guarantee> guarantees = GuaranteesForHalfTheCell(workers, run_size);
  CellState cell = EmptyCell(workers);
  ApplyBinding(cell, BindGuarantees(cell, guarantees).runs);
  FillWithTasks(cell, 11);
  for (int i = 0; i < kWorkersPerRack; ++i) cell.RemoveWorker(Id(i));
  const std::vector<BoundRun> before = cell.bound_runs();
  const JobSpec job = Gang(64, 2, JobClass::kBatch);
  for (auto _ : state) {
    cell.SetBoundRuns(before);
    BindingResult binding = BindGuarantees(cell, guarantees);
    if (!binding.shortfalls.empty()) state.SkipWithError("guarantees don't fit");
    ApplyBinding(cell, std::move(binding.runs));
    const PlacementResult result = PlaceGang({&cell, &job, TimePoint(4'000'000)});
    benchmark::DoNotOptimize(&result);
  }
  state.SetComplexityN(state.range(0));
}

void RackLossRun8(benchmark::State& state) { RackLoss(state, 8); }
void RackLossRun1(benchmark::State& state) { RackLoss(state, 1); }

// Chooses the workers whose capacity is reserved for a waiting gang of 64.
void ReserveCapacityForGang(benchmark::State& state) {
  const CellState cell = FullCell(static_cast<int>(state.range(0)), 13);
  const JobSpec job = Gang(64, 4, JobClass::kBatch);
  const auto end = [](const PlacedTask& task) { return task.started + Duration(7'200'000); };
  for (auto _ : state) {
    const auto reservation = ReserveCapacity(cell, job.id, job.shape, TimePoint(4'000'000), end);
    if (!reservation) state.SkipWithError("no capacity could be reserved");
    benchmark::DoNotOptimize(&reservation);
  }
  state.SetComplexityN(state.range(0));
}

void CellSizes(benchmark::internal::Benchmark* bench) {
  bench->RangeMultiplier(2)->Range(32, 512)->Unit(benchmark::kMicrosecond)->Complexity();
}
BENCHMARK(GangInFreeCapacity)->Apply(CellSizes);
BENCHMARK(GangWithVictims)->Apply(CellSizes);
BENCHMARK(GuaranteedGangWithVictims)->Apply(CellSizes);
BENCHMARK(GangThatWaits)->Apply(CellSizes);
BENCHMARK(UrgentGangThatWaits)->Apply(CellSizes);
BENCHMARK(GangFirstFit)->Apply(CellSizes);
BENCHMARK(GangSize)->RangeMultiplier(4)->Range(1, 64)->Unit(benchmark::kMicrosecond)->Complexity();
BENCHMARK(RackLossRun8)->Apply(CellSizes);
BENCHMARK(RackLossRun1)->Apply(CellSizes);
BENCHMARK(ReserveCapacityForGang)->Apply(CellSizes);

}  // namespace
}  // namespace basilspring
