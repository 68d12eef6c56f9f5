#include "basilspring/process/scheduler_link.h"

#include <set>

#include "tests/process/agent_fixture.h"

namespace basilspring {
namespace {

const CellId kCell("plovdiv-a/0");

struct SchedulerLinkTest : public AgentFixture {
  static CellHolder Vacant(std::uint64_t last_epoch, bool store_reachable = true) {
    return {kCell, Address(), Epoch(last_epoch), {kEntry}, store_reachable};
  }
  /// Answers each FindCell for the given time with a vacant cell. Returns how often the agent
  /// contended.
  int AnswerVacant(std::int64_t milliseconds, bool store_reachable = true) {
    int contended = 0;
    for (const TimePoint end = now + Duration(milliseconds); now < end;) {
      AdvanceTime(100);
      if (Sent<FindCell>().empty()) continue;
      Receive(Vacant(5, store_reachable), kEntry);
      contended += out.contend ? 1 : 0;
    }
    return contended;
  }
};

// Guards against a cell that stays without a scheduler because no agent contends.
TEST_F(SchedulerLinkTest, ContendsAfterASecondVacantAnswer) {
  SetUpBackendAndScheduler();
  AdvanceTime(2900);
  EXPECT_TRUE(Sent<FindCell>().empty());
  EXPECT_GE(AnswerVacant(3000), 1);
}

// Guards against elections that can't succeed, and against elections while the holder is alive.
TEST_F(SchedulerLinkTest, DoesNotContendWithoutTheStoreOrWhileTheHolderAnswers) {
  SetUpBackendAndScheduler();
  AdvanceTime(3000);
  EXPECT_EQ(AnswerVacant(3000, false), 0);
  Receive(HeartbeatReply{kCell, Epoch(5), 1});
  EXPECT_EQ(AnswerVacant(2500), 0);
}

TEST_F(SchedulerLinkTest, StoppingProcessDoesNotContend) {
  SetUpBackendAndScheduler();
  Handle(DrainRequest{});
  AdvanceTime(3000);
  EXPECT_EQ(AnswerVacant(3000), 0);
}

// Guards against returning to a superseded scheduler because of an entry's stale view.
TEST_F(SchedulerLinkTest, FollowsTheHolderOfTheHighestEpoch) {
  SetUpBackendAndScheduler();
  Receive(CellHolder{kCell, kNextScheduler, Epoch(9), {kEntry}, true}, kEntry);
  EXPECT_EQ(OnlySent<Heartbeat>().epoch, Epoch(9));
  EXPECT_EQ(out.messages.back().to, kNextScheduler);
  Receive(CellHolder{kCell, kScheduler, Epoch(5), {kEntry}, true}, kEntry);
  EXPECT_TRUE(out.messages.empty());
  EXPECT_EQ(core.epoch(), Epoch(9));
}

// Guards against querying only the configured entries after their hosts were replaced.
TEST_F(SchedulerLinkTest, AsksLearnedEntriesInTurn) {
  const Address learned{"127.0.0.1", 7301};
  Receive(CellHolder{kCell, Address(), Epoch(0), {learned}, false}, kEntry);
  ASSERT_TRUE(out.entries);
  AdvanceTime(1100);
  std::set<Address> asked;
  for (const OutgoingMessage& message : out.messages) asked.insert(message.to);
  EXPECT_EQ(asked, (std::set<Address>{learned, kEntry}));
}

// Guards against waiting for the silence timeout after the holder has announced its stop.
TEST_F(SchedulerLinkTest, GoodbyeStartsTheElectionAtOnce) {
  SetUpBackendAndScheduler();
  Receive(SchedulerGoodbye{kCell, Epoch(5)});
  EXPECT_GE(AnswerVacant(1700), 1);
}

// Guards against overloading the store when a scheduler fails: the election delays of 128 agents
// must spread.
TEST(SchedulerLinkTurns, FewAgentsContendAtOnce) {
  std::set<std::int64_t> turns;
  for (int i = 0; i < 128; ++i) {
    SchedulerLink link(kCell, WorkerId("w" + std::to_string(i)), {kEntry}, Timings());
    AgentOutput out;
    TimePoint now(1000);
    link.OnCellHolder(now, SchedulerLinkTest::Vacant(5), out);
    while (out.messages.empty()) {
      now = now + Duration(1);
      link.Tick(now, out);
    }
    EXPECT_LE(now, TimePoint(2501));
    turns.insert(now.milliseconds());
  }
  EXPECT_GT(turns.size(), 100U);
}

}  // namespace
}  // namespace basilspring
