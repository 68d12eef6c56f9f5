#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

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

// What each workspace may still hold under its guarantee, by worker.
struct WorkerShare {
  std::string_view workspace;
  internal::Room left;
};
using Shares = std::unordered_map<const WorkerState*, std::vector<WorkerShare>>;

internal::Room* FindShare(Shares& shares, const Member& member) {
  const auto it = shares.find(member.worker);
  if (it == shares.end()) return nullptr;
  for (WorkerShare& share : it->second) {
    if (share.workspace == member.task->workspace.value()) return &share.left;
  }
  return nullptr;
}

// Takes the shares that all tasks of the attempt need, or none.
bool TakeShares(const AttemptTasks& attempt, Shares& shares) {
  std::vector<std::pair<internal::Room*, internal::Room>> before;
  for (const Member& member : attempt.members) {
    const PlacedTask& task = *member.task;
    internal::Room* share = FindShare(shares, member);
    const bool fits = share != nullptr && task.accelerators != 0 &&
                      (task.accelerators & ~share->accelerators) == 0 &&
                      share->HoldsTask(task.shape);
    if (!fits) {
      for (auto undo = before.rbegin(); undo != before.rend(); ++undo) {
        *undo->first = undo->second;
      }
      return false;
    }
    before.emplace_back(share, *share);
    share->Take(task.shape, task.accelerators);
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
      same->left.accelerators |= run.accelerators;
    }
  }
  for (auto& [worker, list] : shares) {
    for (WorkerShare& share : list) {
      share.left = internal::ShareOf(worker->capacity, share.left.accelerators);
    }
  }
  return shares;
}

// The attempts of a cell. Those that were guaranteed keep their shares before others get one, older
// ones first.
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
    const bool borrowed = !TakeShares(attempt, shares);
    for (const Member& member : attempt.members) {
      if (member.task->borrowed == borrowed) continue;
      cell.SetBorrowed(member.worker->id, member.task->attempt, member.task->rank, borrowed);
    }
  }
}

}  // namespace basilspring
