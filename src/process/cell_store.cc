#include "process/cell_store.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

#include "basilspring/connection/frame.h"
#include "basilspring/error.h"
#include "basilspring/process/log.h"

namespace basilspring::internal {
namespace {

// A record holds up to 256 KiB, so a page stays under 25 MiB.
constexpr std::size_t kRecordsPerRead = 100;
constexpr std::string_view kOpen = "open";
constexpr std::string_view kClaimed = "claimed";
constexpr std::string_view kFenced = "fenced";

std::string RequestKeyOf(const WorkspaceId& workspace, const RequestKey& key) {
  return fmt::format("/basilspring/requests/{}/{}", workspace.value(), key.value());
}

// A request record is "<state> <job> <cell>", followed by the token once it is claimed.
std::string_view StateOf(std::string_view record) { return record.substr(0, record.find(' ')); }

std::string WithState(std::string_view record, std::string_view state) {
  return std::string(state) + std::string(record.substr(StateOf(record).size()));
}

StoreOutcome OutcomeOf(const Error& error) {
  return error.kind() == ErrorKind::kStoreOutcomeUnknown ? StoreOutcome::kUnknown
                                                         : StoreOutcome::kUnavailable;
}

std::string WithToken(const std::string& record, const std::string& token) {
  return token.empty() ? record : record + " " + token;
}

// Moves a record from `open` to a new state and appends the token, if any. The record as it stands
// afterwards, or before when it wasn't open, is left in `found`.
bool MoveFromOpen(StoreClient& store, const std::string& key, std::string_view state,
                  const std::string& token, std::string* found) {
  std::string expected(kOpen);
  // The first try needs no read when the record holds nothing but its state.
  for (int tries = 0; tries < 2; ++tries) {
    const std::string wanted = WithToken(WithState(expected, state), token);
    const TxnResult result = store.Txn({ValueIs{key, expected}}, {PutKey{key, wanted}}, {key});
    if (result.succeeded) {
      *found = wanted;
      return true;
    }
    *found = result.found.empty() ? "" : result.found[0].value;
    // An earlier attempt of the same call took effect.
    if (*found == wanted) return true;
    if (!token.empty() && StateOf(*found) == state && found->ends_with(" " + token)) return true;
    if (StateOf(*found) != kOpen) return false;
    expected = *found;
  }
  return false;
}

}  // namespace

CellStore::CellStore(StoreClient& store, CellId cell, Duration answer_retention)
    : store_(store), cell_(std::move(cell)), answer_retention_(answer_retention) {}

RecordsListed CellStore::List() {
  RecordsListed listed;
  const std::string prefix = fmt::format("/basilspring/jobs/{}/", cell_.value());
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
    std::string record;
    const bool claimed = MoveFromOpen(store_, RequestKeyOf(request.workspace, request.key),
                                      kClaimed, request.attempt.value(), &record);
    reply.outcome = claimed ? StoreOutcome::kDone : StoreOutcome::kRefused;
    reply.fenced = StateOf(record) == kFenced;
  } catch (const Error& error) {
    reply.outcome = OutcomeOf(error);
  }
  return reply;
}

FenceReply CellStore::Fence(const FenceRequest& request) {
  FenceReply reply{request.job};
  try {
    std::string record;
    const bool moved =
        MoveFromOpen(store_, RequestKeyOf(request.workspace, request.key), kFenced, "", &record);
    const bool fenced = moved || StateOf(record) == kFenced;
    reply.outcome = fenced ? StoreOutcome::kDone : StoreOutcome::kRefused;
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
  const std::string answer = fmt::format("/basilspring/answers/{}", write.job.value());
  const std::string record =
      fmt::format("/basilspring/jobs/{}/{}", cell_.value(), write.job.value());
  try {
    const TxnResult result = store_.Txn(
        {KeyAbsent{answer}},
        {PutKey{answer, EncodeJobResult(write.result), AnswerLease()}, DeleteKey{record}},
        {answer});
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
