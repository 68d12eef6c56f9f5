#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "basilspring/fleet/scheduler_core.h"

namespace basilspring::fleet {
namespace {

constexpr int kRunsPerWorker = 13;
constexpr int kAccelerators = 8;
constexpr int kWaitingJobs = 20;
constexpr std::int64_t kTaskMs = 8000;

/// A fleet whose workers are full, and on which steps wait.
class BusyFleet {
 public:
  BusyFleet(ShortagePolicy policy, int workers) : core_(OptionsOf(policy), Term(1), now_) {
    OperatorState operators;
    operators.config.version = 1;
    operators.config.services.push_back({ServiceId("service"), true});
    AddQueue(operators, "urgent", 0, 1.5, 5000);
    AddQueue(operators, "forecast", 1, 3.0, 1200);
    AddQueue(operators, "batch", 2, 3.0, 3000);
    AddQueue(operators, "patient", 0, 1.5, 600000);
    core_.SetOperatorState(std::make_shared<OperatorState>(operators));
    for (int i = 0; i < workers; ++i) AddAgent(i);
    ReportAll();
    // Five of the 13 runs of a worker need no accelerator. They start last, because they would
    // otherwise fill the cores of some workers.
    for (const bool accelerated : {true, false}) {
      Submit("batch", workers * (accelerated ? kAccelerators : kRunsPerWorker - kAccelerators),
             accelerated ? 1 : 0, kTaskMs, false);
      for (int i = 0; i < 3; ++i) {
        Tick();
        ReportAll();
      }
    }
    for (int i = 0; i < 4; ++i) {
      now_ = now_ + Duration(1000);
      percent_ += 100 * 1000 / kTaskMs;
      ReportAll();
      Tick();
    }
    for (int i = 0; i < kWaitingJobs; ++i) {
      Submit(i % 2 == 0 ? "batch" : "forecast", 39, 1, kTaskMs, false);
    }
  }

  void SubmitGang(const std::string& queue, std::int64_t run_ms) {
    Submit(queue, 5, 8, run_ms, true);
    Tick();
    now_ = now_ + Duration(200);
    ReportAll();
  }

  void Tick() {
    const SchedulerOutput out = core_.Tick(now_, now_.milliseconds(), true);
    for (const ProgressSave& save : out.saves) core_.OnSaved(save.job, save.version);
    for (const OutgoingOrders& orders : out.orders) Execute(orders);
  }

  const SchedulerCounts& counts() const { return core_.counts(); }

 private:
  static SchedulerOptions OptionsOf(ShortagePolicy policy) {
    SchedulerOptions options;
    options.shortage = policy;
    return options;
  }

  static void AddQueue(OperatorState& operators, const std::string& name, std::int32_t priority,
                       double stretch, std::int64_t slack_ms) {
    Queue queue;
    queue.id = QueueId(name);
    queue.service = ServiceId("service");
    queue.priority = priority;
    queue.max_attempts = 4;
    queue.stretch = stretch;
    queue.target_slack = Duration(slack_ms);
    operators.config.queues.push_back(queue);
  }

  void AddAgent(int number) {
    AgentReport report;
    report.node = NodeId("agent-" + std::to_string(number));
    report.address = Address{report.node.value(), 1};
    report.incarnation = 1;
    report.term = Term(1);
    BackendAnnouncement backend;
    backend.id = BackendId("backend-" + std::to_string(number));
    backend.started_unix_ms = 1;
    backend.sequence = 1;
    backend.service = ServiceId("service");
    backend.data_centre = DataCentreId("here");
    backend.capacity = {kRunsPerWorker * 4000, 256000, kAccelerators};
    backend.rack = "rack-" + std::to_string(number / 8);
    report.backend.push_back(backend);
    core_.ExpectAgent(report.node, report.address);
    reports_.push_back(std::move(report));
  }

  void ReportAll() {
    for (AgentReport& report : reports_) {
      ++report.number;
      ++report.poll;
      for (RunningRow& row : report.running) row.percent = percent_;
      const AgentReportReply reply = core_.OnReport(now_, report);
      if (reply.accepted || reply.session == 0) continue;
      report.session = reply.session;
      ++report.number;
      core_.OnReport(now_, report);
    }
  }

  void Submit(const std::string& queue, std::int32_t tasks, std::int64_t accelerators,
              std::int64_t run_ms, bool gang) {
    JobSpec spec;
    spec.id = JobId("job-" + std::to_string(next_job_++));
    spec.queue = QueueId(queue);
    spec.workspace = WorkspaceId("workspace");
    StepSpec step;
    step.task_count = tasks;
    step.needs = {4000, 1000, accelerators};
    step.estimate = Duration(run_ms);
    step.gang = gang;
    spec.steps.push_back(step);
    spec.accepted_unix_ms = now_.milliseconds();
    core_.AddJob(now_, now_.milliseconds(), spec, std::nullopt);
  }

  void Execute(const OutgoingOrders& orders) {
    OrderBatchReply reply;
    for (AgentReport& report : reports_) {
      if (report.address.ip != orders.agent.ip) continue;
      reply.visible_from_poll = report.poll + 1;
      for (const Order& order : orders.message.orders) {
        if (order.start) report.running.push_back({order.task, order.run, order.checkpoint, 0});
        reply.statuses.push_back(static_cast<std::uint8_t>(BackendStatus::kOk));
      }
    }
    core_.OnOrdersAnswered(now_, orders.batch, reply);
  }

  TimePoint now_ = TimePoint(1000000);
  SchedulerCore core_;
  std::vector<AgentReport> reports_;
  int next_job_ = 1;
  /// Listed progress of all runs.
  std::int32_t percent_ = 0;
};

void Play(benchmark::State& state, BusyFleet& fleet) {
  const SchedulerCounts before = fleet.counts();
  for (auto _ : state) fleet.Tick();
  // A pass that changes the fleet would make the iterations different.
  const SchedulerCounts& after = fleet.counts();
  if (after.runs_started != before.runs_started || after.runs_preempted != 0) {
    state.SkipWithError("the fleet changed");
  }
  const auto workers = static_cast<std::uint64_t>(state.range(1));
  if (after.runs_started != workers * kRunsPerWorker) state.SkipWithError("the fleet is not full");
}

ShortagePolicy PolicyOf(const benchmark::State& state) {
  return state.range(0) == 0 ? ShortagePolicy::kTiers : ShortagePolicy::kCost;
}

/// 20 jobs of 39 tasks wait.
void PassWithWaitingJobs(benchmark::State& state) {
  BusyFleet fleet(PolicyOf(state), static_cast<int>(state.range(1)));
  Play(state, fleet);
}

/// Additionally an urgent gang waits that would stop too much work.
void PassWithDeclinedGang(benchmark::State& state) {
  BusyFleet fleet(PolicyOf(state), static_cast<int>(state.range(1)));
  fleet.SubmitGang("urgent", 300);
  Play(state, fleet);
}

/// Additionally an urgent gang waits for running work to end. By tiers it would stop runs.
void PassWithPatientGang(benchmark::State& state) {
  BusyFleet fleet(ShortagePolicy::kCost, static_cast<int>(state.range(1)));
  fleet.SubmitGang("patient", 60000);
  Play(state, fleet);
}

BENCHMARK(PassWithWaitingJobs)->ArgsProduct({{0, 1}, {60, 300}})->Unit(benchmark::kMicrosecond);
BENCHMARK(PassWithDeclinedGang)->ArgsProduct({{0, 1}, {60, 300}})->Unit(benchmark::kMicrosecond);
BENCHMARK(PassWithPatientGang)->ArgsProduct({{1}, {60, 300}})->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace basilspring::fleet
