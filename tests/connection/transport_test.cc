#include "basilspring/connection/transport.h"

#include <gtest/gtest.h>

#include <mutex>

#include "basilspring/connection/frame.h"
#include "basilspring/process/io_thread.h"
#include "standin/relay.h"
#include "tests/connection/raw_socket.h"

namespace basilspring {
namespace {

/// Collects the ids of QueryJob messages in the order of their arrival.
class Inbox {
 public:
  MessageHandler Handler() {
    return [this](const Address& from, const Message& message) {
      const std::lock_guard<std::mutex> lock(mutex_);
      from_ = from;
      if (const auto* query = std::get_if<QueryJob>(&message)) received_.push_back(query->query);
    };
  }
  std::vector<std::uint64_t> received() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return received_;
  }
  Address from() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return from_;
  }
  bool Reaches(std::size_t count) const {
    return Eventually([this, count] { return received().size() >= count; });
  }

 private:
  mutable std::mutex mutex_;
  Address from_;
  std::vector<std::uint64_t> received_;
};

Message Query(std::uint64_t number) {
  QueryJob query;
  query.query = number;
  return query;
}

std::vector<std::uint64_t> UpTo(std::uint64_t count) {
  std::vector<std::uint64_t> numbers;
  for (std::uint64_t i = 1; i <= count; ++i) numbers.push_back(i);
  return numbers;
}

const Address kAnyPort{"127.0.0.1", 0};

TransportOptions QuickOptions() {
  TransportOptions options;
  options.heartbeat_interval = Duration(20);
  options.silence_limit = Duration(100);
  return options;
}

class TransportTest : public testing::Test {
 protected:
  void Start(const TransportOptions& options = QuickOptions()) {
    receiver_ = std::make_unique<Transport>(io_, ProcessId("receiver"), kAnyPort, inbox_.Handler(),
                                            options);
    sender_ = std::make_unique<Transport>(io_, ProcessId("sender"), kAnyPort,
                                          sender_inbox_.Handler(), options);
    relay_ = std::make_unique<standin::Relay>(io_, receiver_->address());
  }
  void SendUpTo(std::uint64_t first, std::uint64_t last) {
    for (std::uint64_t i = first; i <= last; ++i) {
      ASSERT_TRUE(sender_->Send(relay_->address(), Query(i)));
    }
  }

  IoThread io_;
  Inbox inbox_;
  Inbox sender_inbox_;
  std::unique_ptr<Transport> receiver_;
  std::unique_ptr<Transport> sender_;
  std::unique_ptr<standin::Relay> relay_;
};

TEST_F(TransportTest, DeliversInOrderAndAnswersReachTheListenAddress) {
  Start();
  SendUpTo(1, 2000);
  ASSERT_TRUE(inbox_.Reaches(2000));
  EXPECT_EQ(inbox_.received(), UpTo(2000));
  EXPECT_EQ(inbox_.from(), sender_->address());
  EXPECT_TRUE(receiver_->Send(inbox_.from(), Query(7)));
  EXPECT_TRUE(sender_inbox_.Reaches(1));
  EXPECT_TRUE(Eventually([this] { return sender_->Drained() && receiver_->Drained(); }));
  EXPECT_EQ(sender_->counters().messages_sent, 2000U);
  EXPECT_EQ(receiver_->counters().messages_received, 2000U);
}

TEST_F(TransportTest, DatagramsCarryTheListenAddressAsTheirSource) {
  Start();
  Message large = Query(1);
  std::get<QueryJob>(large).job = JobId(std::string(kMaxDatagramBytes, 'x'));
  EXPECT_FALSE(sender_->SendDatagram(receiver_->address(), large));
  // Datagrams may be lost, so they are repeated until one arrives.
  EXPECT_TRUE(Eventually([this] {
    sender_->SendDatagram(receiver_->address(), Query(1));
    return !inbox_.received().empty();
  }));
  EXPECT_EQ(inbox_.from(), sender_->address());
}

// Guards against losing or repeating messages when an open connection becomes silent permanently.
TEST_F(TransportTest, SilentConnectionIsReplacedWithoutLossOrRepetition) {
  Start();
  SendUpTo(1, 50);
  ASSERT_TRUE(inbox_.Reaches(50));
  relay_->SilenceOpenConnections();
  SendUpTo(51, 100);
  ASSERT_TRUE(inbox_.Reaches(100));
  EXPECT_TRUE(Eventually([this] { return sender_->Drained(); }));
  EXPECT_EQ(inbox_.received(), UpTo(100));
  EXPECT_EQ(sender_->counters().reconnects, 1U);
}

// Guards against a sender that keeps a connection because acknowledgements still arrive on it,
// although its messages no longer reach the peer.
TEST_F(TransportTest, MessagesSurviveACutInEitherDirection) {
  Start();
  std::uint64_t sent = 0;
  for (int round = 0; round < 3; ++round) {
    SendUpTo(sent + 1, sent + 20);
    sent += 20;
    ASSERT_TRUE(inbox_.Reaches(sent));
    const int accepted = relay_->accepted();
    if (round != 1) relay_->CutTowardsTarget(true);
    if (round != 0) relay_->CutTowardsClients(true);
    SendUpTo(sent + 1, sent + 20);
    sent += 20;
    // The cut lasts until the sender has given up the old connection.
    ASSERT_TRUE(Eventually([this, accepted] { return relay_->accepted() > accepted; }));
    relay_->CutBoth(false);
    ASSERT_TRUE(inbox_.Reaches(sent));
  }
  EXPECT_TRUE(Eventually([this] { return sender_->Drained(); }));
  EXPECT_EQ(inbox_.received(), UpTo(sent));
}

TEST_F(TransportTest, MessagesSurviveRepeatedlyClosedConnections) {
  Start();
  for (std::uint64_t i = 1; i <= 40; ++i) {
    SendUpTo(i * 10 - 9, i * 10);
    ASSERT_TRUE(inbox_.Reaches(i * 5));
    relay_->CloseOpenConnections();
  }
  ASSERT_TRUE(inbox_.Reaches(400));
  EXPECT_TRUE(Eventually([this] { return sender_->Drained(); }));
  EXPECT_EQ(inbox_.received(), UpTo(400));
}

// Guards against giving up after the first refused connection if the peer starts late.
TEST_F(TransportTest, ReconnectsUntilThePeerListens) {
  Start();
  const Address late = receiver_->address();
  receiver_.reset();
  EXPECT_TRUE(sender_->Send(late, Query(1)));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_FALSE(sender_->Drained());
  receiver_ = std::make_unique<Transport>(io_, ProcessId("receiver"), late, inbox_.Handler());
  EXPECT_TRUE(inbox_.Reaches(1));
}

TEST_F(TransportTest, DropsAndCountsMessagesToAPeerThatNeverAnswers) {
  TransportOptions options = QuickOptions();
  options.unanswered_drop = Duration(100);
  Start(options);
  const Address nobody = receiver_->address();
  receiver_.reset();
  EXPECT_TRUE(sender_->Send(nobody, Query(1)));
  EXPECT_TRUE(Eventually([this] { return sender_->counters().messages_dropped == 1; }));
  EXPECT_TRUE(sender_->Drained());
}

TEST_F(TransportTest, FullQueueIsReportedAndDropPeerEmptiesIt) {
  TransportOptions options = QuickOptions();
  options.max_queued_messages = 10;
  Start(options);
  relay_->CutBoth(true);
  SendUpTo(1, 10);
  EXPECT_FALSE(sender_->Send(relay_->address(), Query(11)));
  sender_->DropPeer(relay_->address());
  EXPECT_TRUE(Eventually([this] { return sender_->Drained(); }));
  relay_->CutBoth(false);
  EXPECT_TRUE(sender_->Send(relay_->address(), Query(12)));
  ASSERT_TRUE(Eventually([this] {
    const auto received = inbox_.received();
    return !received.empty() && received.back() == 12;
  }));
}

// Guards against connections to former peers that stay open.
TEST_F(TransportTest, IdleConnectionIsClosedAndOpenedAgainOnDemand) {
  TransportOptions options = QuickOptions();
  options.idle_close = Duration(50);
  Start(options);
  SendUpTo(1, 1);
  ASSERT_TRUE(inbox_.Reaches(1));
  // The next message needs a second connection, which shows that the idle one was closed.
  std::uint64_t sent = 1;
  EXPECT_TRUE(Eventually([this, &sent] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    SendUpTo(sent + 1, sent + 1);
    ++sent;
    return inbox_.Reaches(sent) && relay_->accepted() > 1;
  }));
  EXPECT_EQ(inbox_.received(), UpTo(sent));
  EXPECT_EQ(sender_->counters().reconnects, 0U);
}

// Guards against delivering a message twice that was sent on two connections, and against dropping
// the messages of a restarted process as duplicates of its previous incarnation.
TEST_F(TransportTest, DropsDuplicatesByIncarnationAndSequence) {
  Start();
  const Hello first{ProcessId("p"), Incarnation(1), {"127.0.0.1", 9}};
  const Hello second{ProcessId("p"), Incarnation(2), {"127.0.0.1", 9}};
  for (const Hello& hello : {first, first, second}) {
    const RawSocket socket(receiver_->address());
    socket.Write(EncodeFrame({0, hello}) + EncodeFrame({4, Query(1)}) + EncodeFrame({5, Query(2)}));
    const std::string acknowledgement = EncodeFrame({5, std::nullopt});
    EXPECT_NE(socket.ReadUntilText(acknowledgement).find(acknowledgement), std::string::npos);
  }
  EXPECT_EQ(inbox_.received(), (std::vector<std::uint64_t>{1, 2, 1, 2}));
  EXPECT_EQ(receiver_->counters().duplicates_dropped, 2U);
}

TEST_F(TransportTest, ClosesConnectionsWithBadFramesAndCountsThem) {
  Start();
  const std::string hello =
      EncodeFrame({0, Hello{ProcessId("p"), Incarnation(1), {"127.0.0.1", 9}}});
  const std::vector<std::string> inputs = {std::string(64, 'x'), EncodeFrame({1, Query(1)}),
                                           hello + hello, hello + std::string(64, '\xff')};
  for (const std::string& input : inputs) {
    const RawSocket socket(receiver_->address());
    socket.Write(input);
    socket.ReadAll();
  }
  EXPECT_EQ(receiver_->counters().bad_frames, inputs.size());
  EXPECT_TRUE(inbox_.received().empty());
}

// Guards against holding a connection open for a peer that connects and sends nothing.
TEST_F(TransportTest, ClosesConnectionsThatStaySilent) {
  Start();
  const RawSocket socket(receiver_->address());
  EXPECT_EQ(socket.ReadAll(), "");
}

TEST(Transport, RefusesATakenPort) {
  IoThread io;
  const auto ignore = [](const Address&, const Message&) {};
  const Transport first(io, ProcessId("a"), kAnyPort, ignore);
  EXPECT_THROW(Transport(io, ProcessId("b"), first.address(), ignore), Error);
}

}  // namespace
}  // namespace basilspring
