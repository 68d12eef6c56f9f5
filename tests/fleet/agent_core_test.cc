#include "basilspring/fleet/agent_core.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace basilspring::fleet {
namespace {

BackendAnnouncement MakeAnnouncement(std::int64_t started_unix_ms, std::int64_t sequence) {
  BackendAnnouncement announcement;
  announcement.id = BackendId("backend");
  announcement.started_unix_ms = started_unix_ms;
  announcement.sequence = sequence;
  announcement.service = ServiceId("service");
  announcement.capacity = {8000, 8000, 8};
  return announcement;
}

/// Returns an announcement of another writer, which nothing at the host's address stands behind.
BackendAnnouncement MakeForeignAnnouncement() {
  BackendAnnouncement announcement = MakeAnnouncement(9, 1);
  announcement.id = BackendId("foreign");
  announcement.service = ServiceId("billing");
  return announcement;
}

const Address kScheduler{"10.0.0.1", 1};
const TaskId kTask{JobId("0000000000000001"), 0, 0, 0};

class FleetAgentTest : public ::testing::Test {
 protected:
  FleetAgentTest() : core_(MakeOptions()) {
    Announce(MakeAnnouncement(1, 1));
    core_.OnScheduler(now_, Term(1), kScheduler);
    PollAndReportUntilLeased();
  }

  static FleetAgentOptions MakeOptions() {
    FleetAgentOptions options;
    options.node = NodeId("agent");
    options.incarnation = 7;
    return options;
  }

  AgentEffects Tick() {
    AgentEffects effects = core_.Tick(now_);
    if (effects.poll) poll_ = effects.poll_number;
    for (const AgentReport& report : effects.reports) report_ = report;
    if (effects.probe) probe_ = effects.probe;
    return effects;
  }

  /// Announces a backend server that answers the probe that follows.
  void Announce(const BackendAnnouncement& announcement) {
    core_.OnAnnouncement(now_, announcement);
    Tick();
    AnswerProbe(BackendStatus::kOk, announcement.started_unix_ms);
  }

  /// Announces that the registered backend server drains and may leave at once, which a server does
  /// before it leaves.
  void AnnounceDrain(std::int64_t sequence) {
    BackendAnnouncement announcement = MakeAnnouncement(1, sequence);
    announcement.draining = true;
    EXPECT_TRUE(core_.OnAnnouncement(now_, announcement));
  }

  void AnswerProbe(BackendStatus status, std::int64_t started_unix_ms = 0) {
    ASSERT_TRUE(probe_);
    BackendReply reply = MakeReply(status);
    reply.started_unix_ms = started_unix_ms;
    core_.OnProbed(now_, probe_->number, reply);
    probe_.reset();
  }

  /// Lets time pass in which the scheduler accepts reports and the backend server refuses
  /// connections.
  void RefuseConnectionsFor(Duration time) {
    for (const TimePoint until = now_ + time; now_ < until;) {
      now_ = now_ + Duration(200);
      Tick();
      core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kGone));
      Accept(Duration(5000), 0);
    }
  }

  /// Returns the id of the backend server in the next report.
  BackendId ReportedBackend() {
    now_ = now_ + Duration(900);
    Tick();
    Accept(Duration(5000), 0);
    return report_.backend.empty() ? BackendId() : report_.backend.front().id;
  }

  /// Answers polls and reports until the scheduler has allowed a lease.
  void PollAndReportUntilLeased() {
    for (int i = 0; i < 4; ++i) {
      Tick();
      Poll({}, {});
      Tick();
      Accept(Duration(5000), 0);
      now_ = now_ + Duration(10);
    }
  }

  void Poll(std::vector<RunningRow> running, std::vector<EndedRow> ended) {
    BackendReply reply;
    reply.status = BackendStatus::kOk;
    reply.clock_ms = 100000 + now_.milliseconds();
    reply.started_unix_ms = 1;
    reply.running = std::move(running);
    reply.ended = std::move(ended);
    core_.OnPolled(now_, poll_, reply);
  }

  /// Answers the last poll as an incarnation with this start time and no runs.
  void PollOfIncarnation(std::int64_t started_unix_ms) {
    BackendReply reply = MakeReply(BackendStatus::kOk);
    reply.clock_ms = 50;
    reply.started_unix_ms = started_unix_ms;
    core_.OnPolled(now_, poll_, reply);
  }

  void Accept(Duration lease, std::int64_t acknowledged) {
    AgentReportReply reply;
    reply.accepted = true;
    reply.term = core_.term();
    reply.lease = lease;
    reply.started_unix_ms = 1;
    reply.acknowledged = acknowledged;
    reply.services = services_;
    core_.OnReportAnswered(now_, report_.number, reply);
  }

  OrderBatch MakeBatch(bool start) {
    OrderBatch batch;
    batch.term = core_.term();
    batch.scheduler = kScheduler;
    batch.incarnation = 7;
    batch.report = report_.number;
    batch.backend = BackendId("backend");
    batch.started_unix_ms = 1;
    Order order;
    order.start = start;
    order.task = kTask;
    order.run = RunNumber(1);
    batch.orders.push_back(order);
    return batch;
  }

  static BackendReply MakeReply(BackendStatus status) {
    BackendReply reply;
    reply.status = status;
    return reply;
  }

  /// The answer to the single order of a batch; std::nullopt while it is being carried out.
  static std::optional<BackendStatus> StatusOf(const AgentEffects& effects) {
    if (effects.answers.empty()) return std::nullopt;
    return static_cast<BackendStatus>(effects.answers.front().second.statuses.front());
  }

  TimePoint now_{100000};
  FleetAgentCore core_;
  std::uint64_t poll_ = 0;
  std::optional<BackendProbe> probe_;
  AgentReport report_;
  /// The services that the scheduler names in its answers to reports.
  std::vector<ServiceId> services_;
};

TEST_F(FleetAgentTest, StartsARunWithTheLeaseThatTheSchedulerAllowed) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  const AgentEffects effects = Tick();
  ASSERT_EQ(effects.orders.size(), 1U);
  EXPECT_GT(effects.orders.front().start_run.lease_until_ms, 100000 + now_.milliseconds());
  core_.OnOrderDone(now_, effects.orders.front().token, MakeReply(BackendStatus::kOk));
  EXPECT_EQ(StatusOf(Tick()), BackendStatus::kOk);
}

// The orders of a superseded scheduler must not reach the backend server.
TEST_F(FleetAgentTest, RefusesOrdersOfAnOlderTerm) {
  const OrderBatch old = MakeBatch(true);
  core_.OnScheduler(now_, Term(2), kScheduler);
  core_.OnOrders(now_, 1, old);
  const AgentEffects effects = Tick();
  EXPECT_TRUE(effects.orders.empty());
  EXPECT_EQ(StatusOf(effects), BackendStatus::kStaleTerm);
}

// An order that was delayed in a connection while its scheduler was replaced is based on an old
// report.
TEST_F(FleetAgentTest, RefusesAStartThatIsBasedOnAnOldReport) {
  const OrderBatch batch = MakeBatch(true);
  now_ = now_ + Duration(3500);
  core_.OnOrders(now_, 1, batch);
  EXPECT_EQ(StatusOf(Tick()), BackendStatus::kTooLate);
}

// Guards against a task that runs twice: a start whose answer was lost with its backend server must
// not reach the next incarnation, because the scheduler starts the task elsewhere.
TEST_F(FleetAgentTest, RepeatsNoStartAtAnotherIncarnationOfTheBackendServer) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  const std::uint64_t start = Tick().orders.front().token;
  Announce(MakeAnnouncement(2, 1));
  core_.OnOrderDone(now_, start, MakeReply(BackendStatus::kUnknown));
  const AgentEffects effects = Tick();
  ASSERT_EQ(effects.orders.size(), 1U);
  EXPECT_FALSE(effects.orders.front().start);
  core_.OnOrderDone(now_, effects.orders.front().token, MakeReply(BackendStatus::kOk));
  EXPECT_EQ(StatusOf(Tick()), BackendStatus::kStopped);
}

TEST_F(FleetAgentTest, RefusesOrdersForAnotherIncarnation) {
  OrderBatch batch = MakeBatch(true);
  batch.started_unix_ms = 2;
  core_.OnOrders(now_, 1, batch);
  EXPECT_EQ(StatusOf(Tick()), BackendStatus::kOtherIncarnation);
}

TEST_F(FleetAgentTest, RefusesStartsWhileTheBackendServerDrains) {
  BackendAnnouncement draining = MakeAnnouncement(1, 99);
  draining.draining = true;
  core_.OnAnnouncement(now_, draining);
  core_.OnOrders(now_, 1, MakeBatch(true));
  EXPECT_EQ(StatusOf(Tick()), BackendStatus::kRefused);
}

// A start that was not answered may be carried out seconds later, when another run of the task
// exists already.
TEST_F(FleetAgentTest, StopsAStartThatIsNeverAnswered) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  for (int attempt = 0; attempt < 6; ++attempt) {
    const AgentEffects effects = Tick();
    ASSERT_EQ(effects.orders.size(), 1U);
    EXPECT_TRUE(effects.orders.front().start);
    core_.OnOrderDone(now_, effects.orders.front().token, MakeReply(BackendStatus::kUnknown));
  }
  const AgentEffects fence = Tick();
  ASSERT_EQ(fence.orders.size(), 1U);
  EXPECT_FALSE(fence.orders.front().start);
  core_.OnOrderDone(now_, fence.orders.front().token, MakeReply(BackendStatus::kOk));
  EXPECT_EQ(StatusOf(Tick()), BackendStatus::kStopped);
}

// The backend server refuses the repeat for lack of capacity, but the first attempt may still
// arrive and start the run.
TEST_F(FleetAgentTest, StopsAStartWhoseRepeatIsRefusedAfterALostAnswer) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  AgentEffects effects = Tick();
  core_.OnOrderDone(now_, effects.orders.front().token, MakeReply(BackendStatus::kUnknown));
  effects = Tick();
  core_.OnOrderDone(now_, effects.orders.front().token, MakeReply(BackendStatus::kNoCapacity));
  effects = Tick();
  ASSERT_EQ(effects.orders.size(), 1U);
  EXPECT_FALSE(effects.orders.front().start);
  EXPECT_FALSE(StatusOf(effects));
}

TEST_F(FleetAgentTest, ExtendsTheLeaseOnlyAsFarAsTheSchedulerAllowed) {
  const TimePoint allowed = core_.lease_until();
  now_ = now_ + Duration(4000);
  Tick();
  EXPECT_EQ(core_.lease_until(), allowed);
  const TimePoint sent = now_;
  Tick();
  now_ = now_ + Duration(300);
  Accept(Duration(5000), 0);
  // Counted from when the report was sent, not from when its answer came.
  EXPECT_EQ(core_.lease_until(), sent + Duration(5000));
}

// Guards against a restarted agent whose host is not used: the scheduler accepts its reports only
// with the session that it has offered.
TEST_F(FleetAgentTest, ReportsAtOnceWithTheSessionThatTheSchedulerOffers) {
  now_ = now_ + Duration(900);
  Tick();
  AgentReportReply reply;
  reply.term = core_.term();
  reply.scheduler = kScheduler;
  reply.session = 5;
  core_.OnReportAnswered(now_, report_.number, reply);
  const AgentEffects effects = Tick();
  ASSERT_EQ(effects.reports.size(), 1U);
  EXPECT_EQ(effects.reports.front().session, 5U);
}

// A new scheduler must not conclude from rows of a poll before its term that a run has vanished.
TEST_F(FleetAgentTest, ReportsToANewSchedulerOnlyPollsOfItsTerm) {
  core_.OnScheduler(now_, Term(2), kScheduler);
  AgentEffects effects = Tick();
  ASSERT_FALSE(effects.reports.empty());
  EXPECT_EQ(effects.reports.back().poll, 0U);
  Poll({{kTask, RunNumber(1), "", 10}}, {});
  effects = Tick();
  ASSERT_FALSE(effects.reports.empty());
  EXPECT_GT(effects.reports.back().poll, 0U);
  EXPECT_EQ(effects.reports.back().running.size(), 1U);
}

// Guards against a task that runs twice: a call of the earlier term stops a run that was listed.
TEST_F(FleetAgentTest, ListsRunsOnlyOnceCallsOfEarlierTermsAreSettled) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  const std::uint64_t start = Tick().orders.front().token;
  core_.OnScheduler(now_, Term(2), kScheduler);
  Tick();
  Poll({{kTask, RunNumber(1), "", 10}}, {});
  core_.OnOrderDone(now_, start, MakeReply(BackendStatus::kOk));
  Accept(Duration(5000), 0);
  now_ = now_ + Duration(900);
  Tick();
  EXPECT_EQ(report_.poll, 0U);
  const std::uint64_t listing = poll_;
  Poll({{kTask, RunNumber(1), "", 20}}, {});
  Accept(Duration(5000), 0);
  now_ = now_ + Duration(900);
  Tick();
  EXPECT_EQ(report_.poll, listing);
}

// Guards against idle workers that a new scheduler can't use for a second, because their agents
// wait for an end before they list the runs.
TEST_F(FleetAgentTest, TheFirstPollOfATermIsAnsweredAtOnce) {
  core_.OnScheduler(now_, Term(2), kScheduler);
  AgentEffects effects = Tick();
  ASSERT_TRUE(effects.poll);
  EXPECT_EQ(effects.poll->wait, Duration(0));
  Poll({}, {});
  effects = Tick();
  ASSERT_TRUE(effects.poll);
  EXPECT_GT(effects.poll->wait, Duration(0));
}

TEST_F(FleetAgentTest, ReportsThatAListOfEndsMayBeIncomplete) {
  Tick();
  BackendReply reply = MakeReply(BackendStatus::kOk);
  reply.more_ends = true;
  core_.OnPolled(now_, poll_, reply);
  ReportedBackend();
  EXPECT_TRUE(report_.more_ends);
}

TEST_F(FleetAgentTest, AcknowledgesAnEndOnlyOnceItIsRecorded) {
  Tick();
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  AgentEffects effects = Tick();
  ASSERT_FALSE(effects.reports.empty());
  EXPECT_EQ(effects.reports.back().ended.size(), 1U);
  now_ = now_ + Duration(300);
  effects = Tick();
  ASSERT_TRUE(effects.poll);
  EXPECT_EQ(effects.poll->acknowledged, 0);
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  Accept(Duration(5000), 5);
  effects = Tick();
  ASSERT_TRUE(effects.poll);
  EXPECT_EQ(effects.poll->acknowledged, 5);
  const std::string line =
      "backend=backend born=1 number=5 former_number=0 ends=" + kTask.ToString() +
      "/1 ends acknowledged";
  EXPECT_EQ(std::count(effects.decisions.begin(), effects.decisions.end(), line), 1);
}

// A delayed announcement of a former incarnation would replace the current one.
TEST_F(FleetAgentTest, IgnoresLateAnnouncements) {
  Announce(MakeAnnouncement(5, 1));
  EXPECT_FALSE(core_.OnAnnouncement(now_, MakeAnnouncement(1, 50)));
  EXPECT_FALSE(core_.OnAnnouncement(now_, MakeAnnouncement(5, 1)));
  EXPECT_TRUE(core_.OnAnnouncement(now_, MakeAnnouncement(5, 2)));
}

TEST_F(FleetAgentTest, ReportsABackendServerThatHasLeftAndRefusesConnections) {
  AnnounceDrain(2);
  core_.OnLeave(now_, BackendId("backend"));
  RefuseConnectionsFor(Duration(1600));
  now_ = now_ + Duration(900);
  Tick();
  EXPECT_TRUE(report_.backend_gone);
}

// Guards against tasks that run twice: a backend server that was cut off, with connections to it
// refused, was reported as exited while its runs went on.
TEST_F(FleetAgentTest, RefusedConnectionsDoNotMeanThatRunsHaveEnded) {
  const TimePoint granted_until = core_.lease_until();
  // Reports are accepted meanwhile, but no refused poll extends the lease of the runs.
  while (now_ <= granted_until + FleetAgentOptions().lease_expiry_margin) {
    EXPECT_FALSE(report_.backend_gone);
    RefuseConnectionsFor(Duration(200));
  }
  RefuseConnectionsFor(Duration(1000));
  EXPECT_TRUE(report_.backend_gone);
}

// The same if another process of the agent may have extended the lease.
TEST_F(FleetAgentTest, ARestartedAgentWaitsForTheLeaseThatItsPredecessorMayHaveGranted) {
  core_ = FleetAgentCore(MakeOptions());
  Announce(MakeAnnouncement(1, 1));
  core_.OnScheduler(now_, Term(1), kScheduler);
  RefuseConnectionsFor(Duration(5000));
  EXPECT_FALSE(report_.backend_gone);
  RefuseConnectionsFor(Duration(3000));
  EXPECT_TRUE(report_.backend_gone);
}

// Guards against ends that are lost with an agent that stops: its backend server has left, so that
// no other process can read them again.
TEST_F(FleetAgentTest, IsBusyWhileTheEndsOfALeavingServerAreNotRecorded) {
  Tick();
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  EXPECT_FALSE(core_.busy());
  AnnounceDrain(2);
  core_.OnLeave(now_, BackendId("backend"));
  RefuseConnectionsFor(Duration(1600));
  EXPECT_TRUE(core_.busy());
  now_ = now_ + Duration(900);
  Tick();
  EXPECT_EQ(report_.ended.size(), 1U);
  Accept(Duration(5000), 5);
  EXPECT_FALSE(core_.busy());
}

// Guards against giving up a backend server after a notice of leaving that came late, for example
// of a former incarnation with the same id.
TEST_F(FleetAgentTest, ANewerAnnouncementEndsANoticeOfLeaving) {
  AnnounceDrain(2);
  core_.OnLeave(now_, BackendId("backend"));
  core_.OnAnnouncement(now_, MakeAnnouncement(1, 3));
  RefuseConnectionsFor(Duration(1600));
  EXPECT_FALSE(report_.backend_gone);
}

// Guards against giving up a backend server that refuses a single connection.
TEST_F(FleetAgentTest, OneRefusedConnectionDoesNotMeanThatTheBackendServerHasExited) {
  Tick();
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kGone));
  now_ = now_ + Duration(1200);
  Tick();
  EXPECT_FALSE(report_.backend_gone);
}

// Guards against giving up a backend server by two refused connections with an answer in between.
TEST_F(FleetAgentTest, CountsOnlyConsecutiveRefusedConnections) {
  Tick();
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kGone));
  now_ = now_ + Duration(300);
  Tick();
  Poll({}, {});
  now_ = now_ + Duration(300);
  Tick();
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kGone));
  now_ = now_ + Duration(1200);
  Tick();
  EXPECT_FALSE(report_.backend_gone);
}

// Guards against a backend server that answers again and is never used again.
TEST_F(FleetAgentTest, ReportsABackendServerThatAnswersAgain) {
  RefuseConnectionsFor(Duration(8000));
  now_ = now_ + Duration(900);
  Tick();
  ASSERT_TRUE(report_.backend_gone);
  Accept(Duration(5000), 0);
  Poll({}, {});
  now_ = now_ + Duration(1200);
  Tick();
  EXPECT_FALSE(report_.backend_gone);
}

// Guards against a restarted backend server that is reported as exited.
TEST_F(FleetAgentTest, ANewIncarnationHasNotExited) {
  RefuseConnectionsFor(Duration(8000));
  now_ = now_ + Duration(900);
  Tick();
  ASSERT_TRUE(report_.backend_gone);
  Accept(Duration(5000), 0);
  Announce(MakeAnnouncement(2, 1));
  Tick();
  EXPECT_FALSE(report_.backend_gone);
}

// Guards against a task that runs twice: an announcement of another writer replaced the backend
// server at work, and the scheduler started its tasks elsewhere while they ran on.
TEST_F(FleetAgentTest, AForeignAnnouncementDoesNotReplaceTheBackendServer) {
  core_.OnAnnouncement(now_, MakeForeignAnnouncement());
  EXPECT_EQ(ReportedBackend(), BackendId("backend"));
  AnswerProbe(BackendStatus::kOtherIncarnation);
  EXPECT_EQ(ReportedBackend(), BackendId("backend"));
  EXPECT_FALSE(probe_);
}

// The same with the backend server's id and a later start time.
TEST_F(FleetAgentTest, AnAnnouncementWithAFalseStartTimeDoesNotReplaceTheBackendServer) {
  core_.OnAnnouncement(now_, MakeAnnouncement(9, 1));
  Tick();
  AnswerProbe(BackendStatus::kOk, 1);
  ReportedBackend();
  EXPECT_EQ(report_.backend.front().started_unix_ms, 1);
}

// Guards against a host that is not used because a restarted agent heard of another writer first.
TEST_F(FleetAgentTest, RegistersItsBackendServerAfterAForeignAnnouncement) {
  core_ = FleetAgentCore(MakeOptions());
  core_.OnScheduler(now_, Term(1), kScheduler);
  core_.OnAnnouncement(now_, MakeForeignAnnouncement());
  EXPECT_EQ(ReportedBackend(), BackendId());
  core_.OnAnnouncement(now_, MakeAnnouncement(1, 1));
  AnswerProbe(BackendStatus::kOtherIncarnation);
  Tick();
  AnswerProbe(BackendStatus::kOk, 1);
  EXPECT_EQ(ReportedBackend(), BackendId("backend"));
}

// Guards against a new backend server that is never registered because it was announced before it
// accepted connections.
TEST_F(FleetAgentTest, ProbesAnAnnouncedBackendServerUntilItAnswers) {
  core_.OnAnnouncement(now_, MakeAnnouncement(2, 1));
  Tick();
  AnswerProbe(BackendStatus::kGone);
  now_ = now_ + Duration(200);
  Tick();
  AnswerProbe(BackendStatus::kOk, 2);
  ReportedBackend();
  EXPECT_EQ(report_.backend.front().started_unix_ms, 2);
}

// Guards against probing forever what another writer announced once.
TEST_F(FleetAgentTest, ForgetsAnAnnouncementThatIsNeitherConfirmedNorRepeated) {
  core_.OnAnnouncement(now_, MakeForeignAnnouncement());
  for (int i = 0; i < 60; ++i) {
    Tick();
    if (probe_) AnswerProbe(BackendStatus::kUnknown);
    now_ = now_ + Duration(100);
  }
  Tick();
  EXPECT_FALSE(probe_);
}

// Guards against a report of another writer with the worker's own id and a service that no
// configuration names: the worker's own announcements counted as older afterwards.
TEST_F(FleetAgentTest, IgnoresAnnouncementsOfUnknownServicesAndContradictions) {
  BackendAnnouncement foreign = MakeAnnouncement(1, 1000);
  foreign.service = ServiceId("billing");
  EXPECT_FALSE(core_.OnAnnouncement(now_, foreign));
  services_ = {ServiceId("service")};
  ReportedBackend();
  EXPECT_FALSE(core_.OnAnnouncement(now_, MakeForeignAnnouncement()));
  EXPECT_TRUE(core_.OnAnnouncement(now_, MakeAnnouncement(1, 2)));
}

// Guards against a backend server whose drain is not noticed because the operator has removed its
// service.
TEST_F(FleetAgentTest, TheRegisteredServerMayDrainAfterItsServiceWasRemoved) {
  services_ = {ServiceId("other")};
  ReportedBackend();
  BackendAnnouncement draining = MakeAnnouncement(1, 2);
  draining.draining = true;
  EXPECT_TRUE(core_.OnAnnouncement(now_, draining));
  ReportedBackend();
  EXPECT_TRUE(report_.backend.front().draining);
}

// The same if a restarted agent heard the other writer's report before any of its scheduler.
TEST_F(FleetAgentTest, CorrectsARegistrationWithAnUnknownService) {
  core_ = FleetAgentCore(MakeOptions());
  BackendAnnouncement foreign = MakeAnnouncement(1, 1000);
  foreign.service = ServiceId("billing");
  Announce(foreign);
  core_.OnScheduler(now_, Term(1), kScheduler);
  services_ = {ServiceId("service")};
  ReportedBackend();
  EXPECT_TRUE(core_.OnAnnouncement(now_, MakeAnnouncement(1, 2)));
  ReportedBackend();
  EXPECT_EQ(report_.backend.front().service, ServiceId("service"));
}

// Guards against ends that are acknowledged unread after a restart under the same id.
TEST_F(FleetAgentTest, AcknowledgesNoEndsOfAnIncarnationThatHasNotListedThem) {
  Tick();
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  Tick();
  Accept(Duration(5000), 5);
  EXPECT_EQ(Tick().poll->acknowledged, 5);
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kUnknown));
  now_ = now_ + Duration(200);
  const AgentEffects effects = Tick();
  EXPECT_EQ(effects.poll->acknowledged, 0);
  EXPECT_EQ(effects.poll->lease_until_ms, 0);
  PollOfIncarnation(2);
  now_ = now_ + Duration(200);
  EXPECT_EQ(Tick().poll->acknowledged, 0);
}

// The same while the backend server answers: an end that it has forgotten needs no further number.
TEST_F(FleetAgentTest, AcknowledgesAnEndOnceOnAnOpenConnection) {
  Tick();
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  Tick();
  Accept(Duration(5000), 5);
  const AgentEffects effects = Tick();
  EXPECT_EQ(effects.poll->acknowledged, 5);
  EXPECT_TRUE(effects.poll->open_connection_only);
  Poll({}, {});
  EXPECT_EQ(Tick().poll->acknowledged, 0);
}

// Guards against a lease that another incarnation takes for its own, by its own clock.
TEST_F(FleetAgentTest, ExtendsTheLeaseOnAnOpenConnectionOnly) {
  Tick();
  Poll({}, {});
  const AgentEffects effects = Tick();
  ASSERT_NE(effects.poll->lease_until_ms, 0);
  EXPECT_TRUE(effects.poll->open_connection_only);
}

// Guards against runs whose lease expires while a poll that extends it waits in vain.
TEST_F(FleetAgentTest, ExtendsALeaseThatEndsSoonWithoutAWait) {
  Tick();
  Poll({{kTask, RunNumber(1), "", 0}}, {});
  for (int i = 0; i < 20; ++i) {
    now_ = now_ + Duration(160);
    Tick();
    Accept(Duration(5000), 0);
    core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kUnknown));
  }
  now_ = now_ + Duration(160);
  Tick();
  Poll({{kTask, RunNumber(1), "", 0}}, {});
  const AgentEffects urgent = Tick();
  ASSERT_TRUE(urgent.poll);
  EXPECT_NE(urgent.poll->lease_until_ms, 0);
  EXPECT_EQ(urgent.poll->wait, Duration(0));
  EXPECT_TRUE(urgent.poll->brief);
  Poll({{kTask, RunNumber(1), "", 0}}, {});
  const AgentEffects next = Tick();
  ASSERT_TRUE(next.poll);
  EXPECT_GT(next.poll->wait, Duration(0));
}

// Guards against polls without a pause while no scheduler extends the lease.
TEST_F(FleetAgentTest, WaitsForEndsAlthoughALeaseThatCannotBeExtendedEndsSoon) {
  Tick();
  Poll({{kTask, RunNumber(1), "", 0}}, {});
  int polls = 0;
  for (int i = 0; i < 40; ++i) {
    now_ = now_ + Duration(100);
    const AgentEffects effects = Tick();
    if (!effects.poll) continue;
    if (effects.poll->wait == Duration(0)) ++polls;
    Poll({{kTask, RunNumber(1), "", 0}}, {});
  }
  EXPECT_LT(polls, 3);
}

// Guards against refused starts: the former poll still uses the connection of the next one.
TEST_F(FleetAgentTest, APollBesideAnAbandonedOneNeedsNoOpenConnection) {
  Tick();
  core_.OnScheduler(now_, Term(2), kScheduler);
  const AgentEffects effects = Tick();
  ASSERT_TRUE(effects.poll);
  EXPECT_FALSE(effects.poll->open_connection_only);
}

// Guards against polls without a pause while it stays open which incarnation answers.
TEST_F(FleetAgentTest, PollsAnUnidentifiedServerWithAPause) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  BackendReply reply = MakeReply(BackendStatus::kOk);
  reply.clock_ms = 300;
  core_.OnOrderDone(now_, Tick().orders.front().token, reply);
  int polls = 0;
  for (int i = 0; i < 20; ++i) {
    if (Tick().poll) ++polls;
    core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kOk));
  }
  EXPECT_LT(polls, 5);
}

// Guards against ends that are never acknowledged to a backend server that closes its connections.
TEST_F(FleetAgentTest, AcknowledgesAnEndOnANewConnectionIfNoneStaysOpen) {
  Tick();
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  Tick();
  Accept(Duration(5000), 5);
  EXPECT_TRUE(Tick().poll->open_connection_only);
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kRefused));
  EXPECT_EQ(Tick().poll->acknowledged, 0);
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  now_ = now_ + Duration(300);
  const AgentEffects effects = Tick();
  EXPECT_EQ(effects.poll->acknowledged, 5);
  EXPECT_FALSE(effects.poll->open_connection_only);
}

// Guards against a host that is not used any more after a wrong sign of another incarnation.
TEST_F(FleetAgentTest, UsesTheRegisteredIncarnationAgainOnceItAnswers) {
  Tick();
  PollOfIncarnation(2);
  now_ = now_ + Duration(200);
  Tick();
  Poll({}, {});
  core_.OnOrders(now_, 1, MakeBatch(true));
  EXPECT_EQ(Tick().orders.size(), 1U);
}

// Guards against an end that stays listed because its acknowledgement was lost.
TEST_F(FleetAgentTest, RepeatsAnUnansweredAcknowledgementOnceTheIncarnationIsKnown) {
  Tick();
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  Tick();
  Accept(Duration(5000), 5);
  Tick();
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kUnknown));
  now_ = now_ + Duration(200);
  const AgentEffects effects = Tick();
  EXPECT_EQ(effects.poll->acknowledged, 0);
  EXPECT_EQ(effects.poll->wait, Duration(0));
  Poll({}, {{5, kTask, RunNumber(1), 0, ""}});
  now_ = now_ + Duration(300);
  EXPECT_EQ(Tick().poll->acknowledged, 5);
}

// Guards against a task that runs twice: a start reaches an incarnation that is not registered.
TEST_F(FleetAgentTest, SendsNoStartToAnotherIncarnationWithTheSameId) {
  Tick();
  PollOfIncarnation(2);
  core_.OnOrders(now_, 1, MakeBatch(true));
  const AgentEffects effects = Tick();
  EXPECT_TRUE(effects.orders.empty());
  EXPECT_EQ(StatusOf(effects), BackendStatus::kOtherIncarnation);
}

// The same while it is open which incarnation answers: the connection of the last poll broke.
TEST_F(FleetAgentTest, SendsNoStartUntilAPollIsAnsweredAgain) {
  Tick();
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kUnknown));
  core_.OnOrders(now_, 1, MakeBatch(true));
  AgentEffects effects = Tick();
  EXPECT_TRUE(effects.orders.empty());
  EXPECT_EQ(StatusOf(effects), BackendStatus::kRefused);
  now_ = now_ + Duration(200);
  Tick();
  Poll({}, {});
  core_.OnOrders(now_, 2, MakeBatch(true));
  EXPECT_EQ(Tick().orders.size(), 1U);
}

// The same for a start that is repeated because its answer was lost.
TEST_F(FleetAgentTest, RepeatsNoStartAfterAFailedPoll) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  const std::uint64_t start = Tick().orders.front().token;
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kUnknown));
  core_.OnOrderDone(now_, start, MakeReply(BackendStatus::kUnknown));
  const AgentEffects effects = Tick();
  ASSERT_EQ(effects.orders.size(), 1U);
  EXPECT_FALSE(effects.orders.front().start);
}

// The same if only the clock in the answer to a start shows that another incarnation has answered.
TEST_F(FleetAgentTest, SendsNoFurtherStartToABackendServerWhoseClockWentBack) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  BackendReply reply = MakeReply(BackendStatus::kOk);
  reply.clock_ms = 300;
  core_.OnOrderDone(now_, Tick().orders.front().token, reply);
  core_.OnOrders(now_, 2, MakeBatch(true));
  EXPECT_TRUE(Tick().orders.empty());
}

// Guards against a task that runs twice: a start is carried out after the list of the runs.
TEST_F(FleetAgentTest, ListsRunsOnlyOnceStartsForTheFormerIncarnationAreSettled) {
  core_.OnOrders(now_, 1, MakeBatch(true));
  const std::uint64_t start = Tick().orders.front().token;
  Announce(MakeAnnouncement(2, 1));
  Tick();
  PollOfIncarnation(2);
  Tick();
  EXPECT_EQ(report_.poll, 0U);
  core_.OnOrderDone(now_, start, MakeReply(BackendStatus::kOk));
  Accept(Duration(5000), 0);
  now_ = now_ + Duration(900);
  Tick();
  EXPECT_EQ(report_.poll, 0U);
  const std::uint64_t listing = poll_;
  PollOfIncarnation(2);
  Accept(Duration(5000), 0);
  now_ = now_ + Duration(900);
  Tick();
  EXPECT_EQ(report_.poll, listing);
}

// Guards against a backend server that is never used, or is called as the former one with its id.
TEST_F(FleetAgentTest, RegistersABackendServerThatStartedAfterTheTimeOfDayWasSetBack) {
  Announce(MakeAnnouncement(1000, 1));
  Tick();
  BackendReply restarted = MakeReply(BackendStatus::kOk);
  restarted.started_unix_ms = 500;
  core_.OnPolled(now_, poll_, restarted);
  core_.OnAnnouncement(now_, MakeAnnouncement(500, 1));
  Tick();
  AnswerProbe(BackendStatus::kOk, 500);
  ASSERT_TRUE(core_.backend());
  EXPECT_EQ(core_.backend()->started_unix_ms, 500);
}

// The same if the answers don't say which incarnation they come from, or the id has changed.
TEST_F(FleetAgentTest, ProbesAnOlderBackendServerOnlyIfTheRegisteredOneDoesNotAnswer) {
  Announce(MakeAnnouncement(1000, 1));
  Tick();
  PollOfIncarnation(1000);
  EXPECT_FALSE(core_.OnAnnouncement(now_, MakeAnnouncement(500, 1)));
  Tick();
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kOtherIncarnation));
  EXPECT_TRUE(core_.OnAnnouncement(now_, MakeAnnouncement(500, 1)));
  Tick();
  // An answer without a start time may come from the registered one.
  AnswerProbe(BackendStatus::kOk);
  EXPECT_EQ(core_.backend()->started_unix_ms, 1000);
}

// Guards against a lease beyond the scheduler's, by the drift of a clock that was read long ago.
TEST_F(FleetAgentTest, DoesNotExtendTheLeaseByAnOldReadingOfTheBackendServersClock) {
  Tick();
  now_ = now_ + Duration::Seconds(60);
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kUnknown));
  core_.OnScheduler(now_, Term(2), kScheduler);
  Tick();
  Accept(Duration(5000), 0);
  core_.OnPolled(now_, poll_, MakeReply(BackendStatus::kUnknown));
  now_ = now_ + Duration(200);
  const AgentEffects effects = Tick();
  ASSERT_TRUE(effects.poll);
  EXPECT_EQ(effects.poll->lease_until_ms, 0);
}

// The same if the agent was suspended after the last answer.
TEST_F(FleetAgentTest, DoesNotExtendTheLeaseOnAReadingOfBeforeASuspension) {
  Tick();
  Poll({}, {{1, kTask, RunNumber(1), 0, ""}});
  now_ = now_ + Duration(3000);
  const AgentEffects effects = Tick();
  ASSERT_TRUE(effects.poll);
  EXPECT_GT(core_.lease_until(), now_);
  EXPECT_EQ(effects.poll->lease_until_ms, 0);
  EXPECT_EQ(effects.poll->wait, Duration(0));
}

// The same for a start, which carries the lease too.
TEST_F(FleetAgentTest, RefusesAStartOnAnOldReadingOfTheBackendServersClock) {
  now_ = now_ + Duration(2500);
  core_.OnOrders(now_, 1, MakeBatch(true));
  const AgentEffects effects = Tick();
  EXPECT_TRUE(effects.orders.empty());
  EXPECT_EQ(StatusOf(effects), BackendStatus::kRefused);
}

// Guards against an end that can't be decoded and is lost because a later one is acknowledged.
TEST_F(FleetAgentTest, DoesNotAcknowledgeEndsPastOneThatCannotBeDecoded) {
  const auto poll = [this] {
    BackendReply reply = MakeReply(BackendStatus::kOk);
    reply.clock_ms = 100000 + now_.milliseconds();
    reply.started_unix_ms = 1;
    reply.ended = {{5, kTask, RunNumber(1), 0, ""}, {7, kTask, RunNumber(2), 0, ""}};
    reply.more_ends = true;
    reply.unreadable_end = 6;
    core_.OnPolled(now_, poll_, reply);
  };
  Tick();
  poll();
  Tick();
  Accept(Duration(5000), 7);
  EXPECT_EQ(Tick().poll->acknowledged, 5);
  poll();
  EXPECT_FALSE(Tick().poll);
  EXPECT_TRUE(report_.more_ends);
  now_ = now_ + Duration(300);
  EXPECT_EQ(Tick().poll->acknowledged, 0);
}

// Guards against a list of ends that fills up, and stays incomplete, because of such a row.
TEST_F(FleetAgentTest, GivesUpAnEndThatCannotBeDecodedAfterSomeTime) {
  Tick();
  std::int64_t acknowledged = 0;
  const TimePoint first_listed = now_;
  while (acknowledged == 0 && now_ - first_listed < Duration::Seconds(40)) {
    BackendReply reply = MakeReply(BackendStatus::kOk);
    reply.clock_ms = 100000 + now_.milliseconds();
    reply.started_unix_ms = 1;
    reply.more_ends = true;
    reply.unreadable_end = 58;
    core_.OnPolled(now_, poll_, reply);
    now_ = now_ + Duration(300);
    const AgentEffects effects = Tick();
    ASSERT_TRUE(effects.poll);
    acknowledged = effects.poll->acknowledged;
  }
  EXPECT_EQ(acknowledged, 58);
  EXPECT_GT(now_ - first_listed, Duration::Seconds(30));
}

}  // namespace
}  // namespace basilspring::fleet
