#include "process/cell_store.h"

#include <optional>
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

// Moves a record from `open` to another state. Returns the record as it stands afterwards; nothing
// when it is absent or can't be read.
std::optional<RequestRecord> MoveFromOpen(StoreClient& store, const std::string& key,
                                          const RequestRecord& wanted) {
  const RequestRecord open{RequestRecordState::kOpen, wanted.job, wanted.cell};
  const TxnResult result = store.Txn({ValueIs{key, EncodeRequestRecord(open)}},
                                     {PutKey{key, EncodeRequestRecord(wanted)}}, {key});
  if (result.succeeded) return wanted;
  if (result.found.empty()) return std::nullopt;
  try {
    return DecodeRequestRecord(result.found[0].value);
  } catch (const Error& error) {
    Log(EventId::kInternalError, "key={} cause=\"{}\"", key, error.what());
    return std::nullopt;
  }
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
    if (!page.more || page.pairs.empty()) return listed;
    from = page.pairs.back().key + '\0';
  }
}

ClaimReply CellStore::Claim(const ClaimRequest& request) {
  ClaimReply reply{request.job, request.attempt};
  try {
    const RequestRecord wanted{RequestRecordState::kClaimed, request.job, cell_,
                               request.attempt.value()};
    const std::optional<RequestRecord> record =
        MoveFromOpen(store_, RequestRecordKey(request.workspace, request.key), wanted);
    // The same claim may have been made by an earlier call whose answer was lost.
    reply.outcome = record == wanted ? StoreOutcome::kDone : StoreOutcome::kRefused;
    reply.fenced = record && record->state == RequestRecordState::kFenced;
  } catch (const Error& error) {
    reply.outcome = OutcomeOf(error);
  }
  return reply;
}

FenceReply CellStore::Fence(const FenceRequest& request) {
  FenceReply reply{request.job};
  try {
    const RequestRecord wanted{RequestRecordState::kFenced, request.job, cell_};
    const std::optional<RequestRecord> record =
        MoveFromOpen(store_, RequestRecordKey(request.workspace, request.key), wanted);
    reply.outcome = record == wanted ? StoreOutcome::kDone : StoreOutcome::kRefused;
  } catch (const Error& error) {
    reply.outcome = OutcomeOf(error);
  }
  return reply;
}

std::int64_t CellStore::AnswerLease() {
  // One lease serves all answers of a quarter of the retention time, which saves a call for each
  // answer; it lasts long enough for the last of them.
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
      // Only the holder of a claim writes its record.
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
    // A lease that the store has lost fails the write; the next try takes a new one.
    answer_lease_ = 0;
    reply.outcome = OutcomeOf(error);
  }
  return reply;
}

}  // namespace basilspring::internal
