#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "basilspring/fleet/agent_core.h"
#include "basilspring/fleet/scheduler_core.h"

namespace basilspring::fleet {
namespace {

constexpr std::int64_t kTickMs = 10;
constexpr std::int64_t kRunTimeMs = 1000;
// The time-outs of the calls to a backend server.
constexpr std::int64_t kBriefMs = 150;
constexpr std::int64_t kOrderMs = 350;
constexpr std::int64_t kPollMarginMs = 600;

const Address kSchedulerAddress{"10.0.0.1", 1};

/// A scheduler, an agent, and a backend server that leaves a share of the calls unanswered and
/// takes some time for each of the others.
class Cluster {
 public:
  Cluster(std::uint64_t seed, double lost_share, std::int64_t answer_ms = 0)
      : random_(seed),
        lost_share_(lost_share),
        answer_ms_(answer_ms),
        scheduler_(SchedulerOptions(), Term(1), Now()) {
    OperatorState operators;
    operators.config.version = 1;
    operators.config.services.push_back({ServiceId("service"), true});
    Queue queue;
    queue.id = QueueId("batch");
    queue.service = ServiceId("service");
    queue.max_attempts = 4;
    operators.config.queues.push_back(queue);
    FleetAgentOptions options;
    options.node = NodeId("agent");
    options.address = Address{"10.0.0.2", 1};
    options.incarnation = 7;
    agent_ = std::make_unique<FleetAgentCore>(options);
    BackendAnnouncement backend;
    backend.id = BackendId("backend");
    backend.started_unix_ms = 1;
    backend.sequence = 1;
    backend.service = ServiceId("service");
    backend.capacity = {64000, 64000, 8};
    agent_->OnAnnouncement(Now(), backend);
    scheduler_.SetOperatorState(std::make_shared<OperatorState>(operators));
    scheduler_.ExpectAgent(NodeId("agent"), Address{"10.0.0.2", 1});
    agent_->OnScheduler(Now(), Term(1), kSchedulerAddress);
  }

  /// Submits a gang and returns whether it is shown as completed within the time.
  bool CompletesGang(std::int32_t members, std::int64_t limit_ms) {
    JobSpec spec;
    spec.id = JobId("0000000000000001");
    spec.queue = QueueId("batch");
    spec.workspace = WorkspaceId("team");
    StepSpec step;
    step.task_count = members;
    step.gang = true;
    step.needs = {1000, 1000, 1};
    step.estimate = Duration(kRunTimeMs);
    spec.steps = {step};
    spec.accepted_unix_ms = now_ms_;
    scheduler_.AddJob(Now(), now_ms_, spec, std::nullopt);
    for (const std::int64_t end = now_ms_ + limit_ms; now_ms_ < end; now_ms_ += kTickMs) {
      Advance(members);
      if (scheduler_.PhaseOf(spec.id) == JobPhase::kCompleted) return true;
    }
    return false;
  }

  /// Returns the longest time that an order waited for the backend server.
  std::int64_t longest_order_ms() const { return longest_order_ms_; }

 private:
  struct Run {
    RunningRow row;
    std::int64_t ends_at_ms = 0;
  };

  void Advance(std::int32_t members) {
    // The members of a gang work once all are present.
    if (static_cast<std::int32_t>(running_.size()) == members) {
      for (Run& run : running_) {
        if (run.ends_at_ms == 0) run.ends_at_ms = now_ms_ + kRunTimeMs;
      }
    }
    std::erase_if(running_, [&](const Run& run) {
      if (run.ends_at_ms == 0 || now_ms_ < run.ends_at_ms) return false;
      AddEnd(run.row, RunEnd::kDone);
      return true;
    });
    for (auto next = answers_.begin(); next != answers_.end() && next->first <= now_ms_;) {
      next->second();
      next = answers_.erase(next);
    }
    for (int i = 0; i < 3; ++i) CarryOut(agent_->Tick(Now()));
    SchedulerOutput output = scheduler_.Tick(Now(), now_ms_, true);
    for (const ProgressSave& save : output.saves) scheduler_.OnSaved(save.job, save.version);
    for (OutgoingOrders& orders : output.orders) {
      orders.message.scheduler = kSchedulerAddress;
      sent_at_ms_[orders.batch] = now_ms_;
      agent_->OnOrders(Now(), orders.batch, orders.message);
    }
  }

  bool IsLost(std::int64_t timeout_ms) {
    return answer_ms_ > timeout_ms || std::uniform_real_distribution<>()(random_) < lost_share_;
  }

  void AddEnd(const RunningRow& row, RunEnd end) {
    ended_.push_back({++last_end_, row.task, row.run, static_cast<std::uint8_t>(end), ""});
  }

  BackendReply Answer(const PollRuns& poll) {
    std::erase_if(ended_, [&](const EndedRow& row) { return row.number <= poll.acknowledged; });
    BackendReply reply = Ok();
    reply.started_unix_ms = 1;
    for (const Run& run : running_) reply.running.push_back(run.row);
    reply.ended = ended_;
    return reply;
  }

  BackendReply Ok() const {
    BackendReply reply;
    reply.status = BackendStatus::kOk;
    reply.clock_ms = now_ms_;
    return reply;
  }

  BackendReply Start(const StartRun& start) {
    if (stopped_[start.task] >= start.run) {
      BackendReply reply = Ok();
      reply.status = BackendStatus::kStaleRun;
      return reply;
    }
    const bool present = std::any_of(running_.begin(), running_.end(), [&](const Run& run) {
      return run.row.task == start.task && run.row.run == start.run;
    });
    if (!present) running_.push_back({{start.task, start.run, "", 0}});
    return Ok();
  }

  BackendReply Stop(const StopRun& stop) {
    stopped_[stop.task] = std::max(stopped_[stop.task], stop.run);
    std::erase_if(running_, [&](const Run& run) {
      if (run.row.task != stop.task || run.row.run > stop.run) return false;
      AddEnd(run.row, RunEnd::kStopped);
      return true;
    });
    return Ok();
  }

  void CarryOut(const AgentEffects& effects) {
    if (effects.poll) {
      const PollRuns& poll = *effects.poll;
      const std::int64_t timeout = poll.brief ? kBriefMs : poll.wait.milliseconds() + kPollMarginMs;
      const std::int64_t answer_time = poll.wait.milliseconds() + answer_ms_;
      const bool lost = IsLost(timeout - poll.wait.milliseconds());
      const std::int64_t answered_after = lost ? timeout : answer_time;
      answers_.emplace(now_ms_ + answered_after, [this, lost, poll, number = effects.poll_number] {
        agent_->OnPolled(Now(), number, lost ? BackendReply() : Answer(poll));
      });
    }
    if (effects.probe) {
      const BackendProbe& probe = *effects.probe;
      const std::int64_t timeout = probe.poll.brief ? kBriefMs : kPollMarginMs;
      const bool lost = IsLost(timeout);
      answers_.emplace(now_ms_ + (lost ? timeout : answer_ms_), [this, lost, probe] {
        agent_->OnProbed(Now(), probe.number, lost ? BackendReply() : Answer(probe.poll));
      });
    }
    for (const BackendOrder& order : effects.orders) {
      const bool brief = order.start ? order.start_run.brief : order.stop_run.brief;
      const std::int64_t timeout = brief ? kBriefMs : kOrderMs;
      const bool lost = IsLost(timeout);
      answers_.emplace(now_ms_ + (lost ? timeout : answer_ms_), [this, lost, order] {
        BackendReply reply;
        if (!lost) reply = order.start ? Start(order.start_run) : Stop(order.stop_run);
        agent_->OnOrderDone(Now(), order.token, reply);
      });
    }
    for (const AgentReport& report : effects.reports) {
      agent_->OnReportAnswered(Now(), report.number, scheduler_.OnReport(Now(), report));
    }
    for (const auto& [batch, reply] : effects.answers) {
      longest_order_ms_ = std::max(longest_order_ms_, now_ms_ - sent_at_ms_[batch]);
      scheduler_.OnOrdersAnswered(Now(), batch, reply);
    }
  }

  TimePoint Now() const { return TimePoint(now_ms_); }

  std::int64_t now_ms_ = 1000000;
  std::mt19937_64 random_;
  double lost_share_;
  std::int64_t answer_ms_;
  SchedulerCore scheduler_;
  std::unique_ptr<FleetAgentCore> agent_;
  /// Answers of the backend server by the time at which they arrive or time out.
  std::multimap<std::int64_t, std::function<void()>> answers_;
  std::map<std::uint64_t, std::int64_t> sent_at_ms_;
  std::int64_t longest_order_ms_ = 0;
  std::vector<Run> running_;
  std::vector<EndedRow> ended_;
  std::int64_t last_end_ = 0;
  std::map<TaskId, RunNumber> stopped_;
};

// Guards against hosts that wait for the time-outs of lost calls for most of the time.
TEST(UnansweredCallsTest, MostGangsCompleteWithFourOfFiveCallsUnanswered) {
  int completed = 0;
  std::int64_t longest_order_ms = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Cluster cluster(seed, 0.8);
    if (cluster.CompletesGang(3, 15000)) ++completed;
    longest_order_ms = std::max(longest_order_ms, cluster.longest_order_ms());
  }
  EXPECT_GE(completed, 20);
  // The scheduler ignores later answers.
  EXPECT_LT(longest_order_ms, 2500);
}

TEST(UnansweredCallsTest, AllGangsCompleteWithOneOfFiveCallsUnanswered) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    EXPECT_TRUE(Cluster(seed, 0.2).CompletesGang(3, 10000)) << "seed " << seed;
  }
}

// Guards against never using a backend server that answers no call within a short time.
TEST(UnansweredCallsTest, AGangCompletesOnASlowBackendServer) {
  EXPECT_TRUE(Cluster(1, 0, 250).CompletesGang(3, 10000));
}

}  // namespace
}  // namespace basilspring::fleet
