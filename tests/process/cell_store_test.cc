#include "process/cell_store.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "basilspring/connection/http_client.h"
#include "basilspring/error.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/request/request_record.h"
#include "standin/store_server.h"
#include "tests/connection/scripted_server.h"

namespace basilspring::internal {
namespace {

class CellStoreTest : public testing::Test {
 protected:
  CellStoreTest() : store_(io_, http_, Options()), cell_(store_, CellId("a/1"), Duration(10000)) {}

  StoreOptions Options() const {
    StoreOptions options;
    options.servers = {server_.address()};
    return options;
  }
  void Put(const std::string& record) { store_.Txn({}, {PutKey{kKey, record}}); }
  std::string Record() { return store_.Get(kKey).pairs.at(0).value; }
  ClaimReply Claim(const std::string& job) {
    return cell_.Claim(
        {JobId(job), AttemptId(job + "#7.1"), WorkspaceId("quotes"), RequestKey("k")});
  }

  static constexpr const char* kKey = "/basilspring/requests/quotes/k";
  standin::StoreServer server_{{"127.0.0.1", 0}};
  IoThread io_;
  HttpClient http_{io_};
  StoreClient store_;
  CellStore cell_;
};

// Guards against a second attempt that claims an already claimed request.
TEST_F(CellStoreTest, OnlyOneClaimSucceeds) {
  Put("open j1 a/1");
  EXPECT_EQ(Claim("j1").outcome, StoreOutcome::kDone);
  EXPECT_EQ(Record(), "claimed j1#7.1 j1 a/1");
  EXPECT_EQ(Claim("j1").outcome, StoreOutcome::kDone);
  const ClaimReply other =
      cell_.Claim({JobId("j1"), AttemptId("j1#8.1"), WorkspaceId("quotes"), RequestKey("k")});
  EXPECT_EQ(other.outcome, StoreOutcome::kRefused);
  EXPECT_FALSE(other.fenced);
}

// Guards against running a job that was refused as "not run", after its request key was used for
// another job or the job was submitted to another cell.
TEST_F(CellStoreTest, AClaimNeedsTheRecordOfThisJobInThisCell) {
  for (const char* record : {"open j2 a/1", "open j1 a/2", "fenced j1 a/1"}) {
    Put(record);
    const ClaimReply reply = Claim("j1");
    EXPECT_EQ(reply.outcome, StoreOutcome::kRefused) << record;
    EXPECT_TRUE(reply.fenced) << record;
    EXPECT_EQ(Record(), record);
  }
}

// Guards against the answer "not run" for a claimed request.
TEST_F(CellStoreTest, AFenceFailsAfterAClaim) {
  const FenceRequest fence{JobId("j1"), WorkspaceId("quotes"), RequestKey("k")};
  Put("claimed j1#7.1 j1 a/1");
  EXPECT_EQ(cell_.Fence(fence).outcome, StoreOutcome::kRefused);
  Put("open j1 a/1");
  EXPECT_EQ(cell_.Fence(fence).outcome, StoreOutcome::kDone);
  EXPECT_EQ(Record(), "fenced j1 a/1");
  EXPECT_EQ(cell_.Fence(fence).outcome, StoreOutcome::kDone);
}

// Guards against accepted jobs that are lost with their scheduler: an empty page was taken for the
// last one although more follow.
TEST_F(CellStoreTest, AnEmptyPageIsNotTheLastOneIfMoreFollow) {
  const std::string body = R"({"header":{"revision":"5"},"more":true})";
  const ScriptedServer server(
      {{fmt::format("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{}", body.size(), body)}});
  StoreOptions options;
  options.servers = {server.address()};
  StoreClient store(io_, http_, options);
  EXPECT_THROW(CellStore(store, CellId("a/1"), Duration(10000)).List(), Error);
}

}  // namespace
}  // namespace basilspring::internal
