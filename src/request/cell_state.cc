#include "basilspring/request/cell_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "request/accelerator_runs.h"

namespace basilspring {
namespace {

// Recomputes the free amounts from all tasks. Amounts saturate at zero, so adding the resources of
// a removed task back on an overcommitted worker would report free capacity that doesn't exist.
void RecomputeFree(WorkerState& worker) {
  std::uint64_t cores = 0;
  std::uint64_t memory = 0;
  std::uint64_t slots = 0;
  AcceleratorMask held = 0;
  for (const PlacedTask& task : worker.tasks) {
    cores += task.shape.cores.value();
    memory += task.shape.memory.value();
    ++slots;
    held |= task.accelerators;
  }
  const auto free = [](std::uint32_t capacity, std::uint64_t used) {
    return used >= capacity ? 0U : capacity - static_cast<std::uint32_t>(used);
  };
  worker.free_cores = Cores(free(worker.capacity.cores.value(), cores));
  worker.free_memory = Megabytes(free(worker.capacity.memory.value(), memory));
  worker.free_slots = Slots(free(worker.capacity.slots.value(), slots));
  worker.free_accelerators =
      internal::AllAccelerators(worker.capacity.accelerators.value()) & ~held;
}

auto FindTask(std::vector<PlacedTask>& tasks, const AttemptId& attempt, std::uint32_t rank) {
  return std::find_if(tasks.begin(), tasks.end(), [&](const PlacedTask& task) {
    return task.rank == rank && task.attempt == attempt;
  });
}

}  // namespace

bool InFullService(const WorkerState& worker) {
  return worker.accepting && !worker.quarantined && !worker.probation;
}

void CellState::UpsertWorker(const WorkerId& id, const RackId& rack, const Address& agent,
                             const WorkerCapacity& capacity, bool accepting) {
  WorkerState& worker = workers_[id];
  worker.id = id;
  worker.rack = rack;
  worker.agent = agent;
  worker.capacity = capacity;
  worker.accepting = accepting;
  RecomputeFree(worker);
}

void CellState::SetAccepting(const WorkerId& id, bool accepting) {
  const auto it = workers_.find(id);
  if (it != workers_.end()) it->second.accepting = accepting;
}

void CellState::SetQuarantined(const WorkerId& id, bool quarantined) {
  const auto it = workers_.find(id);
  if (it != workers_.end()) it->second.quarantined = quarantined;
}

void CellState::SetProbation(const WorkerId& id, bool probation) {
  const auto it = workers_.find(id);
  if (it != workers_.end()) it->second.probation = probation;
}

std::vector<PlacedTask> CellState::RemoveWorker(const WorkerId& id) {
  const auto it = workers_.find(id);
  if (it == workers_.end()) return {};
  std::vector<PlacedTask> tasks = std::move(it->second.tasks);
  workers_.erase(it);
  return tasks;
}

void CellState::AddTask(const WorkerId& worker, const PlacedTask& task) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) {
    throw Error(ErrorKind::kNotFound, fmt::format("worker {} is unknown", worker.value()));
  }
  WorkerState& state = it->second;
  const AcceleratorMask missing = task.accelerators & ~state.free_accelerators;
  if (missing != 0) {
    throw Error(ErrorKind::kResourcesTaken,
                fmt::format("accelerators {:#x} of worker {} are not free for attempt {} rank {}",
                            missing, worker.value(), task.attempt.value(), task.rank));
  }
  if (FindTask(state.tasks, task.attempt, task.rank) != state.tasks.end()) {
    throw Error(ErrorKind::kResourcesTaken,
                fmt::format("attempt {} rank {} is already on worker {}", task.attempt.value(),
                            task.rank, worker.value()));
  }
  state.tasks.push_back(task);
  RecomputeFree(state);
}

void CellState::RemoveTask(const WorkerId& worker, const AttemptId& attempt, std::uint32_t rank) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  std::vector<PlacedTask>& tasks = it->second.tasks;
  const auto task = FindTask(tasks, attempt, rank);
  if (task == tasks.end()) return;
  tasks.erase(task);
  RecomputeFree(it->second);
}

void CellState::SetBorrowed(const WorkerId& worker, const AttemptId& attempt, std::uint32_t rank,
                            bool borrowed) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  const auto task = FindTask(it->second.tasks, attempt, rank);
  if (task != it->second.tasks.end()) task->borrowed = borrowed;
}

const WorkerState* CellState::Find(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

}  // namespace basilspring
