#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "basilspring/version/guarantee.h"
#include "request/placement_plan.h"

namespace basilspring {
namespace {

// One task of an attempt, with its worker.
struct Member {
  const WorkerState* worker;
  const PlacedTask* task;
};

struct AttemptTasks {
  std::vector<Member> members;
  bool was_guaranteed = true;
  TimePoint started;
};

// What each workspace may still hold under its guarantee on each worker.
using Shares = std::map<std::pair<std::string_view, std::string_view>, internal::Room>;

bool TakeShares(const AttemptTasks& attempt, Shares& shares) {
  std::vector<std::pair<internal::Room*, internal::Room>> before;
  for (const Member& member : attempt.members) {
    const PlacedTask& task = *member.task;
    const auto it = shares.find({member.worker->id.value(), task.workspace.value()});
    const bool fits = it != shares.end() && task.accelerators != 0 &&
                      (task.accelerators & ~it->second.accelerators) == 0 &&
                      it->second.HoldsTask(task.shape);
    if (!fits) {
      for (auto undo = before.rbegin(); undo != before.rend(); ++undo) {
        *undo->first = undo->second;
      }
      return false;
    }
    before.emplace_back(&it->second, it->second);
    it->second.Take(task.shape, task.accelerators);
  }
  return true;
}

Shares SharesOf(const CellState& cell) {
  std::map<std::pair<std::string_view, std::string_view>, AcceleratorMask> bound;
  for (const BoundRun& run : cell.bound_runs()) {
    bound[{run.worker.value(), run.workspace.value()}] |= run.accelerators;
  }
  Shares shares;
  for (const auto& [id, worker] : cell.workers()) {
    for (auto it = bound.lower_bound({id.value(), {}});
         it != bound.end() && it->first.first == id.value(); ++it) {
      shares.emplace(it->first, internal::ShareOf(worker.capacity, it->second));
    }
  }
  return shares;
}

}  // namespace

void ApplyBinding(CellState& cell, std::vector<BoundRun> runs) {
  cell.SetBoundRuns(std::move(runs));
  std::map<std::string_view, AttemptTasks> attempts;
  for (const auto& [id, worker] : cell.workers()) {
    for (const PlacedTask& task : worker.tasks) {
      AttemptTasks& attempt = attempts[task.attempt.value()];
      attempt.members.push_back({&worker, &task});
      attempt.was_guaranteed = attempt.was_guaranteed && !task.borrowed;
      attempt.started = task.started;
    }
  }
  // Attempts that were guaranteed keep their shares before others get one, older ones first.
  std::vector<const AttemptTasks*> order;
  order.reserve(attempts.size());
  for (const auto& [id, attempt] : attempts) order.push_back(&attempt);
  std::stable_sort(order.begin(), order.end(), [](const AttemptTasks* a, const AttemptTasks* b) {
    return std::pair(!a->was_guaranteed, a->started) < std::pair(!b->was_guaranteed, b->started);
  });
  Shares shares = SharesOf(cell);
  for (const AttemptTasks* attempt : order) {
    const bool borrowed = !TakeShares(*attempt, shares);
    for (const Member& member : attempt->members) {
      cell.SetBorrowed(member.worker->id, member.task->attempt, member.task->rank, borrowed);
    }
  }
}

}  // namespace basilspring
