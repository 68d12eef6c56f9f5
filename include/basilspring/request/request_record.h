#ifndef BASILSPRING_REQUEST_REQUEST_RECORD_H_
#define BASILSPRING_REQUEST_REQUEST_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "basilspring/ids.h"

namespace basilspring {

/// Keys of the store that hold jobs and requests.
std::string JobRecordKey(const CellId& cell, const JobId& job);
/// Prefix of all job records of a cell.
std::string JobRecordPrefix(const CellId& cell);
std::string RequestRecordKey(const WorkspaceId& workspace, const RequestKey& key);
std::string AnswerKey(const JobId& job);

enum class RequestRecordState : std::uint8_t {
  /// Accepted by an entry; no attempt has been claimed.
  kOpen,
  /// A cell scheduler has claimed the one attempt; the job may run.
  kClaimed,
  /// Refused as "not run"; no attempt can be claimed any more.
  kFenced,
  /// The job has ended and its answer was written.
  kDone,
};

/// Value of the request record of a non-idempotent request. The state changes only by
/// compare-and-swap on the whole value. Because the value holds the job and the cell, a claim of an
/// earlier job with the same key, or in a cell from which the job was moved, fails.
struct RequestRecord {
  RequestRecordState state = RequestRecordState::kOpen;
  JobId job;
  CellId cell;
  /// The claimed attempt; empty in the states open and fenced.
  std::string token;

  auto operator<=>(const RequestRecord&) const = default;
};

/// "open <job> <cell>", "claimed <token> <job> <cell>", "fenced <job> <cell>" or "done <token>
/// <job> <cell>".
std::string EncodeRequestRecord(const RequestRecord& record);
/// Throws Error(kBadFrame) when the value is no request record.
RequestRecord DecodeRequestRecord(std::string_view value);

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_REQUEST_RECORD_H_
