#include "basilspring/process/permit_authority.h"

#include <gtest/gtest.h>

namespace basilspring {
namespace {

const DataCentreId kPlovdiv("plovdiv-a");
const Address kA = {"127.0.0.1", 1};
const Address kB = {"127.0.0.1", 2};
const std::map<ProcessId, Address> kRegistry = {{ProcessId("a"), kA}, {ProcessId("b"), kB}};
constexpr Duration kValidity = Timings().permit_validity;

Duration Remaining(PermitAuthority& entry, TimePoint now) {
  return entry.Issue(now, {kPlovdiv, 1}).remaining;
}

// Two entries that have the same configuration and know each other.
class PermitAuthorityTest : public ::testing::Test {
 protected:
  PermitAuthorityTest() {
    for (PermitAuthority* entry : {&a_, &b_}) {
      entry->OnConfiguration(ConfigRevision(5), {});
      entry->OnRegistry(TimePoint(0), kRegistry);
      entry->OnGuardRead(TimePoint(0), ConfigRevision(5));
    }
  }

  // Entry a requests vouches; entry b answers at once.
  void ExchangeVouches(TimePoint now) {
    for (const PermitMessage& message : a_.Tick(now)) {
      const auto answer = b_.OnMessage(now, kA, message.message);
      if (answer.has_value()) a_.OnMessage(now, kB, *answer);
    }
  }

  PermitAuthority a_{ProcessId("a"), kA, Timings()};
  PermitAuthority b_{ProcessId("b"), kB, Timings()};
};

// Guards against a permit that stays valid longer than the store read that it rests on.
TEST_F(PermitAuthorityTest, ValidityCountsFromTheStartOfTheRead) {
  EXPECT_EQ(Remaining(a_, TimePoint(500)), kValidity - Duration(500));
  EXPECT_EQ(Remaining(a_, TimePoint(2000)), Duration(0));
}

// Guards against task starts in a data centre after the guard key has shown this entry a
// configuration revision that it has not applied yet.
TEST_F(PermitAuthorityTest, NoPermitWhileANewerRevisionIsUnknown) {
  a_.OnGuardRead(TimePoint(100), ConfigRevision(6));
  EXPECT_EQ(Remaining(a_, TimePoint(200)), Duration(0));
  a_.OnConfiguration(ConfigRevision(6), {kPlovdiv});
  EXPECT_TRUE(a_.Issue(TimePoint(200), {kPlovdiv, 1}).out_of_service);
}

// Guards against refusing all task starts during an outage of the store.
TEST_F(PermitAuthorityTest, VouchesOfAllEntriesReplaceTheStore) {
  EXPECT_EQ(Remaining(a_, TimePoint(10000)), Duration(0));
  ExchangeVouches(TimePoint(10000));
  EXPECT_EQ(Remaining(a_, TimePoint(10500)), kValidity - Duration(500));
  EXPECT_EQ(Remaining(a_, TimePoint(12000)), Duration(0));
}

// Guards against a task start while another entry changes the data centre: that entry stops
// vouching, and its earlier vouches have expired when its write is allowed.
TEST_F(PermitAuthorityTest, AnEntryThatChangesADataCentreDoesNotVouchForIt) {
  ExchangeVouches(TimePoint(10000));
  const TimePoint write_allowed = b_.BeginChange(TimePoint(10100), kPlovdiv);
  EXPECT_GE(write_allowed, TimePoint(10000) + kValidity);
  EXPECT_EQ(Remaining(a_, write_allowed), Duration(0));
  ExchangeVouches(TimePoint(11000));
  EXPECT_EQ(Remaining(a_, TimePoint(11000)), Duration(0));
}

// Guards against permits by an entry without the store that rest on the vouch of an entry that has
// completed a change meanwhile.
TEST_F(PermitAuthorityTest, AHigherRevisionOfAPeerStopsPermits) {
  b_.OnConfiguration(ConfigRevision(6), {kPlovdiv});
  ExchangeVouches(TimePoint(10000));
  EXPECT_EQ(Remaining(a_, TimePoint(10000)), Duration(0));
}

// Guards against a vouch whose answer was delayed and that is used beyond its validity.
TEST_F(PermitAuthorityTest, LateVouchesCountFromTheirRequest) {
  const auto requests = a_.Tick(TimePoint(10000));
  for (const PermitMessage& message : requests) {
    const auto answer = b_.OnMessage(TimePoint(10000), kA, message.message);
    if (answer.has_value()) a_.OnMessage(TimePoint(11900), kB, *answer);
  }
  EXPECT_EQ(Remaining(a_, TimePoint(11900)), Duration(100));
}

// Guards against a new entry that changes a data centre while entries without the store don't know
// the new entry yet.
TEST_F(PermitAuthorityTest, ANewEntryMayChangeOnlyWhenAllHaveAcknowledgedIt) {
  PermitAuthority c(ProcessId("c"), {"127.0.0.1", 3}, Timings());
  std::string reason;
  EXPECT_FALSE(c.MayChange(TimePoint(0), &reason));
  auto registry = kRegistry;
  registry[ProcessId("c")] = {"127.0.0.1", 3};
  c.OnRegistry(TimePoint(0), registry);
  c.OnMessage(TimePoint(10), kA, RegistrationAck{ProcessId("a")});
  EXPECT_FALSE(c.MayChange(TimePoint(10), &reason));
  EXPECT_NE(reason.find("entry b"), std::string::npos);
  c.OnMessage(TimePoint(10), kB, RegistrationAck{ProcessId("b")});
  EXPECT_TRUE(c.MayChange(TimePoint(10), &reason));
}

// Guards against permits by an entry that acknowledged a new entry but has no vouch of it.
TEST_F(PermitAuthorityTest, AnAcknowledgedNewEntryIsRequiredAtOnce) {
  a_.OnMessage(TimePoint(9000), {"127.0.0.1", 3}, Registration{ProcessId("c"), {"127.0.0.1", 3}});
  ExchangeVouches(TimePoint(10000));
  EXPECT_EQ(Remaining(a_, TimePoint(10000)), Duration(0));
}

// Guards against registrations of replaced hosts, which would prevent all permits in the next
// outage of the store.
TEST_F(PermitAuthorityTest, SilentEntriesAreReportedForRemovalOnlyWithTheStore) {
  const TimePoint late = TimePoint(0) + Timings().registration_silence_timeout;
  EXPECT_TRUE(a_.SilentPeers(late).empty());
  a_.OnGuardRead(late, ConfigRevision(5));
  EXPECT_EQ(a_.SilentPeers(late), std::vector<ProcessId>{ProcessId("b")});
  a_.OnMessage(late, kB, RegistrationAck{ProcessId("b")});
  EXPECT_TRUE(a_.SilentPeers(late).empty());
}

// Guards against vouching to an entry that does not know that it was removed from the registry.
TEST_F(PermitAuthorityTest, ARemovedEntryGetsNoVouch) {
  b_.OnRegistry(TimePoint(100), {{ProcessId("b"), kB}});
  ExchangeVouches(TimePoint(10000));
  EXPECT_EQ(Remaining(a_, TimePoint(10000)), Duration(0));
}

// Guards against a restarted entry that vouches although it may have written a change before the
// restart. spec/permit.pml showed this fault.
TEST_F(PermitAuthorityTest, NoVouchBeforeTheStoreWasRead) {
  b_ = PermitAuthority(ProcessId("b"), kB, Timings());
  ExchangeVouches(TimePoint(10000));
  EXPECT_EQ(Remaining(a_, TimePoint(10000)), Duration(0));
}

// Guards against permits on vouches by an entry whose last read of the guard key found a newer
// revision than it has applied. spec/permit.pml showed this fault.
TEST_F(PermitAuthorityTest, NoPermitOnVouchesBelowTheOwnGuard) {
  a_.OnGuardRead(TimePoint(100), ConfigRevision(6));
  ExchangeVouches(TimePoint(10000));
  EXPECT_EQ(Remaining(a_, TimePoint(10000)), Duration(0));
}

// Guards against a registry read that drops an entry whose Registration message arrived after the
// read began. spec/permit.pml showed this fault.
TEST_F(PermitAuthorityTest, AnOlderRegistryReadKeepsANewEntry) {
  a_.OnMessage(TimePoint(9000), {"127.0.0.1", 3}, Registration{ProcessId("c"), {"127.0.0.1", 3}});
  a_.OnRegistry(TimePoint(8900), kRegistry);
  ExchangeVouches(TimePoint(10000));
  EXPECT_EQ(Remaining(a_, TimePoint(10000)), Duration(0));
  a_.OnRegistry(TimePoint(9100), kRegistry);
  ExchangeVouches(TimePoint(11000));
  EXPECT_GT(Remaining(a_, TimePoint(11000)), Duration(0));
}

// Guards against permits on vouches after the time at which a new entry may change a data centre
// without acknowledgements.
TEST_F(PermitAuthorityTest, NoPermitsAfterTheVouchingLimit) {
  const TimePoint late = TimePoint(0) + Timings().vouching_limit;
  ExchangeVouches(late);
  EXPECT_EQ(Remaining(a_, late), Duration(0));
}

// Guards against a removed entry that continues to issue permits.
TEST_F(PermitAuthorityTest, AnEntryThatIsBeingRemovedGetsNoVouch) {
  ExchangeVouches(TimePoint(10000));
  const TimePoint removal_allowed = b_.BeginRemoval(TimePoint(10000), ProcessId("a"));
  ExchangeVouches(TimePoint(11000));
  EXPECT_EQ(Remaining(a_, removal_allowed), Duration(0));
}

}  // namespace
}  // namespace basilspring
