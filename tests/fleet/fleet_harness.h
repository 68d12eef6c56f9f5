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

/// A scheduler with simulated agents and a simulated store, on a simulated clock. Tests see what
/// backend servers see: each start, stop and end.
class FleetHarness {
 public:
  struct Run {
    TaskId task;
    RunNumber run;
    std::int64_t started_ms = 0;
    std::int64_t work_ms = 0;
    std::int64_t stop_at_ms = -1;
    std::string checkpoint;
    bool hangs = false;
  };
  struct Agent {
    AgentReport report;
    std::vector<Run> runs;
    std::int64_t next_end = 1;
    bool reachable = true;
    /// The outcome of the next start instead of a start.
    std::optional<BackendStatus> next_start;
    /// A start whose outcome is set above begins all the same.
    bool starts_anyway = false;
  };

  explicit FleetHarness(std::uint64_t term = 1);

  /// Begins another term on the same agents and store.
  void ChangeScheduler(std::uint64_t term);
  Agent& AddAgent(const std::string& name, const std::string& rack, std::int64_t accelerators = 8);
  Agent& agent(const std::string& name) { return agents_.at(name); }
  void AddQueue(const std::string& name, std::int32_t priority, double stretch,
                std::int64_t slack_ms, std::int32_t max_attempts = 4);
  void AddWorkspace(const std::string& name, std::int64_t guaranteed);
  /// Submits a job of one step.
  JobId Submit(const std::string& queue, const std::string& workspace, const StepSpec& step);
  JobId Submit(const std::string& queue, const std::string& workspace, std::vector<StepSpec> steps);
  void Cancel(const JobId& job) { core_->CancelJob(job); }

  /// Lets time pass in steps of 20 ms.
  void Advance(std::int64_t milliseconds);
  /// Runs until the job is shown in this phase; false after the limit.
  bool RunUntil(const JobId& job, JobPhase phase, std::int64_t limit_ms);

  SchedulerCore& core() { return *core_; }
  std::int64_t now_ms() const { return now_ms_; }
  std::optional<JobPhase> PhaseOf(const JobId& job) const { return core_->PhaseOf(job); }
  /// Runs of a task that have begun, in their order, with the agent of each.
  const std::vector<std::pair<std::string, Run>>& starts() const { return starts_; }
  std::size_t StartsOf(const JobId& job) const;
  std::size_t Running(const JobId& job) const;
  /// Tasks that two agents worked on at the same time.
  const std::set<std::string>& doubled() const { return doubled_; }
  const std::map<JobId, JobProgress>& stored() const { return stored_; }

  /// Run time of a task; the default is its estimate.
  std::function<std::int64_t(const TaskId&)> work_of;
  /// How a run ends that has done its work; the default is kDone.
  std::function<RunEnd(const std::string& agent, const TaskId&)> end_of;
  std::int64_t stop_time_ms = 400;
  bool store_answers = true;
  SchedulerOptions options;

 private:
  void Publish();
  void StepAgents();
  void Report(Agent& agent);
  void End(const std::string& name, Agent& agent, const Run& run, RunEnd end);
  void Execute(SchedulerOutput output);
  OrderBatchReply Obey(const std::string& name, Agent& agent, const OrderBatch& batch);
  void CheckDoubled();
  /// Whether the run has done its work and, as a member of a gang, all others have too.
  bool IsDone(const Run& run) const;

  std::int64_t now_ms_ = 1000000;
  std::unique_ptr<SchedulerCore> core_;
  std::map<std::string, Agent> agents_;
  OperatorState operators_;
  std::map<JobId, JobSpec> specs_;
  std::map<JobId, JobProgress> stored_;
  std::vector<std::pair<std::string, Run>> starts_;
  std::set<std::string> doubled_;
  std::uint64_t next_job_ = 1;
};

/// A step of `count` tasks, each with these accelerators and this run time.
StepSpec MakeStep(std::int32_t count, std::int64_t accelerators, std::int64_t estimate_ms);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_TESTS_FLEET_FLEET_HARNESS_H_
