#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "basilspring/fleet/agent_core.h"

// Calls that were not answered and that the next incarnation of the backend server, which has the
// same id, carries out seconds later.
namespace basilspring::fleet {
namespace {

constexpr std::int64_t kStepMs = 20;
constexpr std::int64_t kLongestLeaseMs = 10000;
const Address kScheduler{"10.0.0.1", 1};
const TaskId kTask{JobId("0000000000000001"), 0, 0, 0};
const TaskId kOtherTask{JobId("0000000000000001"), 0, 0, 1};

/// One incarnation of a backend server. Its clock starts at 0.
class Server {
 public:
  Server(std::int64_t started_unix_ms, TimePoint started)
      : started_unix_ms_(started_unix_ms), started_(started) {}

  BackendReply Start(TimePoint now, const StartRun& start) {
    BackendReply reply = MakeReply(now);
    if (!Accept(start.fence, reply)) return reply;
    if (start.lease_until_ms <= ClockMs(now)) {
      reply.status = BackendStatus::kTooLate;
      return reply;
    }
    Extend(now, start.lease_until_ms);
    if (old_.count({start.task, start.run}) > 0) {
      reply.status = BackendStatus::kStaleRun;
    } else {
      running.push_back({start.task, start.run, "", 0});
    }
    return reply;
  }

  BackendReply Stop(TimePoint now, const StopRun& stop) {
    BackendReply reply = MakeReply(now);
    if (Accept(stop.fence, reply)) End(stop.task, stop.run, RunEnd::kStopped);
    return reply;
  }

  BackendReply Poll(TimePoint now, const PollRuns& poll) {
    BackendReply reply = MakeReply(now);
    if (!Accept(poll.fence, reply)) return reply;
    if (poll.lease_until_ms != 0) Extend(now, poll.lease_until_ms);
    std::erase_if(ended, [&](const EndedRow& row) { return row.number <= poll.acknowledged; });
    reply.started_unix_ms = started_unix_ms_;
    reply.running = running;
    reply.ended = ended;
    return reply;
  }

  /// Ends a run; one that is not there begins no more.
  void End(const TaskId& task, RunNumber run, RunEnd end) {
    old_.insert({task, run});
    const auto removed = std::erase_if(
        running, [&](const RunningRow& row) { return row.task == task && row.run == run; });
    if (removed > 0) ended.push_back({++last_end_, task, run, static_cast<std::uint8_t>(end), ""});
  }

  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  /// End of the lease on the clock of this incarnation.
  std::int64_t lease_until_ms = 0;

  std::int64_t ClockMs(TimePoint now) const { return (now - started_).milliseconds(); }
  /// The highest fence that this incarnation has seen.
  const Fence& fence() const { return fence_; }

 private:
  BackendReply MakeReply(TimePoint now) const {
    BackendReply reply;
    reply.status = BackendStatus::kOk;
    reply.clock_ms = ClockMs(now);
    return reply;
  }

  bool Accept(const Fence& fence, BackendReply& reply) {
    if (fence < fence_) {
      reply.status = BackendStatus::kStaleTerm;
      return false;
    }
    fence_ = fence;
    return true;
  }

  void Extend(TimePoint now, std::int64_t until_ms) {
    lease_until_ms = std::max(lease_until_ms, std::min(until_ms, ClockMs(now) + kLongestLeaseMs));
  }

  std::int64_t started_unix_ms_;
  TimePoint started_;
  Fence fence_;
  std::set<std::pair<TaskId, RunNumber>> old_;
  std::int64_t last_end_ = 0;
};

class LateCallTest : public ::testing::Test {
 protected:
  LateCallTest() : agent_(std::make_unique<FleetAgentCore>(MakeOptions())) {
    // Its clock is ahead of that of later incarnations.
    server_.emplace(1, TimePoint(now_.milliseconds() - 60000));
    Announce();
    Advance(3000);
  }

  static FleetAgentOptions MakeOptions(std::uint32_t first_epoch = 1000) {
    FleetAgentOptions options;
    options.first_epoch = first_epoch;
    options.node = NodeId("agent");
    options.incarnation = 7;
    return options;
  }

  /// Another process of the agent starts.
  void RestartAgent(std::uint32_t first_epoch) {
    agent_ = std::make_unique<FleetAgentCore>(MakeOptions(first_epoch));
    Announce();
    Advance(3000);
  }

  BackendAnnouncement MakeAnnouncement() {
    BackendAnnouncement backend;
    backend.id = BackendId("backend");
    backend.started_unix_ms = started_unix_ms_;
    backend.sequence = ++sequence_;
    backend.service = ServiceId("service");
    backend.capacity = {8000, 8000, 8};
    return backend;
  }

  void Announce() {
    agent_->OnAnnouncement(now_, MakeAnnouncement());
    agent_->OnScheduler(now_, Term(1), kScheduler);
  }

  /// Sends an order as the scheduler does on the agent's last report.
  void OrderStart(const TaskId& task) { SendOrder(task, true); }
  void SendOrder(const TaskId& task, bool start) {
    OrderBatch batch;
    batch.term = Term(1);
    batch.scheduler = kScheduler;
    batch.incarnation = 7;
    batch.report = last_report_;
    batch.backend = BackendId("backend");
    batch.started_unix_ms = started_unix_ms_;
    Order order;
    order.start = start;
    order.task = task;
    order.run = RunNumber(1);
    batch.orders.push_back(order);
    agent_->OnOrders(now_, ++batches_, batch);
  }

  /// The backend server is replaced by its next incarnation, which announces itself later.
  void Restart(std::int64_t dark_ms) {
    server_.reset();
    Advance(dark_ms);
    server_.emplace(++started_unix_ms_, now_);
    Advance(200);
    Announce();
    Advance(2000);
  }

  void Advance(std::int64_t milliseconds) {
    for (const TimePoint end = now_ + Duration(milliseconds); now_ < end;) {
      for (int i = 0; i < 3; ++i) CarryOut(agent_->Tick(now_));
      now_ = now_ + Duration(kStepMs);
    }
  }

  void CarryOut(const AgentEffects& effects) {
    for (const auto& [token, reply] : effects.answers) statuses_.push_back(reply.statuses.front());
    for (const BackendOrder& order : effects.orders) {
      BackendReply reply;
      if (server_ && !loses_calls_) {
        reply = order.start ? server_->Start(now_, order.start_run)
                            : server_->Stop(now_, order.stop_run);
      } else if (order.start) {
        late_starts_.push_back(order.start_run);
      }
      agent_->OnOrderDone(now_, order.token, reply);
    }
    if (effects.poll && !holds_polls_) {
      const bool lost = loses_calls_ || (loses_acknowledgements_ && effects.poll->acknowledged > 0);
      BackendReply reply;
      if (server_ && !lost) {
        reply = server_->Poll(now_, *effects.poll);
      } else {
        late_polls_.push_back(*effects.poll);
      }
      agent_->OnPolled(now_, effects.poll_number, reply);
    }
    if (effects.probe) {
      const BackendReply reply =
          server_ ? server_->Poll(now_, effects.probe->poll) : BackendReply();
      agent_->OnProbed(now_, effects.probe->number, reply);
    }
    for (const AgentReport& report : effects.reports) {
      last_report_ = report.number;
      AgentReportReply reply;
      reply.accepted = true;
      reply.term = Term(1);
      reply.lease = Duration(5000);
      reply.started_unix_ms = started_unix_ms_;
      for (const EndedRow& row : report.ended) reply.acknowledged = row.number;
      agent_->OnReportAnswered(now_, report.number, reply);
    }
  }

  TimePoint now_{1000000};
  std::int64_t started_unix_ms_ = 1;
  std::optional<Server> server_;
  std::unique_ptr<FleetAgentCore> agent_;
  /// Calls that were not answered.
  bool loses_calls_ = false;
  bool loses_acknowledgements_ = false;
  /// Whether polls wait for an end, so that they are not answered for now.
  bool holds_polls_ = false;
  std::vector<StartRun> late_starts_;
  std::vector<PollRuns> late_polls_;
  /// Status of each start, in the order of the answers to their batches.
  std::vector<std::uint8_t> statuses_;

 private:
  std::int64_t sequence_ = 0;
  std::uint64_t last_report_ = 0;
  std::uint64_t batches_ = 0;
};

// Guards against a task that runs twice: the scheduler has started it elsewhere meanwhile.
TEST_F(LateCallTest, AStartForAFormerIncarnationIsRefused) {
  loses_calls_ = true;
  OrderStart(kTask);
  Advance(kStepMs);
  loses_calls_ = false;
  ASSERT_FALSE(late_starts_.empty());
  Restart(400);
  for (const StartRun& start : late_starts_) server_->Start(now_, start);
  EXPECT_TRUE(server_->running.empty());
}

// The same if a later attempt was answered and the run has ended as done.
TEST_F(LateCallTest, AStartForAFormerIncarnationIsRefusedAfterItsTaskIsDone) {
  loses_calls_ = true;
  OrderStart(kTask);
  CarryOut(agent_->Tick(now_));
  loses_calls_ = false;
  ASSERT_EQ(late_starts_.size(), 1U);
  Advance(500);
  ASSERT_EQ(server_->running.size(), 1U);
  server_->End(kTask, RunNumber(1), RunEnd::kDone);
  Advance(1000);
  ASSERT_TRUE(server_->ended.empty()) << "the end is not acknowledged";
  Restart(400);
  server_->Start(now_, late_starts_.front());
  EXPECT_TRUE(server_->running.empty());
}

// Guards against a task that runs again although it was done: nobody has read the end.
TEST_F(LateCallTest, AnAcknowledgementForAFormerIncarnationIsRefused) {
  OrderStart(kTask);
  Advance(500);
  server_->End(kTask, RunNumber(1), RunEnd::kDone);
  loses_acknowledgements_ = true;
  Advance(100);
  loses_acknowledgements_ = false;
  ASSERT_FALSE(late_polls_.empty());
  const PollRuns late = late_polls_.front();
  Restart(400);
  OrderStart(kOtherTask);
  Advance(500);
  ASSERT_EQ(server_->running.size(), 1U);
  server_->End(kOtherTask, RunNumber(1), RunEnd::kDone);
  server_->Poll(now_, late);
  EXPECT_EQ(server_->ended.size(), 1U);
}

// Guards against a start of a killed process of the agent that runs beside a later one of the task.
TEST_F(LateCallTest, AStartOfAFormerProcessOfTheAgentIsRefused) {
  loses_calls_ = true;
  OrderStart(kTask);
  CarryOut(agent_->Tick(now_));
  loses_calls_ = false;
  ASSERT_EQ(late_starts_.size(), 1U);
  RestartAgent(1002);
  server_->Start(now_, late_starts_.front());
  EXPECT_TRUE(server_->running.empty());
}

// Guards against a start of a killed process of the agent that has reached the same epoch.
TEST_F(LateCallTest, AStartOfAFormerProcessWithTheSameEpochIsRefused) {
  loses_calls_ = true;
  OrderStart(kTask);
  CarryOut(agent_->Tick(now_));
  loses_calls_ = false;
  ASSERT_EQ(late_starts_.size(), 1U);
  RestartAgent(late_starts_.front().fence.epoch);
  server_->Start(now_, late_starts_.front());
  EXPECT_TRUE(server_->running.empty());
}

// Guards against epochs that run out while an agent has not heard of the term.
TEST_F(LateCallTest, AnAgentWithoutASchedulerKeepsItsEpoch) {
  agent_ = std::make_unique<FleetAgentCore>(MakeOptions(1002));
  agent_->OnAnnouncement(now_, MakeAnnouncement());
  Advance(10000);
  Announce();
  Advance(3000);
  OrderStart(kTask);
  Advance(500);
  EXPECT_EQ(server_->running.size(), 1U);
  EXPECT_LE(server_->fence().epoch, 1004U);
}

// Guards against a host that is not used after its time of day was set back.
TEST_F(LateCallTest, AnAgentWithALowerFirstEpochCatchesUp) {
  RestartAgent(0);
  OrderStart(kTask);
  Advance(500);
  EXPECT_EQ(server_->running.size(), 1U);
}

// Guards against counting a start as a run of the incarnation that crashed before it.
TEST_F(LateCallTest, TheAnswerOfTheNextIncarnationDoesNotConfirmAStart) {
  server_.emplace(started_unix_ms_ + 1, TimePoint(now_.milliseconds() - 100));
  OrderStart(kTask);
  Advance(500);
  ASSERT_EQ(server_->running.size(), 1U);
  ASSERT_EQ(statuses_.size(), 1U);
  EXPECT_EQ(BackendStatusFromWire(statuses_.front()), BackendStatus::kUnknown);
}

// The same if the clock of the next incarnation has passed the last reading of the former one.
TEST_F(LateCallTest, TheAnswerOfAnIncarnationWithANearlyEqualClockDoesNotConfirmAStart) {
  Restart(400);
  holds_polls_ = true;
  Advance(900);
  server_.emplace(started_unix_ms_ + 1,
                  TimePoint(now_.milliseconds() - server_->ClockMs(now_) + 500));
  OrderStart(kTask);
  Advance(100);
  ASSERT_EQ(server_->running.size(), 1U);
  ASSERT_EQ(statuses_.size(), 1U);
  EXPECT_EQ(BackendStatusFromWire(statuses_.front()), BackendStatus::kUnknown);
}

// Guards against a run that goes on because a poll of a later epoch has overtaken its stop.
TEST_F(LateCallTest, AStopThatALaterEpochOvertakesIsRepeated) {
  OrderStart(kTask);
  Advance(500);
  ASSERT_EQ(server_->running.size(), 1U);
  SendOrder(kTask, false);
  AgentEffects effects = agent_->Tick(now_);
  AgentEffects stop;
  std::swap(stop.orders, effects.orders);
  ASSERT_EQ(stop.orders.size(), 1U);
  loses_calls_ = true;
  CarryOut(effects);
  loses_calls_ = false;
  Advance(500);
  CarryOut(stop);
  Advance(100);
  EXPECT_TRUE(server_->running.empty());
}

// Guards against runs that go on after the scheduler has taken their lease for expired.
TEST_F(LateCallTest, ALeaseForAFormerIncarnationIsRefused) {
  loses_calls_ = true;
  Advance(1000);
  loses_calls_ = false;
  ASSERT_FALSE(late_polls_.empty());
  const PollRuns late = late_polls_.front();
  ASSERT_NE(late.lease_until_ms, 0);
  Restart(400);
  server_->Poll(now_, late);
  EXPECT_LE(server_->lease_until_ms, server_->ClockMs(now_) + 5000);
}

}  // namespace
}  // namespace basilspring::fleet
