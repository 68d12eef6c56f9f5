#include "tests/process/hostile_clients.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

// Real processes on loopback addresses against small crowds of hostile clients. Each test checks
// only that the process is alive, that its peak memory and its open descriptors stay below a bound,
// and that an ordinary request is answered afterwards. A hostile client may be refused or its
// connection closed, so no answer to it is checked.
namespace basilspring {
namespace {

// An agent's machine has 128 MB. The bound leaves a quarter of it to the other processes, and is
// also used for entries, whose machines have 160 MB.
constexpr std::size_t kMaxPeakMemoryKib = 96 * 1024;
// No process opens more files and sockets than this without a crowd of its own clients.
constexpr std::size_t kMaxOtherDescriptors = 100;
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kCrowd = 100;

const std::string kUnknownJob =
    "GET /q/00000000000000ff HTTP/1.1\r\nHost: shop.example\r\nKey: secret\r\nTimeout-Ms: 3000\r\n"
    "Connection: close\r\n\r\n";
const std::string kGet = "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
const std::string kChunkedHead =
    "POST /q/00000000000000f1 HTTP/1.1\r\nHost: shop.example\r\nKey: secret\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string Announcement(const Address& backend) {
  const std::string body = fmt::format(
      R"({{"service":"planner","address":"{}","zone":"here","version":"v1","slots":8,)"
      R"("state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":64000,"mem_mb":131072,"gpu":8}},)"
      R"("labels":["a","r1-1"],"clock_ms":0,"seq":1,"born":1}})",
      backend.ToString());
  return fmt::format(
      "PUT /instances/i-0 HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
      "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
      body.size(), body);
}

class HostileClients : public ::testing::Test {
 protected:
  static void SetUpTestSuite() { RaiseDescriptorLimit(); }
  void TearDown() override { fleet_.reset(); }

  void Start(std::size_t max_descriptors = 0) {
    fleet_ = std::make_unique<FleetProcesses>(max_descriptors);
    ASSERT_TRUE(fleet_->Ready());
  }

  /// Plays a crowd against one listener and checks its process while the connections are open.
  void Play(ChildProcess& process, const Address& server, std::size_t connections,
            const HostileStream& stream, int receive_buffer_bytes = 0) {
    HostileCrowd crowd(server, connections, receive_buffer_bytes);
    crowd.Send(stream);
    crowd.AwaitConsumption();
    RecordProperty("sent_bytes", std::to_string(crowd.sent_bytes()));
    CheckProcess(process, connections + kMaxOtherDescriptors);
    CheckOrdinaryRequests();
  }

  static void CheckProcess(ChildProcess& process, std::size_t max_descriptors) {
    ASSERT_TRUE(process.Alive());
    const std::size_t peak_kib = process.PeakMemoryKib();
    const std::size_t descriptors = process.OpenDescriptors();
    fmt::print("peak memory {} KiB, descriptors {}\n", peak_kib, descriptors);
    EXPECT_LE(peak_kib, kMaxPeakMemoryKib);
    EXPECT_LE(descriptors, max_descriptors);
  }

  void CheckOrdinaryRequests() {
    ASSERT_TRUE(IsAnswered(fleet_->callers(), kUnknownJob, "HTTP/1.1 410"));
    ASSERT_TRUE(IsAnswered(fleet_->announcements(),
                           Announcement({fleet_->announcements().ip, 7956}), "HTTP/1.1 200"));
    for (const Address& peers : {fleet_->entry_peers(), fleet_->agent_peers()}) {
      ASSERT_TRUE(IsAnswered(peers, kGet, "HTTP/1.1 404"));
    }
    ASSERT_TRUE(IsAnswered(fleet_->readiness(), kGet, "HTTP/1.1 200"));
    ASSERT_TRUE(IsAnswered(fleet_->entry_metrics(), kGet, "HTTP/1.1 200"));
    EXPECT_TRUE(fleet_->entry().Alive());
    EXPECT_TRUE(fleet_->agent().Alive());
  }

  /// Plays callers that send a request with a huge timeout and disconnect, while the store is
  /// silent.
  void PlayHugeTimeouts(const std::string& method, const std::string& body) {
    constexpr int kRounds = 60;
    ASSERT_TRUE(fleet_->SetStoreFault("silent"));
    for (int round = 0; round < kRounds; ++round) {
      HostileCrowd crowd(fleet_->callers(), kCrowd);
      crowd.Send({fmt::format("{} /q/{:016x} HTTP/1.1\r\nHost: shop.example\r\nKey: secret\r\n"
                              "Timeout-Ms: 1000000000000\r\nContent-Length: {}\r\n\r\n{}",
                              method, 0xf000 + round, body.size(), body),
                  "", 0, ""});
    }
    // The process has read what the last callers sent before they disconnected.
    HostileCrowd(fleet_->callers(), 1).AwaitConsumption();
    CheckProcess(fleet_->entry(), kCrowd + kMaxOtherDescriptors);
    ASSERT_TRUE(fleet_->SetStoreFault("none"));
    CheckOrdinaryRequests();
    CheckProcess(fleet_->entry(), kCrowd + kMaxOtherDescriptors);
  }

  std::unique_ptr<FleetProcesses> fleet_;
};

/// Trailer fields without end behind a complete chunked body.
HostileStream EndlessTrailers() {
  return {kChunkedHead + "1\r\nx\r\n0\r\n", "X-Trailer: " + std::string(85, 't') + "\r\n",
          48 * kMegabyte, ""};
}

// Guards against the end of a process by exhausted memory, which endless trailers have caused.
TEST_F(HostileClients, EndlessTrailersToCallersListener) {
  Start();
  Play(fleet_->entry(), fleet_->callers(), 4, EndlessTrailers());
}

// Guards against the end of a process by an assertion of the parser, which a last chunk at the
// beginning of a body caused if a single byte followed it in a packet of its own.
TEST_F(HostileClients, LastChunkFollowedByASingleByte) {
  Start();
  HostileCrowd crowd(fleet_->callers(), 4);
  crowd.Send({kChunkedHead + "0\r\n", "", 0, ""});
  crowd.AwaitConsumption();
  crowd.Send({"\r", "", 0, ""});
  crowd.AwaitConsumption();
  CheckProcess(fleet_->entry(), 4 + kMaxOtherDescriptors);
  CheckOrdinaryRequests();
}

TEST_F(HostileClients, EndlessTrailersToReadinessListener) {
  Start();
  Play(fleet_->entry(), fleet_->readiness(), 4, EndlessTrailers());
}

TEST_F(HostileClients, EndlessTrailersToMetricsListener) {
  Start();
  Play(fleet_->entry(), fleet_->entry_metrics(), 4, EndlessTrailers());
}

TEST_F(HostileClients, EndlessTrailersToAnnouncementsListener) {
  Start();
  Play(fleet_->agent(), fleet_->announcements(), 4, EndlessTrailers());
}

TEST_F(HostileClients, EndlessTrailersToPeersListener) {
  Start();
  Play(fleet_->agent(), fleet_->agent_peers(), 4, EndlessTrailers());
}

// Guards against framing of a body that is held without a limit although it is no part of the body.
TEST_F(HostileClients, EndlessChunkExtension) {
  Start();
  Play(fleet_->entry(), fleet_->callers(), 4, {kChunkedHead + "1;x=", "y", 48 * kMegabyte, ""});
}

TEST_F(HostileClients, EndlessChunkSizeLine) {
  Start();
  Play(fleet_->entry(), fleet_->callers(), 4, {kChunkedHead, "0", 48 * kMegabyte, ""});
}

// Guards against many small extensions, which pass a limit on the length of one line.
TEST_F(HostileClients, ChunksOfOneByteWithLongExtensions) {
  Start();
  Play(fleet_->entry(), fleet_->callers(), 8,
       {kChunkedHead, "1;x=" + std::string(4000, 'y') + "\r\nz\r\n", 24 * kMegabyte, ""});
}

// Guards against trailer fields that take many times the memory of their bytes once they are
// parsed.
TEST_F(HostileClients, ManyTrailerFieldsOfOneByte) {
  Start();
  Play(fleet_->entry(), fleet_->callers(), 16,
       {kChunkedHead + "1\r\nx\r\n0\r\n", "a:\r\n", 8 * kMegabyte, "\r\n"});
}

// Guards against bodies below the limit that together exceed the memory of the machine.
TEST_F(HostileClients, UnfinishedBodiesBelowTheLimitFromCallers) {
  Start();
  const std::string head = fmt::format(
      "POST /q/00000000000000f1 HTTP/1.1\r\nHost: shop.example\r\nKey: secret\r\n"
      "Content-Length: {}\r\n\r\n",
      kMegabyte);
  Play(fleet_->entry(), fleet_->callers(), kCrowd, {head, "x", head.size() + kMegabyte - 1, ""});
}

TEST_F(HostileClients, UnfinishedBodiesBelowTheLimitOfAnnouncements) {
  Start();
  const std::string head = fmt::format(
      "PUT /instances/i-0 HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", kMegabyte);
  Play(fleet_->agent(), fleet_->announcements(), kCrowd,
       {head, "x", head.size() + kMegabyte - 1, ""});
}

TEST_F(HostileClients, UnfinishedBodiesBelowTheLimitFromPeers) {
  Start();
  const std::string head = fmt::format(
      "POST /fleet/report HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", 8 * kMegabyte);
  Play(fleet_->agent(), fleet_->agent_peers(), 20,
       {head, "x", head.size() + 8 * kMegabyte - 1, ""});
}

// Guards against headers below the limit that are never completed.
TEST_F(HostileClients, UnfinishedHeadersBelowTheLimit) {
  Start();
  Play(fleet_->entry(), fleet_->callers(), kCrowd,
       {"GET / HTTP/1.1\r\nHost: h\r\n", "X-Field: " + std::string(89, 'v') + "\r\n", 16000, ""});
}

// Guards against header fields that take many times the memory of their bytes once they are parsed.
// The header is complete and the body is not, so that the parsed fields are held.
TEST_F(HostileClients, ManyHeaderFieldsOfOneByte) {
  Start();
  constexpr std::size_t kConnections = 500;
  Play(fleet_->entry(), fleet_->callers(), kConnections,
       {"POST /q/00000000000000f1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n", "a:\r\n", 16000,
        "\r\n"});
}

// Guards against idle connections that take all descriptors, so that no other client is accepted.
// As on the machines of the target, 200 descriptors are reserved for files; at least half of them
// must stay free. The limit is lower than there, and so is the number of connections.
constexpr std::size_t kLoweredDescriptors = 320;
constexpr std::size_t kIdleCrowd = kLoweredDescriptors + 40;

TEST_F(HostileClients, MoreIdleCallersThanDescriptors) {
  Start(kLoweredDescriptors);
  const HostileCrowd crowd(fleet_->callers(), kIdleCrowd);
  crowd.AwaitConsumption();
  CheckProcess(fleet_->entry(), kLoweredDescriptors - 100);
  CheckOrdinaryRequests();
}

TEST_F(HostileClients, MoreIdleBackendServersThanDescriptors) {
  Start(kLoweredDescriptors);
  const HostileCrowd crowd(fleet_->announcements(), kIdleCrowd);
  crowd.AwaitConsumption();
  CheckProcess(fleet_->agent(), kLoweredDescriptors - 100);
  CheckOrdinaryRequests();
}

// Guards against pipelined requests that are read and held while the first one waits.
TEST_F(HostileClients, RequestsBehindOneThatWaits) {
  Start();
  ASSERT_TRUE(fleet_->SetStoreFault("silent"));
  const std::string request =
      "GET /q/00000000000000f1 HTTP/1.1\r\nHost: shop.example\r\nKey: secret\r\n"
      "Timeout-Ms: 20000\r\n\r\n";
  {
    HostileCrowd crowd(fleet_->callers(), kCrowd);
    crowd.Send({request, request, 2 * kMegabyte, ""});
    crowd.AwaitConsumption();
    CheckProcess(fleet_->entry(), 2 * kCrowd + kMaxOtherDescriptors);
    ASSERT_TRUE(fleet_->SetStoreFault("none"));
  }
  CheckOrdinaryRequests();
  CheckProcess(fleet_->entry(), 2 * kCrowd + kMaxOtherDescriptors);
}

// Guards against answers that are held for clients which don't read them.
TEST_F(HostileClients, UnreadAnswersOfMetrics) {
  Start();
  const std::string request = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  Play(fleet_->entry(), fleet_->entry_metrics(), kCrowd, {"", request, kMegabyte, ""}, 4096);
}

TEST_F(HostileClients, UnreadAnswersOfPendingCounts) {
  Start();
  const std::string request =
      "GET /q/ HTTP/1.1\r\nHost: shop.example\r\nKey: secret\r\nTimeout-Ms: 3000\r\n\r\n";
  Play(fleet_->entry(), fleet_->callers(), kCrowd, {"", request, kMegabyte, ""}, 4096);
}

// Guards against the rest of a refused request, which is read without being of any use.
TEST_F(HostileClients, EndlessRestOfBodyAboveTheLimit) {
  Start();
  Play(fleet_->entry(), fleet_->callers(), kCrowd,
       {"POST /q/00000000000000f1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n", "x",
        2 * kMegabyte, ""});
}

TEST_F(HostileClients, EndlessRestOfHeaderAboveTheLimit) {
  Start();
  Play(fleet_->entry(), fleet_->callers(), kCrowd,
       {"GET /q/00000000000000f1 HTTP/1.1\r\nHost: h\r\n",
        "X-Field: " + std::string(89, 'v') + "\r\n", 2 * kMegabyte, ""});
}

// Guards against requests that are held for as long as their callers ask for, also after the
// callers have disconnected. The body of a submission is close to the largest one of an ordinary
// caller (9,600 bytes); a cancellation needs none, but it is held with the request.
TEST_F(HostileClients, HugeTimeoutsOfSubmissionsThatDisconnect) {
  Start();
  PlayHugeTimeouts("POST", fmt::format(R"({{"spec":"{}","steps":[{{"count":1,"cpu":1000,)"
                                       R"("mem_mb":1000,"gpu":1,"estimate_ms":100}}]}})",
                                       std::string(9000, '1')));
}

TEST_F(HostileClients, HugeTimeoutsOfCancellationsThatDisconnect) {
  Start();
  PlayHugeTimeouts("DELETE", std::string(20000, 'x'));
}

// Guards against the same fault in the entry of the project's own interface, which needs no store
// to answer the ordinary request.
TEST(HostileClientsOfOlderEntry, EndlessTrailers) {
  RaiseDescriptorLimit();
  const std::string ip = OwnLoopbackIp(4);
  const RunDirectory directory;
  directory.Write(
      "entry.toml",
      fmt::format("[process]\nrole = \"entry\"\nname = \"entry-hostile\"\n"
                  "region = \"here\"\ndata_centre = \"here\"\n\n[network]\n"
                  "listen = \"{0}:7400\"\nhttp = \"{0}:8080\"\nentries = [\"{0}:7400\"]\n"
                  "\n[store]\nservers = [\"{0}:2379\"]\n",
                  ip));
  ChildProcess entry(
      {BASILSPRING_BUILD_DIR "/basilspring", "entry", "--settings", directory.PathOf("entry.toml")},
      directory.PathOf("entry.log"), 0);
  const Address http{ip, 8080};
  const std::string get = "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  ASSERT_TRUE(IsAnswered(http, get, "HTTP/1.1 200"));
  HostileCrowd crowd(http, 4);
  crowd.Send(EndlessTrailers());
  crowd.AwaitConsumption();
  ASSERT_TRUE(entry.Alive());
  fmt::print("peak memory {} KiB, descriptors {}\n", entry.PeakMemoryKib(),
             entry.OpenDescriptors());
  EXPECT_LE(entry.PeakMemoryKib(), kMaxPeakMemoryKib);
  EXPECT_LE(entry.OpenDescriptors(), kMaxOtherDescriptors);
  EXPECT_TRUE(IsAnswered(http, get, "HTTP/1.1 200"));
}

}  // namespace
}  // namespace basilspring
