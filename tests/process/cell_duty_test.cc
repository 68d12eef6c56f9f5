#include "basilspring/process/cell_duty.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/connection/transport.h"
#include "basilspring/process/election.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/metrics.h"
#include "basilspring/process/process_settings.h"
#include "basilspring/request/request_record.h"
#include "process/cell_store.h"
#include "standin/store_server.h"

namespace basilspring {
namespace {

template <typename Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 1000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

class CellDutyTest : public ::testing::Test {
 protected:
  CellDutyTest() : server(Address{"127.0.0.1", 0}), http(io), store(io, http, Options()) {}
  StoreOptions Options() const {
    StoreOptions options;
    options.servers = {server.address()};
    return options;
  }
  standin::StoreServer server;
  IoThread io;
  HttpClient http;
  StoreClient store;
  const CellId cell{"dc/0"};
};

// Guards against two schedulers of a cell, and against an epoch that doesn't increase.
TEST_F(CellDutyTest, OnlyOneHolderAndGrowingEpochs) {
  Election first(store, cell, Address{"127.0.0.1", 1}, Duration(4000));
  Election second(store, cell, Address{"127.0.0.1", 2}, Duration(4000));
  const std::optional<Epoch> epoch = first.Acquire();
  ASSERT_TRUE(epoch);
  EXPECT_FALSE(second.Acquire());
  EXPECT_EQ(first.Renew(), LeaseRenewal::kRenewed);
  first.Release();
  const std::optional<Epoch> next = second.Acquire();
  ASSERT_TRUE(next);
  EXPECT_GT(*next, *epoch);
  EXPECT_EQ(first.Renew(), LeaseRenewal::kExpired);
}

// Guards against a holder that gives up its cell because the store is unavailable.
TEST_F(CellDutyTest, UnavailableStoreDoesNotEndTheLease) {
  Election election(store, cell, Address{"127.0.0.1", 1}, Duration(4000));
  ASSERT_TRUE(election.Acquire());
  server.SetFault({standin::StoreFault::kDown});
  EXPECT_EQ(election.Renew(), LeaseRenewal::kStoreDown);
}

// Guards against wrong outcomes of repeated and of conflicting claims, fences and answers.
TEST_F(CellDutyTest, ClaimFenceAndAnswer) {
  internal::CellStore cell_store(store, cell, Duration(60000));
  const WorkspaceId workspace("w");
  const auto put = [&](const std::string& key, const std::string& value) {
    ASSERT_TRUE(store.Txn({KeyAbsent{key}}, {PutKey{key, value}}).succeeded);
  };
  for (const char* id : {"j1", "j2"}) {
    put(RequestRecordKey(workspace, RequestKey(id)),
        EncodeRequestRecord({RequestRecordState::kOpen, JobId(id), cell}));
  }
  const ClaimRequest claim{JobId("j1"), AttemptId("j1#1.1"), workspace, RequestKey("j1")};
  EXPECT_EQ(cell_store.Claim(claim).outcome, StoreOutcome::kDone);
  EXPECT_EQ(cell_store.Claim(claim).outcome, StoreOutcome::kDone)
      << "repeating a claim must succeed";
  ClaimRequest other = claim;
  other.attempt = AttemptId("j1#2.1");
  EXPECT_EQ(cell_store.Claim(other).outcome, StoreOutcome::kRefused);
  EXPECT_EQ(cell_store.Fence({JobId("j1"), workspace, RequestKey("j1")}).outcome,
            StoreOutcome::kRefused);
  EXPECT_EQ(cell_store.Fence({JobId("j2"), workspace, RequestKey("j2")}).outcome,
            StoreOutcome::kDone);
  const ClaimReply fenced =
      cell_store.Claim({JobId("j2"), AttemptId("j2#1.1"), workspace, RequestKey("j2")});
  EXPECT_TRUE(fenced.outcome == StoreOutcome::kRefused && fenced.fenced);

  put(JobRecordKey(cell, JobId("j1")), "record");
  ResultWrite write{JobId("j1"), {}, false, workspace, RequestKey("j1"), claim.attempt};
  write.result.answer = MakeAnswer({"out"});
  EXPECT_EQ(cell_store.Write(write).outcome, StoreOutcome::kDone);
  EXPECT_EQ(server.Peek(JobRecordKey(cell, JobId("j1"))), "");
  EXPECT_EQ(DecodeRequestRecord(server.Peek(RequestRecordKey(workspace, RequestKey("j1")))).state,
            RequestRecordState::kDone);
  write.result = {ErrorKind::kOutcomeUnknown};
  const ResultReply stored = cell_store.Write(write);
  EXPECT_EQ(stored.outcome, StoreOutcome::kRefused);
  ASSERT_TRUE(stored.stored);
  EXPECT_EQ(stored.stored->answer.outputs, std::vector<std::string>{"out"});
}

// Guards against a process that keeps its cell after Release, or contends again during its
// shutdown.
TEST_F(CellDutyTest, AcquiresAndReleases) {
  ProcessSettings settings;
  settings.name = ProcessId("agent");
  settings.cell = cell;
  settings.listen = {"127.0.0.1", 24917};
  Transport transport(io, settings.name, settings.listen, [](const Address&, const Message&) {});
  MetricRegistry metrics;
  CellDuty duty(settings, transport, store, metrics);
  duty.Contend(Epoch());
  ASSERT_TRUE(Eventually([&] { return duty.holds_cell(); }));
  EXPECT_EQ(server.Peek("/basilspring/cells/dc/0"), "127.0.0.1:24917");
  duty.Release(Duration(5000));
  EXPECT_FALSE(duty.holds_cell());
  EXPECT_EQ(server.Peek("/basilspring/cells/dc/0"), "");
  duty.Contend(Epoch());
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_FALSE(duty.holds_cell());
}

}  // namespace
}  // namespace basilspring
