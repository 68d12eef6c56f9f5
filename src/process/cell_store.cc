#include "process/cell_store.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "basilspring/connection/frame.h"
#include "basilspring/error.h"
#include "basilspring/process/log.h"
#include "basilspring/request/request_record.h"

namespace basilspring::internal {
namespace {

// A record holds up to 256 KiB, so a page stays under 25 MiB.
constexpr std::size_t kRecordsPerRead = 100;
StoreOutcome OutcomeOf(const Error& error) {
  return error.kind() == ErrorKind::kStoreOutcomeUnknown ? StoreOutcome::kUnknown
                                                         : StoreOutcome::kUnavailable;
}

// Whether the stored record rules out that this job runs in this cell: the record is fenced, or it
// belongs to another job or cell, which is possible only after it was fenced.
bool IsFenced(const std::string& value, const RequestRecord& wanted) {
  try {
    const RequestRecord found = DecodeRequestRecord(value);
    const bool same = found.job == wanted.job && found.cell == wanted.cell;
    return found.state == RequestRecordState::kFenced || !same;
  } catch (const Error&) {
    return false;
  }
}

// Changes the record of this job in this cell from `open` to a new state and returns true, also if
// it has the new state already. Otherwise returns false with the stored record in `found`.
bool MoveFromOpen(StoreClient& store, const std::string& key, const RequestRecord& wanted,
                  std::string* found) {
  const std::string open =
      EncodeRequestRecord({RequestRecordState::kOpen, wanted.job, wanted.cell, ""});
  const std::string value = EncodeRequestRecord(wanted);
  const TxnResult result = store.Txn({ValueIs{key, open}}, {PutKey{key, value}}, {key});
  if (result.succeeded) return true;
  *found = result.found.empty() ? "" : result.found[0].value;
  // An earlier call with the same record took effect.
  return *found == value;
}

}  // namespace

CellStore::CellStore(StoreClient& store, CellId cell, Duration answer_retention)
    : store_(store), cell_(std::move(cell)), answer_retention_(answer_retention) {}

RecordsListed CellStore::List() {
  RecordsListed listed;
  const std::string prefix = JobRecordPrefix(cell_);
  std::string from;
  while (true) {
    const RangeResult page = store_.List(prefix, kRecordsPerRead, from);
    for (const StoreKeyValue& pair : page.pairs) {
      try {
        listed.jobs.push_back(DecodeJobSpec(pair.value));
      } catch (const Error& error) {
        Log(EventId::kInternalError, "record={} cause=\"{}\"", pair.key, error.what());
      }
    }
    if (!page.more) return listed;
    if (page.pairs.empty()) {
      throw Error(ErrorKind::kStoreUnavailable,
                  fmt::format("a page of {} is empty although more follow", prefix));
    }
    from = page.pairs.back().key + '\0';
  }
}

ClaimReply CellStore::Claim(const ClaimRequest& request) {
  ClaimReply reply{request.job, request.attempt};
  const RequestRecord wanted{RequestRecordState::kClaimed, request.job, cell_,
                             request.attempt.value()};
  try {
    std::string found;
    if (MoveFromOpen(store_, RequestRecordKey(request.workspace, request.key), wanted, &found)) {
      return reply;
    }
    reply.outcome = StoreOutcome::kRefused;
    reply.fenced = IsFenced(found, wanted);
  } catch (const Error& error) {
    reply.outcome = OutcomeOf(error);
  }
  return reply;
}

FenceReply CellStore::Fence(const FenceRequest& request) {
  FenceReply reply{request.job};
  const RequestRecord wanted{RequestRecordState::kFenced, request.job, cell_, ""};
  try {
    std::string found;
    if (MoveFromOpen(store_, RequestRecordKey(request.workspace, request.key), wanted, &found)) {
      return reply;
    }
    reply.outcome = IsFenced(found, wanted) ? StoreOutcome::kDone : StoreOutcome::kRefused;
  } catch (const Error& error) {
    reply.outcome = OutcomeOf(error);
  }
  return reply;
}

std::int64_t CellStore::AnswerLease() {
  // All answers of a quarter of the retention time share one lease, which saves a call per answer.
  // The lease lasts long enough for the last of them.
  const TimePoint now = Clock::Now();
  if (answer_lease_ == 0 || now >= answer_lease_until_) {
    answer_lease_ = store_.GrantLease(answer_retention_ * 5 / 4);
    answer_lease_until_ = now + answer_retention_ / 4;
  }
  return answer_lease_;
}

ResultReply CellStore::Write(const ResultWrite& write) {
  ResultReply reply;
  reply.job = write.job;
  const std::string answer = AnswerKey(write.job);
  const std::string record = JobRecordKey(cell_, write.job);
  try {
    std::vector<StoreWrite> writes = {PutKey{answer, EncodeJobResult(write.result), AnswerLease()},
                                      DeleteKey{record}};
    if (!write.claimed.empty()) {
      // Only the attempt that holds the claim updates the request record.
      const RequestRecord done{RequestRecordState::kDone, write.job, cell_, write.claimed.value()};
      writes.emplace_back(
          PutKey{RequestRecordKey(write.workspace, write.key), EncodeRequestRecord(done)});
    }
    const TxnResult result = store_.Txn({KeyAbsent{answer}}, writes, {answer});
    if (result.succeeded) return reply;
    reply.outcome = StoreOutcome::kRefused;
    if (!result.found.empty()) reply.stored = DecodeJobResult(result.found[0].value);
    store_.Txn({}, {DeleteKey{record}});
  } catch (const Error& error) {
    // The write also fails if the store has lost the lease, so the next try uses a new one.
    answer_lease_ = 0;
    reply.outcome = OutcomeOf(error);
  }
  return reply;
}

}  // namespace basilspring::internal
