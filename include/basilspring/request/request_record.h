#ifndef BASILSPRING_REQUEST_REQUEST_RECORD_H_
#define BASILSPRING_REQUEST_REQUEST_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "basilspring/ids.h"

namespace basilspring {

/// Store key of the record of a job.
std::string JobRecordKey(const CellId& cell, const JobId& job);
/// Prefix of all job records of a cell.
std::string JobRecordPrefix(const CellId& cell);
/// Store key of the record of a request.
std::string RequestRecordKey(const WorkspaceId& workspace, const RequestKey& key);
/// Store key of the answer of a job.
std::string AnswerKey(const JobId& job);

enum class RequestRecordState : std::uint8_t {
  /// An entry has accepted the request; no attempt has been claimed.
  kOpen,
  /// A cell scheduler has claimed the only attempt; the job may run.
  kClaimed,
  /// The request was refused as "not run"; no attempt can be claimed any more.
  kFenced,
  /// The job has ended and its answer is in the store.
  kDone,
};

/// Value of the store record of a non-idempotent request. The state changes only by
/// compare-and-swap on the whole value. The value contains the job and the cell, so that a claim
/// for an earlier job with the same key, or by a cell that the job was moved away from, fails.
struct RequestRecord {
  RequestRecordState state = RequestRecordState::kOpen;
  JobId job;
  CellId cell;
  /// The claimed attempt; empty in the states kOpen and kFenced.
  std::string token;

  auto operator<=>(const RequestRecord&) const = default;
};

/// Returns "open <job> <cell>", "claimed <token> <job> <cell>", "fenced <job> <cell>" or
/// "done <token> <job> <cell>".
std::string EncodeRequestRecord(const RequestRecord& record);
/// Throws Error(kBadFrame) if the value is not a request record.
RequestRecord DecodeRequestRecord(std::string_view value);

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_REQUEST_RECORD_H_
