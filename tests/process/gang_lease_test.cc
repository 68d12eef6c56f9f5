#include "basilspring/process/gang_lease.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <variant>

namespace basilspring {
namespace {

const AttemptId kAttempt("j1#5.1");

/// A gang in which rank r runs on worker "w<r>", whose agent listens on port 7000 + r. Datagrams
/// arrive without delay.
struct SimulatedGang {
  explicit SimulatedGang(std::uint32_t ranks) {
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      const WorkerId worker("w" + std::to_string(rank));
      const Address address{"127.0.0.1", static_cast<std::uint16_t>(7000 + rank)};
      members.push_back({rank, worker, address});
      agents.emplace(address, GangLeases(worker, address, Timings()));
    }
    for (const GangMember& member : members) {
      agents.at(member.agent).OnRankStarted(now, {kAttempt, member.rank}, members);
    }
  }
  GangLeases& AgentOf(std::uint32_t rank) { return agents.at(members[rank].agent); }
  void EndRank(std::uint32_t rank, bool with_output) {
    AgentOf(rank).OnRankEnded(now, {kAttempt, rank}, with_output);
  }
  /// Advances the clock in steps of 100 ms. Records in `broken_at` when each rank learns that the
  /// gang is broken.
  void AdvanceTime(std::int64_t milliseconds) {
    for (const TimePoint end = now + Duration(milliseconds); now < end;) {
      now = now + Duration(100);
      AgentOutput out;
      for (const GangMember& member : members) {
        if (silent.count(member.rank) != 0) continue;
        const std::size_t first = out.messages.size();
        if (!agents.at(member.agent).Tick(now, out).empty()) broken_at[member.rank] = now;
        Deliver(member.agent, out, first);
      }
    }
  }
  /// Delivers the messages of `out` from index `first` on, and the answers to them.
  void Deliver(const Address& from, AgentOutput& out, std::size_t first) {
    for (std::size_t i = first; i < out.messages.size(); ++i) {
      const OutgoingMessage message = out.messages[i];
      ++messages_sent;
      if (silent.count(message.to.port - 7000U) != 0 || (drop && drop(message))) continue;
      const std::size_t answers = out.messages.size();
      agents.at(message.to)
          .OnHeartbeat(now, from, std::get<GangHeartbeat>(message.message), false, out);
      // Answers have the receiver as their sender, so they are delivered here.
      std::vector<OutgoingMessage> answered(out.messages.begin() + static_cast<long>(answers),
                                            out.messages.end());
      out.messages.resize(answers);
      AgentOutput discarded;
      for (const OutgoingMessage& answer : answered) {
        if (silent.count(answer.to.port - 7000U) != 0 || (drop && drop(answer))) continue;
        agents.at(answer.to).OnHeartbeat(now, message.to, std::get<GangHeartbeat>(answer.message),
                                         false, discarded);
      }
    }
  }

  TimePoint now{1000000};
  std::vector<GangMember> members;
  std::map<Address, GangLeases> agents;
  /// Ranks whose agents neither send nor receive.
  std::set<std::uint32_t> silent;
  /// Selects the messages to lose; nothing is lost if empty.
  std::function<bool(const OutgoingMessage&)> drop;
  std::map<std::uint32_t, TimePoint> broken_at;
  int messages_sent = 0;
};

// Guards against a gang that runs on after the loss of a member. All others must stop within one
// task lease, whichever member is lost, even if the datagrams that report the loss are lost too.
TEST(GangLeases, AllStopWithinOneLeaseAfterALoss) {
  for (const std::uint32_t lost : {0U, 2U}) {
    SimulatedGang gang(4);
    gang.AdvanceTime(30000);
    EXPECT_TRUE(gang.broken_at.empty());
    gang.silent.insert(lost);
    gang.drop = [](const OutgoingMessage& message) {
      return !std::get<GangHeartbeat>(message.message).running;
    };
    const TimePoint lost_at = gang.now;
    gang.AdvanceTime(15000);
    EXPECT_EQ(gang.broken_at.size(), 3U);
    for (const auto& [rank, at] : gang.broken_at) EXPECT_LE(at - lost_at, Duration(10000));
  }
}

// Guards against stopping a complete gang because two rounds of datagrams were lost.
TEST(GangLeases, TwoLostRoundsDoNotStopAGang) {
  SimulatedGang gang(3);
  gang.AdvanceTime(20000);
  gang.drop = [](const OutgoingMessage&) { return true; };
  gang.AdvanceTime(4000);
  gang.drop = nullptr;
  gang.AdvanceTime(20000);
  EXPECT_TRUE(gang.broken_at.empty());
}

// Guards against stopping the other members when one of them, even rank 0, has finished with an
// output.
TEST(GangLeases, FinishedMembersDoNotBreakTheGang) {
  SimulatedGang gang(3);
  gang.AdvanceTime(5000);
  gang.EndRank(0, true);
  gang.AdvanceTime(30000);
  gang.EndRank(2, true);
  gang.AdvanceTime(30000);
  EXPECT_TRUE(gang.broken_at.empty());
  gang.EndRank(1, true);
  gang.AdvanceTime(30000);
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    EXPECT_FALSE(gang.AgentOf(rank).IsTracked(kAttempt));
  }
}

// Guards against a gang that runs on until its lease expires although the failure of a member is
// known.
TEST(GangLeases, FailedMemberStopsTheGangAtOnce) {
  SimulatedGang gang(3);
  gang.AdvanceTime(5000);
  const TimePoint failed_at = gang.now;
  gang.EndRank(2, false);
  gang.AdvanceTime(300);
  ASSERT_EQ(gang.broken_at.count(0) + gang.broken_at.count(1), 2U);
  EXPECT_LE(gang.broken_at[1] - failed_at, Duration(300));
}

// Guards against a member that runs on after its coordinator was restarted and has lost its state.
TEST(GangLeases, UnknownAttemptStopsItsMembersUnlessItsStartCanStillArrive) {
  const Address address{"127.0.0.1", 7000};
  GangLeases coordinator(WorkerId("w0"), address, Timings());
  GangHeartbeat heartbeat;
  heartbeat.attempt = kAttempt;
  heartbeat.rank = 1;
  heartbeat.running = true;
  AgentOutput out;
  coordinator.OnHeartbeat(TimePoint(1), address, heartbeat, true, out);
  EXPECT_TRUE(out.messages.empty());
  coordinator.OnHeartbeat(TimePoint(1), address, heartbeat, false, out);
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_FALSE(std::get<GangHeartbeat>(out.messages[0].message).running);
}

}  // namespace
}  // namespace basilspring
