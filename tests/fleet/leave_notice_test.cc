#include <gtest/gtest.h>

#include "basilspring/fleet/agent_core.h"

// Notices of leaving, which name a backend server by its id only.
namespace basilspring::fleet {
namespace {

const BackendId kBackend("backend");
const Address kScheduler{"10.0.0.1", 1};
constexpr Duration kDrainTime(2000);
// Refused connections count as the end of a backend server that has left after a shorter time.
constexpr Duration kRefusedTime(1600);

class LeaveNoticeTest : public ::testing::Test {
 protected:
  /// Registers an incarnation of the backend server that answers polls, with a lease for its runs.
  LeaveNoticeTest() : core_(Options()) {
    core_.OnScheduler(now_, Term(1), kScheduler);
    Announce(1, false);
    Pass(Duration(1000));
    EXPECT_GT(core_.lease_until(), now_ + Duration(3000));
  }

  static FleetAgentOptions Options() {
    FleetAgentOptions options;
    options.node = NodeId("agent");
    options.incarnation = 7;
    return options;
  }

  void Announce(std::int64_t sequence, bool draining) {
    BackendAnnouncement announcement;
    announcement.id = kBackend;
    announcement.started_unix_ms = 1;
    announcement.sequence = sequence;
    announcement.service = ServiceId("service");
    announcement.capacity = {8000, 8000, 8};
    announcement.draining = draining;
    if (draining) announcement.drain_remaining = kDrainTime;
    core_.OnAnnouncement(now_, announcement);
  }

  /// Lets time pass in which the scheduler accepts reports. The backend server answers polls unless
  /// connections to it are refused.
  void Pass(Duration time) {
    for (const TimePoint until = now_ + time; now_ < until; now_ = now_ + Duration(50)) {
      const AgentEffects effects = core_.Tick(now_);
      BackendReply reply;
      reply.status = refused_ ? BackendStatus::kGone : BackendStatus::kOk;
      reply.clock_ms = now_.milliseconds();
      reply.started_unix_ms = 1;
      if (effects.probe) core_.OnProbed(now_, effects.probe->number, reply);
      if (effects.poll) core_.OnPolled(now_, effects.poll_number, reply);
      for (const AgentReport& report : effects.reports) {
        report_ = report;
        AgentReportReply answer;
        answer.accepted = true;
        answer.term = Term(1);
        answer.lease = Duration(5000);
        core_.OnReportAnswered(now_, report.number, answer);
      }
    }
  }

  TimePoint now_{100000};
  FleetAgentCore core_;
  bool refused_ = false;
  AgentReport report_;
};

// Guards against a task that runs twice after the late notice of a former incarnation.
TEST_F(LeaveNoticeTest, ALateNoticeDoesNotShowThatTheRunsOfTheNextIncarnationHaveEnded) {
  core_.OnLeave(now_, kBackend);
  refused_ = true;
  Pass(kRefusedTime);
  EXPECT_FALSE(report_.backend_gone);
  Pass(Duration(8000));
  EXPECT_TRUE(report_.backend_gone) << "the lease of its runs has expired";
}

// Guards against runs that are stopped on a backend server that neither drains nor leaves.
TEST_F(LeaveNoticeTest, ALateNoticeDoesNotMakeTheNextIncarnationDrain) {
  core_.OnLeave(now_, kBackend);
  Pass(Duration(1000));
  ASSERT_FALSE(report_.backend.empty());
  EXPECT_FALSE(report_.backend.front().draining);
}

// Guards against the same while the next incarnation drains, before the time that it stays is over.
TEST_F(LeaveNoticeTest, ANoticeBeforeTheEndOfTheDrainIsALateOne) {
  Announce(2, true);
  Pass(Duration(1000));
  core_.OnLeave(now_, kBackend);
  refused_ = true;
  Pass(kRefusedTime);
  EXPECT_FALSE(report_.backend_gone);
}

// Guards against tasks of a backend server that has left and that wait for the whole lease.
TEST_F(LeaveNoticeTest, ANoticeAfterTheDrainShowsThatTheRunsHaveEnded) {
  Announce(2, true);
  Pass(Duration(1000));
  Announce(3, true);
  Pass(kDrainTime - Duration(1000));
  core_.OnLeave(now_, kBackend);
  refused_ = true;
  Pass(kRefusedTime);
  EXPECT_TRUE(report_.backend_gone);
}

}  // namespace
}  // namespace basilspring::fleet
