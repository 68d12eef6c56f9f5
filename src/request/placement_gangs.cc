#include <algorithm>
#include <string_view>
#include <unordered_map>

#include "request/accelerator_runs.h"
#include "request/placement_plan.h"

namespace basilspring::internal {
namespace {

// Cost difference between victims of neighbouring classes. It exceeds the work of any single gang
// of the class below: 64 tasks with 32 accelerators each reach 10^13 accelerator milliseconds only
// after 56 days.
constexpr double kClassCostStep = 1e13;

void AddTask(const PlacedTask& task, TimePoint now, Gang& gang) {
  const auto run_time = std::max<std::int64_t>((now - task.started).milliseconds(), 0);
  // A task without accelerators counts as an eighth of an accelerator, so that its run time still
  // contributes to the cost.
  const double accelerators = task.accelerators == 0 ? 0.125 : CountBits(task.accelerators);
  gang.work += accelerators * static_cast<double>(run_time);
  gang.borrowed = gang.borrowed || task.borrowed;
}

void AddPart(const PlacedTask& task, std::size_t gang_index, std::size_t worker, Gang& gang,
             std::vector<GangPart>& parts) {
  const GangPart part{gang_index, task.shape.cores.value(), task.shape.memory.value(), 1,
                      task.accelerators};
  if (gang.workers.empty() || gang.workers.back() != worker) {
    gang.workers.push_back(worker);
    parts.push_back(part);
    return;
  }
  const auto same = std::find_if(parts.begin(), parts.end(),
                                 [gang_index](const GangPart& p) { return p.gang == gang_index; });
  same->cores += part.cores;
  same->memory += part.memory;
  same->slots += 1;
  same->accelerators |= part.accelerators;
}

}  // namespace

GangTable CollectGangs(const Candidates& candidates, TimePoint now) {
  GangTable table;
  table.parts.resize(candidates.list.size());
  std::size_t tasks = 0;
  for (const Candidate& candidate : candidates.list) tasks += candidate.worker->tasks.size();
  std::unordered_map<std::string_view, std::size_t> by_attempt;
  by_attempt.reserve(tasks);
  for (std::size_t i = 0; i < candidates.list.size(); ++i) {
    table.parts[i].reserve(candidates.list[i].worker->tasks.size());
    for (const PlacedTask& task : candidates.list[i].worker->tasks) {
      const std::size_t gang_index =
          by_attempt.try_emplace(task.attempt.value(), table.gangs.size()).first->second;
      if (gang_index == table.gangs.size()) table.gangs.push_back({&task});
      AddTask(task, now, table.gangs[gang_index]);
      AddPart(task, gang_index, i, table.gangs[gang_index], table.parts[i]);
    }
  }
  for (Gang& gang : table.gangs) {
    const auto lower_classes =
        static_cast<double>(JobClass::kBackground) - static_cast<double>(gang.any_task->job_class);
    gang.cost = gang.work + lower_classes * kClassCostStep + 1;
  }
  for (std::vector<GangPart>& parts : table.parts) {
    std::sort(parts.begin(), parts.end(), [&table](const GangPart& a, const GangPart& b) {
      return table.gangs[a.gang].cost < table.gangs[b.gang].cost;
    });
  }
  return table;
}

}  // namespace basilspring::internal
