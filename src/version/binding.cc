#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilspring/version/guarantee.h"
#include "request/placement_plan.h"

namespace basilspring {
namespace {

// One task of an attempt and its worker.
struct AttemptTask {
  const WorkerState* worker;
  const PlacedTask* task;
};

struct AttemptTasks {
  std::vector<AttemptTask> members;
  bool was_guaranteed = true;
  TimePoint started;
};

// The resources that a workspace may still use on one worker under its guarantee.
struct WorkerShare {
  std::string_view workspace;
  internal::ResourceAmounts remaining;
};
using Shares = std::unordered_map<const WorkerState*, std::vector<WorkerShare>>;

internal::ResourceAmounts* FindShare(Shares& shares, const AttemptTask& member) {
  const auto it = shares.find(member.worker);
  if (it == shares.end()) return nullptr;
  for (WorkerShare& share : it->second) {
    if (share.workspace == member.task->workspace.value()) return &share.remaining;
  }
  return nullptr;
}

// Allocates the resources of all tasks of the attempt from the shares of its workspace. Returns
// false without a change if a task doesn't fit.
bool AllocateShares(const AttemptTasks& attempt, Shares& shares) {
  std::vector<std::pair<internal::ResourceAmounts*, internal::ResourceAmounts>> before;
  for (const AttemptTask& member : attempt.members) {
    const PlacedTask& task = *member.task;
    internal::ResourceAmounts* share = FindShare(shares, member);
    const bool fits = share != nullptr && task.accelerators != 0 &&
                      (task.accelerators & ~share->accelerators) == 0 &&
                      share->HasHostResourcesFor(task.shape);
    if (!fits) {
      for (auto undo = before.rbegin(); undo != before.rend(); ++undo) {
        *undo->first = undo->second;
      }
      return false;
    }
    before.emplace_back(share, *share);
    share->Allocate(task.shape, task.accelerators);
  }
  return true;
}

Shares SharesOf(const CellState& cell) {
  std::unordered_map<std::string_view, const WorkerState*> workers;
  for (const auto& [id, worker] : cell.workers()) workers.emplace(id.value(), &worker);
  Shares shares;
  for (const BoundRun& run : cell.bound_runs()) {
    const auto it = workers.find(run.worker.value());
    if (it == workers.end()) continue;
    std::vector<WorkerShare>& list = shares[it->second];
    const auto same = std::find_if(list.begin(), list.end(), [&run](const WorkerShare& share) {
      return share.workspace == run.workspace.value();
    });
    if (same == list.end()) {
      list.push_back({run.workspace.value(), {0, 0, 0, run.accelerators}});
    } else {
      same->remaining.accelerators |= run.accelerators;
    }
  }
  for (auto& [worker, list] : shares) {
    for (WorkerShare& share : list) {
      share.remaining = internal::ShareOf(worker->capacity, share.remaining.accelerators);
    }
  }
  return shares;
}

// The attempts of a cell in the order in which shares are allocated: attempts that were guaranteed
// come first, so that they stay guaranteed, and older ones come before newer ones.
std::vector<AttemptTasks> AttemptsInOrder(const CellState& cell) {
  std::vector<AttemptTasks> attempts;
  std::unordered_map<std::string_view, std::size_t> index;
  for (const auto& [id, worker] : cell.workers()) {
    for (const PlacedTask& task : worker.tasks) {
      const auto it = index.try_emplace(task.attempt.value(), attempts.size()).first;
      if (it->second == attempts.size()) attempts.push_back({{}, true, task.started});
      AttemptTasks& attempt = attempts[it->second];
      attempt.members.push_back({&worker, &task});
      attempt.was_guaranteed = attempt.was_guaranteed && !task.borrowed;
    }
  }
  std::stable_sort(
      attempts.begin(), attempts.end(), [](const AttemptTasks& a, const AttemptTasks& b) {
        return std::pair(!a.was_guaranteed, a.started) < std::pair(!b.was_guaranteed, b.started);
      });
  return attempts;
}

}  // namespace

void ApplyBinding(CellState& cell, std::vector<BoundRun> runs) {
  cell.SetBoundRuns(std::move(runs));
  Shares shares = SharesOf(cell);
  for (const AttemptTasks& attempt : AttemptsInOrder(cell)) {
    const bool borrowed = !AllocateShares(attempt, shares);
    for (const AttemptTask& member : attempt.members) {
      if (member.task->borrowed == borrowed) continue;
      cell.SetBorrowed(member.worker->id, member.task->attempt, member.task->rank, borrowed);
    }
  }
}

}  // namespace basilspring
