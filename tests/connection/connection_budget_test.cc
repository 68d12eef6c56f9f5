#include "basilspring/connection/connection_budget.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <vector>

#include "basilspring/connection/http_server.h"
#include "basilspring/process/io_thread.h"
#include "tests/connection/raw_socket.h"

namespace basilspring {
namespace {

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

class ConnectionBudgetTest : public testing::Test {
 protected:
  void Limit(std::size_t memory, std::size_t connections) {
    budget_ = std::make_shared<ConnectionBudget>(ConnectionLimits{memory, connections});
  }
  ConnectionBudget::Id Add(std::int64_t at) {
    const auto slot = std::make_shared<ConnectionBudget::Id>(0);
    *slot = budget_->Add("test", TimePoint(at), [this, slot] {
      closed_.push_back(*slot);
      budget_->Remove(*slot);
    });
    return *slot;
  }

  std::shared_ptr<ConnectionBudget> budget_;
  std::vector<ConnectionBudget::Id> closed_;
};

// Guards against clients that open connections and leave them, so that no further client gets in.
TEST_F(ConnectionBudgetTest, ANewConnectionReplacesTheOneWithoutProgressForLongest) {
  Limit(1000, 3);
  const auto first = Add(0);
  const auto second = Add(10);
  const auto third = Add(20);
  budget_->SetProgress(first, TimePoint(25));
  Add(30);
  EXPECT_EQ(closed_, std::vector{second});
  budget_->SetHandled(third, true);
  Add(40);
  EXPECT_EQ(closed_, (std::vector{second, first}));
  EXPECT_EQ(budget_->connections(), 3U);
  EXPECT_EQ(budget_->closed(BudgetCause::kConnections), 2U);
}

// Guards against a new client that is refused because all other connections have open requests.
TEST_F(ConnectionBudgetTest, ANewConnectionStaysIfAllOthersAreHandled) {
  Limit(1000, 2);
  const auto first = Add(0);
  budget_->SetHandled(first, true);
  budget_->SetHandled(Add(5), true);
  Add(10);
  EXPECT_EQ(closed_, std::vector{first});
}

// Guards against closing a fast large request in place of slow ones, and those in place of an
// ordinary client.
TEST_F(ConnectionBudgetTest, MemoryIsTakenFromWhatIsHeldWithoutProgressForLongest) {
  Limit(1000, 100);
  const auto large = Add(990);
  const auto slow = Add(0);
  const auto small = Add(0);
  budget_->SetBytes(slow, 300);
  budget_->SetBytes(small, 10);
  budget_->SetBytes(large, 690);
  budget_->Enforce(TimePoint(1000));
  EXPECT_TRUE(closed_.empty());
  budget_->SetBytes(large, 691);
  budget_->Enforce(TimePoint(1000));
  EXPECT_EQ(closed_, std::vector{slow});
  EXPECT_EQ(budget_->bytes(), 701U);
}

// Guards against requests that are still handled after their callers have disconnected, and so are
// no longer held by any connection, and against closing other connections because of them.
TEST_F(ConnectionBudgetTest, ARequestBeingHandledIsCountedUntilItIsReleased) {
  Limit(1000, 100);
  const auto connection = Add(0);
  budget_->SetBytes(connection, 250);
  auto charge = budget_->TryHandle(700);
  ASSERT_TRUE(charge);
  EXPECT_FALSE(budget_->TryHandle(100));
  budget_->SetLimits({500, 100});
  budget_->SetBytes(connection, 100);
  budget_->Enforce(TimePoint(1));
  EXPECT_TRUE(closed_.empty());
  budget_->Remove(connection);
  EXPECT_EQ(budget_->bytes(), 700U);
  charge.reset();
  EXPECT_EQ(budget_->bytes(), 0U);
}

// Guards against accepted connections that use up the descriptors needed for peers and files.
TEST_F(ConnectionBudgetTest, KeepsDescriptorsForOtherUses) {
  EXPECT_EQ(ConnectionsWithin(3000, 4096), 3000U);
  EXPECT_EQ(ConnectionsWithin(10000, 4096), 3196U);
  EXPECT_EQ(ConnectionsWithin(3000, 1024), 512U);
  Limit(1000, 100);
  EXPECT_FALSE(budget_->CloseForDescriptor(TimePoint(0)));
  const auto first = Add(0);
  Add(1);
  EXPECT_TRUE(budget_->CloseForDescriptor(TimePoint(2)));
  EXPECT_EQ(closed_, std::vector{first});
}

class SharedBudgetTest : public testing::Test {
 protected:
  void Serve(std::size_t memory, std::size_t connections) {
    budget_ = std::make_shared<ConnectionBudget>(ConnectionLimits{memory, connections});
    HttpLimits limits;
    limits.max_body_bytes = 8 * 1024 * 1024;
    for (auto* server : {&first_, &second_}) {
      *server = std::make_unique<HttpServer>(
          io_, Address{"127.0.0.1", 0},
          [this](const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
            if (request.path == "/hold") {
              held_.push_back(std::move(responder));
              ++held_count_;
            } else {
              responder->Respond(HttpResponse());
            }
          },
          limits, budget_, "test");
    }
  }
  bool Answers(const HttpServer& server) {
    const RawSocket socket(server.address());
    return socket.Write(kRequest) &&
           socket.ReadUntilText("\r\n\r\n").find("200 OK") != std::string::npos;
  }

  IoThread io_;
  std::shared_ptr<ConnectionBudget> budget_;
  std::vector<std::shared_ptr<HttpResponder>> held_;
  std::atomic<int> held_count_{0};
  std::unique_ptr<HttpServer> first_;
  std::unique_ptr<HttpServer> second_;
};

// Guards against connections of one listener that keep clients of another one out.
TEST_F(SharedBudgetTest, ConnectionsThatAreLeftOpenGiveWayOnAllListeners) {
  Serve(1000000, 4);
  std::vector<std::unique_ptr<RawSocket>> left;
  for (int i = 0; i < 20; ++i) {
    left.push_back(std::make_unique<RawSocket>(first_->address()));
    left.back()->Write("GET / HT");
  }
  EXPECT_TRUE(Answers(*second_));
  EXPECT_TRUE(Answers(*first_));
  EXPECT_TRUE(Eventually([this] { return budget_->connections() <= 4; }));
  EXPECT_EQ(left.front()->ReadAll(), "");
  left.clear();
  EXPECT_TRUE(Eventually([this] { return budget_->connections() == 0; }));
  EXPECT_EQ(budget_->bytes(), 0U);
}

// Guards against bodies that together exceed the memory of the process, although each is within the
// limit of a request.
TEST_F(SharedBudgetTest, BodiesOfManyClientsStayWithinTheMemory) {
  Serve(1024 * 1024, 100);
  const std::string part =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n" + std::string(200000, 'x');
  std::vector<std::unique_ptr<RawSocket>> clients;
  for (int i = 0; i < 10; ++i) {
    clients.push_back(std::make_unique<RawSocket>(first_->address()));
    clients.back()->Write(part);
  }
  EXPECT_TRUE(Eventually([this] { return budget_->closed(BudgetCause::kMemory) >= 5; }));
  EXPECT_LE(budget_->bytes(), 1024U * 1024U);
  EXPECT_TRUE(Answers(*first_));
}

// Guards against listeners that stop accepting because connections use up the descriptors, for
// example while the process's limit is lower than was assumed.
TEST_F(SharedBudgetTest, AcceptsAgainAfterTheDescriptorsWereUsedUp) {
  Serve(1000000, 1000);
  rlimit before{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
  // Created before the limit is lowered, so that only the server needs further descriptors.
  std::vector<int> clients;
  for (int i = 0; i < 4; ++i) clients.push_back(::socket(AF_INET, SOCK_STREAM, 0));
  const int next_descriptor = ::dup(0);
  ::close(next_descriptor);
  rlimit lowered = before;
  lowered.rlim_cur = static_cast<rlim_t>(next_descriptor) + 2;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(first_->address().port);
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  for (const int client : clients) {
    EXPECT_EQ(::connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  }
  EXPECT_TRUE(Eventually([this] { return budget_->closed(BudgetCause::kDescriptors) >= 2; }));
  const std::string request = kRequest;
  EXPECT_EQ(::send(clients.back(), request.data(), request.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(request.size()));
  char status[12] = {};
  EXPECT_EQ(::recv(clients.back(), status, sizeof(status), MSG_WAITALL), 12);
  EXPECT_EQ(std::string(status, sizeof(status)), "HTTP/1.1 200");
  for (const int client : clients) ::close(client);
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_TRUE(Answers(*second_));
}

// Guards against requests that pile up behind a slow handler while their callers disconnect, and
// against a refusal of a request that was handed to the handler.
TEST_F(SharedBudgetTest, RequestsBeingHandledAreBounded) {
  Serve(1024 * 1024, 100);
  const std::string request =
      "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + std::string(300000, 'x');
  for (int i = 0; i < 2; ++i) {
    const RawSocket socket(first_->address());
    socket.Write(request);
    ASSERT_TRUE(Eventually([&] { return held_count_ == i + 1; }));
  }
  const RawSocket refused(first_->address());
  refused.Write(request);
  EXPECT_TRUE(refused.ReadUntilText("\r\n\r\n").starts_with("HTTP/1.1 503 "));
  EXPECT_EQ(held_count_, 2);
  EXPECT_TRUE(Answers(*second_));
  io_.Post([this] { held_.clear(); });
  EXPECT_TRUE(
      Eventually([this] { return budget_->connections() == 1 && budget_->bytes() < 100000; }));
}

}  // namespace
}  // namespace basilspring
