#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "basilspring/request/placement.h"
#include "basilspring/version/guarantee.h"

namespace basilspring {
namespace {

constexpr std::size_t kWorkspaces = 4;

// Draws from the whole range from the first case on; by default, rapidcheck begins with the lowest
// values.
template <typename T>
T AnyOf(T first, T end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(first, end));
}

WorkspaceId Workspace(std::size_t i) { return WorkspaceId("team" + std::to_string(i)); }

// A cell of 3 to 9 workers with accepted guarantees. The steps are submitted jobs, ends of jobs,
// losses, quarantines and returns of workers, and the data centre going out of and into service.
class Model {
 public:
  Model() : workers_(AnyOf<std::size_t>(3, 10)), mixed_sizes_(AnyOf(0, 2) == 1) {
    std::vector<RackInventory> racks((workers_ + 2) / 3);
    for (std::size_t i = 0; i < workers_; ++i) {
      sizes_.push_back(mixed_sizes_ ? 4U << AnyOf(0U, 3U) : 8U);
    }
    for (std::size_t i = 0; i < workers_; ++i) {
      racks[i / 3].rack = Rack(i);
      racks[i / 3].workers.push_back({Id(i), sizes_[i]});
      Upsert(i, true);
    }
    const auto count = [](int most) { return static_cast<std::uint32_t>(AnyOf(0, most + 1)); };
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      const Guarantee guarantee{Workspace(i), count(3), count(2),    count(2),
                                count(1),     count(1), count(4) / 4};
      std::vector<Guarantee> wanted = guarantees_;
      wanted.push_back(guarantee);
      // Like the entry, accepts only a configuration that fits.
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
        return LoseWorker(AnyOf<std::size_t>(0, workers_));
      case 3:
        Upsert(AnyOf<std::size_t>(0, workers_), true);
        return Rebind();
      case 4:
        return TakeDataCentreOutAndIn();
      default:
        return ChangeHealthState(Id(AnyOf<std::size_t>(0, workers_)));
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
    cell_.UpsertWorker(Id(i), Rack(i), {},
                       {Cores(2 * sizes_[i]), Megabytes(200 * sizes_[i]), Accelerators(sizes_[i]),
                        Slots(sizes_[i]), Connections(60)},
                       accepting);
  }

  void Rebind() {
    BindingResult binding = BindGuarantees(cell_, guarantees_);
    shortfalls_ = binding.shortfalls;
    const bool complete =
        cell_.workers().size() == workers_ &&
        std::all_of(cell_.workers().begin(), cell_.workers().end(),
                    [](const auto& entry) { return InFullService(entry.second); });
    if (complete) RC_ASSERT(shortfalls_.empty());
    ApplyBinding(cell_, std::move(binding.runs));
  }

  JobSpec RandomJob() {
    JobSpec job;
    job.id = JobId("j" + std::to_string(++jobs_));
    job.workspace = Workspace(AnyOf<std::size_t>(0, kWorkspaces));
    job.job_class = *rc::gen::element(JobClass::kUrgent, JobClass::kBatch, JobClass::kBackground);
    job.shape.tasks = AnyOf(1U, 13U);
    job.shape.cores = Cores(AnyOf(1U, 7U));
    job.shape.memory = Megabytes(AnyOf(1U, 500U));
    job.shape.accelerators = Accelerators(AnyOf(0U, 9U));
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
  void TakeDataCentreOutAndIn() {
    for (std::size_t i = 0; i < workers_; ++i) cell_.SetAccepting(Id(i), false);
    Rebind();
    for (std::size_t i = 0; i < workers_; ++i) Upsert(i, true);
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

  // Checks that the workspace, once its own tasks have ended, gets each of its runs with the run's
  // share of cores, memory and slots, and that only borrowed tasks are preempted for it.
  void CheckReclaim(const Guarantee& guarantee) const {
    Model after = *this;
    for (const auto& [id, worker] : cell_.workers()) {
      for (const PlacedTask& task : worker.tasks) {
        if (task.workspace == guarantee.workspace) after.RemoveAttempt(task.attempt);
      }
    }
    // Small runs are placed first, since they must not use up large ones.
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
      PlacementInput input{&after.cell_, &job, now_};
      // Reserves all workers, so that free capacity elsewhere is not used instead of the guarantee.
      for (const auto& [id, worker] : cell_.workers()) input.reserved.push_back(id);
      input.may_preempt = true;
      const PlacementResult result = PlaceGang(input);
      const auto* placed = std::get_if<Placed>(&result);
      // rapidcheck can't print a null pointer.
      RC_ASSERT(std::holds_alternative<Placed>(result));
      after.CheckVictims(*placed);
      for (const Victim& victim : placed->victims) after.RemoveAttempt(victim.attempt);
      for (const TaskPlacement& task : placed->tasks) {
        RC_ASSERT(!task.borrowed);
        after.Start(job, task);
      }
    }
  }

  // Checks that the bound runs make up the whole guarantee except for the reported shortfalls.
  void CheckRunsMatchGuarantee(const Guarantee& guarantee) const {
    std::map<std::uint32_t, std::uint32_t> sizes;
    for (const BoundRun& run : cell_.bound_runs()) {
      if (run.workspace == guarantee.workspace) ++sizes[std::popcount(run.accelerators)];
    }
    std::map<std::string, std::uint32_t> missing;
    for (const Shortfall& shortfall : shortfalls_) {
      if (shortfall.workspace == guarantee.workspace) missing[shortfall.level] += shortfall.missing;
    }
    RC_ASSERT(sizes[1] == guarantee.run1 - missing["run1"]);
    RC_ASSERT(sizes[2] == guarantee.run2 - missing["run2"]);
    const std::uint32_t run4 = guarantee.run4 - missing["run4"];
    const std::uint32_t run8 = guarantee.run8 - missing["run8"];
    const std::uint32_t whole =
        guarantee.worker - missing["worker"] + guarantee.rack - missing["rack"];
    if (mixed_sizes_) {
      // Whole workers have 4, 8 or 16 accelerators.
      RC_ASSERT(sizes[4] >= run4);
      RC_ASSERT(sizes[8] >= run8);
      RC_ASSERT(sizes[4] + sizes[8] + sizes[16] >= run4 + run8 + whole);
    } else {
      RC_ASSERT(sizes[4] == run4);
      RC_ASSERT(sizes[8] >= run8 + whole);
    }
  }

  std::size_t workers_;
  bool mixed_sizes_;
  std::vector<std::uint32_t> sizes_;
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
    const int steps = AnyOf(1, 40);
    for (int i = 0; i < steps; ++i) {
      model.Step();
      model.Check();
    }
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace basilspring
