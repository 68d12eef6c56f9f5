#ifndef BASILSPRING_TESTS_FLEET_FLEET_HARNESS_H_
#define BASILSPRING_TESTS_FLEET_FLEET_HARNESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilspring/fleet/scheduler_core.h"

namespace basilspring::fleet {

/// A scheduler with simulated agents, a simulated store and a simulated clock. Gives tests access
/// to the starts, stops and ends of runs as backend servers see them.
class FleetHarness {
 public:
  struct Run {
    TaskId task;
    RunNumber run;
    std::int64_t started_ms = 0;
    std::int64_t work_ms = 0;
    /// When the stopped run ends; -1 if it has not been stopped.
    std::int64_t stop_at_ms = -1;
    std::string checkpoint;
    /// Whether the run makes no progress.
    bool stalled = false;
  };
  struct Agent {
    AgentReport report;
    std::vector<Run> runs;
    std::int64_t next_end = 1;
    bool reachable = true;
    /// If true, orders to the agent are lost, while its reports arrive.
    bool loses_orders = false;
    /// The status with which the agent answers the next start without executing it.
    std::optional<BackendStatus> next_start_status;
    /// If true, `next_start_status` applies to all starts until it is reset.
    bool keeps_start_status = false;
    /// If true, a start answered with `next_start_status` is executed nevertheless.
    bool starts_despite_status = false;
    /// If true, the next stop is carried out, but the answer to its batch is lost.
    bool loses_next_stop_answer = false;
    /// If true, answers to batches are kept back until DeliverAnswers().
    bool delays_answers = false;
    /// The answers kept back, by the number of the batch.
    std::map<std::uint64_t, std::optional<OrderBatchReply>> delayed_answers;
    /// The shortest time between two polls; 0 if each report contains a new poll.
    std::int64_t poll_interval_ms = 0;
    std::int64_t polled_at_ms = 0;
  };

  explicit FleetHarness(std::uint64_t term = 1);

  /// Starts another term with the same agents and store.
  void ChangeScheduler(std::uint64_t term);
  Agent& AddAgent(const std::string& name, const std::string& rack, std::int64_t accelerators = 8);
  Agent& agent(const std::string& name) { return agents_.at(name); }
  void AddQueue(const std::string& name, std::int32_t priority, double stretch,
                std::int64_t slack_ms, std::int32_t max_attempts = 4,
                const std::string& service = "service");
  void RemoveQueue(const std::string& name);
  void AddWorkspace(const std::string& name, std::int64_t guaranteed);
  /// Sets whether the configuration says that backend servers refuse runs that exceed their
  /// capacity; the default is true.
  void SetEnforcesCapacity(bool enforces);
  /// Submits a job of one step.
  JobId Submit(const std::string& queue, const std::string& workspace, const StepSpec& step);
  JobId Submit(const std::string& queue, const std::string& workspace, std::vector<StepSpec> steps);
  /// Adds all stored jobs again, as after a watch that has lost its history.
  void ReadJobsAgain();
  void Cancel(const JobId& job) { core_->CancelJob(job); }

  /// Delivers the answers that the agent has kept back.
  void DeliverAnswers(const std::string& name);

  /// Advances the clock in steps of 20 ms.
  void Advance(std::int64_t milliseconds);
  /// Advances the clock until the job is in this phase. Returns false if the limit passes first.
  bool RunUntil(const JobId& job, JobPhase phase, std::int64_t limit_ms);

  SchedulerCore& core() { return *core_; }
  const SchedulerCore& core() const { return *core_; }
  std::int64_t now_ms() const { return now_ms_; }
  std::optional<JobPhase> PhaseOf(const JobId& job) const { return core_->PhaseOf(job); }
  /// All started runs in the order of their starts, with the agent of each.
  const std::vector<std::pair<std::string, Run>>& starts() const { return starts_; }
  /// All starts that reached an agent, also those that were not carried out.
  const std::vector<std::pair<std::string, Run>>& ordered_starts() const { return ordered_starts_; }
  std::size_t StartsOf(const JobId& job) const;
  /// Returns the number of the job's active runs, without those that are being stopped.
  std::size_t RunningTasks(const JobId& job) const;
  /// Tasks of which two runs were active at the same time.
  const std::set<std::string>& overlapping_tasks() const { return overlapping_tasks_; }
  const std::map<JobId, JobProgress>& stored() const { return stored_; }
  /// Jobs of which all keys were removed from the store.
  const std::set<JobId>& removed() const { return removed_; }

  /// Returns the run time of a task in milliseconds; the default is its estimate.
  std::function<std::int64_t(const TaskId&)> run_time_of;
  /// Returns the end of a run that has completed its work; the default is RunEnd::kDone.
  std::function<RunEnd(const std::string& agent, const TaskId&)> outcome_of;
  std::int64_t stop_time_ms = 400;
  /// By how much the scheduler's time of day is ahead of its steady clock.
  std::int64_t wall_offset_ms = 0;
  /// If false, records are neither stored nor confirmed.
  bool store_available = true;
  SchedulerOptions options;

 private:
  void PublishOperatorState();
  void StepAgents();
  void Report(Agent& agent);
  void RecordEnd(const std::string& name, Agent& agent, const Run& run, RunEnd end);
  void ApplyOutput(const SchedulerOutput& output);
  /// Returns std::nullopt if the answer is lost.
  std::optional<OrderBatchReply> ExecuteOrders(const std::string& name, Agent& agent,
                                               const OrderBatch& batch);
  void CheckOverlappingRuns();
  /// Returns whether the run and, if it is a member of a gang, all other members have completed
  /// their work.
  bool IsDone(const Run& run) const;

  std::int64_t now_ms_ = 1000000;
  Term term_;
  std::unique_ptr<SchedulerCore> core_;
  std::map<std::string, Agent> agents_;
  OperatorState operators_;
  std::map<JobId, JobSpec> specs_;
  std::map<JobId, JobProgress> stored_;
  std::set<JobId> removed_;
  std::vector<std::pair<std::string, Run>> starts_;
  std::vector<std::pair<std::string, Run>> ordered_starts_;
  std::set<std::string> overlapping_tasks_;
  std::uint64_t next_job_ = 1;
};

/// Returns a step of `count` tasks with the given accelerators and run time estimate per task.
StepSpec MakeStep(std::int32_t count, std::int64_t accelerators, std::int64_t estimate_ms);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_TESTS_FLEET_FLEET_HARNESS_H_
