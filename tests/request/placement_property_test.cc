#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "basilspring/request/placement.h"
#include "basilspring/version/guarantee.h"

namespace basilspring {
namespace {

constexpr std::size_t kWorkspaces = 4;

// Returns a random value in [first, end). Uses the whole range from the first test case on, while
// rapidcheck by default begins with the lowest values.
template <typename T>
T RandomInRange(T first, T end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(first, end));
}

WorkspaceId Workspace(std::size_t i) { return WorkspaceId("team" + std::to_string(i)); }

// A cell of 3 to 9 workers with accepted guarantees. Each step submits or ends a job, loses or
// returns a worker, changes a worker's quarantine and probation, or takes the data centre out of
// service and back.
class Model {
 public:
  Model()
      : worker_count_(RandomInRange<std::size_t>(3, 10)),
        mixed_worker_sizes_(RandomInRange(0, 2) == 1) {
    std::vector<RackInventory> racks((worker_count_ + 2) / 3);
    for (std::size_t i = 0; i < worker_count_; ++i) {
      accelerators_of_worker_.push_back(mixed_worker_sizes_ ? 4U << RandomInRange(0U, 3U) : 8U);
    }
    for (std::size_t i = 0; i < worker_count_; ++i) {
      racks[i / 3].rack = Rack(i);
      racks[i / 3].workers.push_back({Id(i), accelerators_of_worker_[i]});
      Upsert(i, true);
    }
    const auto count = [](int max) {
      return static_cast<std::uint32_t>(RandomInRange(0, max + 1));
    };
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      // The last member, the number of racks, is 1 in 20% of the cases and otherwise 0.
      const Guarantee guarantee{Workspace(i), count(3), count(2),    count(2),
                                count(1),     count(1), count(4) / 4};
      std::vector<Guarantee> wanted = guarantees_;
      wanted.push_back(guarantee);
      // A guarantee is kept only if all of them fit together; the entry accepts a configuration
      // under the same condition.
      if (PackGuarantees(racks, wanted).shortfalls.empty()) guarantees_ = std::move(wanted);
    }
    Rebind();
  }

  void Step() {
    now_ = now_ + Duration(1000);
    switch (*rc::gen::weightedElement<int>({{12, 0}, {4, 1}, {1, 2}, {2, 3}, {1, 4}, {1, 5}})) {
      case 0:
        return Submit(RandomJob());
      case 1:
        return EndRandomJob();
      case 2:
        return LoseWorker(RandomInRange<std::size_t>(0, worker_count_));
      case 3:
        Upsert(RandomInRange<std::size_t>(0, worker_count_), true);
        return Rebind();
      case 4:
        return TakeDataCentreOutOfServiceAndBack();
      default:
        return ChangeHealthState(Id(RandomInRange<std::size_t>(0, worker_count_)));
    }
  }

  void Check() const {
    CheckNothingIsOvercommitted();
    for (const Guarantee& guarantee : guarantees_) {
      CheckReclaim(guarantee);
      CheckRunsMatchGuarantee(guarantee);
    }
  }

 private:
  static WorkerId Id(std::size_t i) { return WorkerId("w" + std::to_string(i)); }
  static RackId Rack(std::size_t i) { return RackId("r" + std::to_string(i / 3)); }

  void Upsert(std::size_t i, bool accepting) {
    cell_.UpsertWorker(
        Id(i), Rack(i), {},
        {Cores(2 * accelerators_of_worker_[i]), Megabytes(200 * accelerators_of_worker_[i]),
         Accelerators(accelerators_of_worker_[i]), Slots(accelerators_of_worker_[i]),
         Connections(60)},
        accepting);
  }

  void Rebind() {
    BindingResult binding = BindGuarantees(cell_, guarantees_);
    shortfalls_ = binding.shortfalls;
    const bool all_workers_in_full_service =
        cell_.workers().size() == worker_count_ &&
        std::all_of(cell_.workers().begin(), cell_.workers().end(),
                    [](const auto& entry) { return InFullService(entry.second); });
    if (all_workers_in_full_service) RC_ASSERT(shortfalls_.empty());
    ApplyBinding(cell_, std::move(binding.runs));
  }

  JobSpec RandomJob() {
    JobSpec job;
    job.id = JobId("j" + std::to_string(++jobs_));
    job.workspace = Workspace(RandomInRange<std::size_t>(0, kWorkspaces));
    job.job_class = *rc::gen::element(JobClass::kUrgent, JobClass::kBatch, JobClass::kBackground);
    job.shape.tasks = RandomInRange(1U, 13U);
    job.shape.cores = Cores(RandomInRange(1U, 7U));
    job.shape.memory = Megabytes(RandomInRange(1U, 500U));
    job.shape.accelerators = Accelerators(RandomInRange(0U, 9U));
    job.shape.adjacent = *rc::gen::arbitrary<bool>();
    return job;
  }

  void Submit(const JobSpec& job) {
    PlacementInput input{&cell_, &job, now_};
    input.may_preempt = *rc::gen::arbitrary<bool>();
    const PlacementResult result = PlaceGang(input);
    const auto* placed = std::get_if<Placed>(&result);
    if (placed == nullptr) {
      RC_ASSERT(!std::get<NotPlaced>(result).reason.empty());
      return;
    }
    RC_ASSERT(placed->tasks.size() == job.shape.tasks);
    RC_ASSERT(placed->victims.empty() || input.may_preempt);
    CheckVictims(*placed);
    for (const Victim& victim : placed->victims) RemoveAttempt(victim.attempt);
    for (const TaskPlacement& task : placed->tasks) Start(job, task);
  }

  void CheckVictims(const Placed& placed) const {
    std::set<std::pair<AttemptId, WorkerId>> victims;
    for (const Victim& victim : placed.victims) victims.insert({victim.attempt, victim.worker});
    for (const auto& [id, worker] : cell_.workers()) {
      for (const PlacedTask& task : worker.tasks) {
        const bool is_victim =
            std::any_of(placed.victims.begin(), placed.victims.end(),
                        [&](const Victim& victim) { return victim.attempt == task.attempt; });
        if (!is_victim) continue;
        RC_ASSERT(task.borrowed);
        RC_ASSERT(victims.contains({task.attempt, id}));
      }
    }
  }

  void Start(const JobSpec& job, const TaskPlacement& task) {
    const GangShape& shape = job.shape;
    RC_ASSERT(static_cast<std::uint32_t>(std::popcount(task.accelerators)) ==
              shape.accelerators.value());
    if (shape.adjacent && task.accelerators != 0) {
      const auto first = static_cast<std::uint32_t>(std::countr_zero(task.accelerators));
      RC_ASSERT(first % std::bit_ceil(shape.accelerators.value()) == 0);
      RC_ASSERT(task.accelerators >> first == (1U << shape.accelerators.value()) - 1);
    }
    cell_.AddTask(task.worker, {AttemptId(job.id.value()), job.id, task.rank, job.workspace,
                                job.job_class, shape, task.accelerators, task.borrowed, now_});
  }

  void RemoveAttempt(const AttemptId& attempt) {
    std::vector<std::pair<WorkerId, std::uint32_t>> tasks;
    for (const auto& [id, worker] : cell_.workers()) {
      for (const PlacedTask& task : worker.tasks) {
        if (task.attempt == attempt) tasks.emplace_back(id, task.rank);
      }
    }
    for (const auto& [worker, rank] : tasks) cell_.RemoveTask(worker, attempt, rank);
  }

  void EndRandomJob() {
    std::set<AttemptId> attempts;
    for (const auto& [id, worker] : cell_.workers()) {
      for (const PlacedTask& task : worker.tasks) attempts.insert(task.attempt);
    }
    if (!attempts.empty()) RemoveAttempt(*rc::gen::elementOf(attempts));
  }

  void LoseWorker(std::size_t i) {
    for (const PlacedTask& task : cell_.RemoveWorker(Id(i))) RemoveAttempt(task.attempt);
    Rebind();
  }

  void ChangeHealthState(const WorkerId& id) {
    cell_.SetQuarantined(id, *rc::gen::arbitrary<bool>());
    cell_.SetProbation(id, *rc::gen::arbitrary<bool>());
    Rebind();
  }

  // Workers keep their tasks while the data centre is out of service.
  void TakeDataCentreOutOfServiceAndBack() {
    for (std::size_t i = 0; i < worker_count_; ++i) cell_.SetAccepting(Id(i), false);
    Rebind();
    for (std::size_t i = 0; i < worker_count_; ++i) Upsert(i, true);
    Rebind();
  }

  void CheckNothingIsOvercommitted() const {
    for (const auto& [id, worker] : cell_.workers()) {
      std::uint32_t cores = 0;
      std::uint32_t memory = 0;
      AcceleratorMask held = 0;
      for (const PlacedTask& task : worker.tasks) {
        cores += task.shape.cores.value();
        memory += task.shape.memory.value();
        RC_ASSERT((held & task.accelerators) == 0U);
        held |= task.accelerators;
      }
      RC_ASSERT(cores <= worker.capacity.cores.value());
      RC_ASSERT(memory <= worker.capacity.memory.value());
      RC_ASSERT(worker.tasks.size() <= worker.capacity.slots.value());
      RC_ASSERT(std::bit_width(held) <= worker.capacity.accelerators.value());
    }
  }

  // Checks that, once the workspace's own tasks have ended, one task for each of its bound runs can
  // be placed, with cores and memory in proportion to the run, and that only borrowed tasks are
  // preempted for it.
  void CheckReclaim(const Guarantee& guarantee) const {
    Model without_own_tasks = *this;
    for (const auto& [id, worker] : cell_.workers()) {
      for (const PlacedTask& task : worker.tasks) {
        if (task.workspace == guarantee.workspace) without_own_tasks.RemoveAttempt(task.attempt);
      }
    }
    // Places the tasks for small runs first, to check that they leave the large runs free for the
    // later tasks.
    std::vector<BoundRun> runs = cell_.bound_runs();
    std::sort(runs.begin(), runs.end(), [](const BoundRun& a, const BoundRun& b) {
      return std::popcount(a.accelerators) < std::popcount(b.accelerators);
    });
    for (const BoundRun& run : runs) {
      if (run.workspace != guarantee.workspace) continue;
      const auto size = static_cast<std::uint32_t>(std::popcount(run.accelerators));
      JobSpec job;
      job.id = JobId("reclaim" + run.worker.value() + "-" + std::to_string(run.accelerators));
      job.workspace = run.workspace;
      job.shape = {1, Cores(2 * size), Megabytes(200 * size), Accelerators(size), true};
      PlacementInput input{&without_own_tasks.cell_, &job, now_};
      // Reserves all workers, so that free capacity elsewhere is not used instead of the guarantee.
      // Runs bound to the workspace stay usable on reserved workers.
      for (const auto& [id, worker] : cell_.workers()) input.reserved.push_back(id);
      input.may_preempt = true;
      const PlacementResult result = PlaceGang(input);
      const auto* placed = std::get_if<Placed>(&result);
      // Asserts on the variant instead of `placed != nullptr`, because rapidcheck can't print a
      // null pointer.
      RC_ASSERT(std::holds_alternative<Placed>(result));
      without_own_tasks.CheckVictims(*placed);
      for (const Victim& victim : placed->victims) without_own_tasks.RemoveAttempt(victim.attempt);
      for (const TaskPlacement& task : placed->tasks) {
        RC_ASSERT(!task.borrowed);
        without_own_tasks.Start(job, task);
      }
    }
  }

  // Checks that the bound runs make up the whole guarantee except for the reported shortfalls.
  void CheckRunsMatchGuarantee(const Guarantee& guarantee) const {
    std::map<std::uint32_t, std::uint32_t> runs_by_size;
    for (const BoundRun& run : cell_.bound_runs()) {
      if (run.workspace == guarantee.workspace) ++runs_by_size[std::popcount(run.accelerators)];
    }
    std::map<std::string, std::uint32_t> missing;
    for (const Shortfall& shortfall : shortfalls_) {
      if (shortfall.workspace == guarantee.workspace) missing[shortfall.level] += shortfall.missing;
    }
    RC_ASSERT(runs_by_size[1] == guarantee.run1 - missing["run1"]);
    RC_ASSERT(runs_by_size[2] == guarantee.run2 - missing["run2"]);
    const std::uint32_t run4 = guarantee.run4 - missing["run4"];
    const std::uint32_t run8 = guarantee.run8 - missing["run8"];
    // Counts a rack as one worker, although its binding takes up to three, so whole workers and
    // racks are checked by a lower bound only.
    const std::uint32_t whole_workers =
        guarantee.worker - missing["worker"] + guarantee.rack - missing["rack"];
    if (mixed_worker_sizes_) {
      // Whole workers have 4, 8 or 16 accelerators, so a run of 4 or 8 may be one of them.
      RC_ASSERT(runs_by_size[4] >= run4);
      RC_ASSERT(runs_by_size[8] >= run8);
      RC_ASSERT(runs_by_size[4] + runs_by_size[8] + runs_by_size[16] >=
                run4 + run8 + whole_workers);
    } else {
      RC_ASSERT(runs_by_size[4] == run4);
      RC_ASSERT(runs_by_size[8] >= run8 + whole_workers);
    }
  }

  std::size_t worker_count_;
  bool mixed_worker_sizes_;
  std::vector<std::uint32_t> accelerators_of_worker_;
  CellState cell_;
  std::vector<Guarantee> guarantees_;
  std::vector<Shortfall> shortfalls_;
  TimePoint now_;
  int jobs_ = 0;
};

// Guards against guarantees that can't be reclaimed, partly placed gangs, overcommitted workers and
// preempted guaranteed tasks. On failure rapidcheck prints the seed and how to reproduce it.
TEST(PlacementProperty, GuaranteesCanAlwaysBeReclaimed) {
  const bool holds = rc::check([] {
    Model model;
    const int steps = RandomInRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      model.Step();
      model.Check();
    }
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace basilspring
