#include "basilspring/error.h"

#include <array>
#include <cstddef>

namespace basilspring {
namespace {

using enum ErrorKind;
using enum RunOutcome;

constexpr std::size_t kRowCount = static_cast<std::size_t>(kCount);

// Columns: kind, name, HTTP status, outcome, retryable, exit code, description. A kind may have the
// outcome kNotRun only if all code that raises it has first made a later start impossible.
constexpr std::array<ErrorRow, kRowCount> kRows = {{
    {kNone, "none", 200, kNotApplicable, false, 0, "no error"},
    {kInvalidArgument, "invalid_argument", 400, kNotRun, false, 2, "the request is malformed"},
    {kNotFound, "not_found", 404, kNotApplicable, false, 1, "the object does not exist"},
    {kConflict, "conflict", 409, kNotRun, true, 1, "another change was made first"},
    {kPayloadTooLarge, "payload_too_large", 413, kNotRun, false, 1,
     "the payload exceeds the limit"},
    {kOverloaded, "overloaded", 429, kNotRun, true, 1, "a queue is full"},
    {kQuotaExceeded, "quota_exceeded", 429, kNotRun, true, 1, "the workspace's quota is used up"},
    {kNeverFits, "never_fits", 422, kNotRun, false, 1, "no worker can ever hold the job"},
    {kGuaranteeInfeasible, "guarantee_infeasible", 422, kNotApplicable, false, 1,
     "the guarantees don't fit together"},
    {kNoCapacity, "no_capacity", 503, kNotRun, true, 1, "no capacity became free in time"},
    {kDeadlineExceeded, "deadline_exceeded", 504, kNotRun, true, 1,
     "the deadline passed before the job started"},
    {kCancelled, "cancelled", 409, kNotRun, false, 1, "the job was cancelled before it started"},
    {kCancelledRunning, "cancelled_running", 409, kRan, false, 1,
     "the job was cancelled while it ran"},
    {kDataCentreOut, "data_centre_out", 503, kNotRun, true, 1, "the data centre is out of service"},
    {kStoreUnavailable, "store_unavailable", 503, kNotRun, true, 1,
     "the key-value store does not answer"},
    {kStoreOutcomeUnknown, "store_outcome_unknown", 504, kUnknown, false, 4,
     "the store did not say whether the write took effect"},
    {kNoScheduler, "no_scheduler", 503, kNotRun, true, 1, "no cell scheduler is reachable"},
    {kShuttingDown, "shutting_down", 503, kNotRun, true, 1, "the process is stopping"},
    {kTaskFailed, "task_failed", 502, kRan, false, 1, "a task of the job failed"},
    {kAttemptsExhausted, "attempts_exhausted", 502, kRan, false, 1,
     "the job failed on every allowed attempt"},
    {kOutcomeUnknown, "outcome_unknown", 504, kUnknown, false, 4,
     "the job was started and its outcome is lost"},
    {kStaleEpoch, "stale_epoch", 409, kNotApplicable, true, 1,
     "the command came from a deposed scheduler"},
    {kPermitExpired, "permit_expired", 503, kNotApplicable, true, 1,
     "the permit to start tasks has expired"},
    {kReservationMissing, "reservation_missing", 409, kNotApplicable, true, 1,
     "the agent holds no reservation for the attempt"},
    {kResourcesTaken, "resources_taken", 409, kNotApplicable, true, 1,
     "the worker's resources are in use"},
    {kBackendUnavailable, "backend_unavailable", 503, kNotApplicable, true, 1,
     "the backend server does not answer"},
    {kConnectionLost, "connection_lost", 503, kUnknown, true, 3, "the connection was lost"},
    {kTimeout, "timeout", 504, kUnknown, true, 3, "no answer came in time"},
    {kBadFrame, "bad_frame", 400, kNotApplicable, false, 1, "the bytes are not a valid message"},
    {kInternal, "internal", 500, kUnknown, false, 4, "internal error"},
    {kKeyUnverified, "key_unverified", 503, kUnknown, true, 4,
     "it is not known whether an earlier request with this key has run; repeat with the same key"},
    {kUnauthorized, "unauthorized", 401, kNotRun, false, 1, "no workspace has this key"},
    {kJobUnknown, "job_unknown", 410, kNotApplicable, false, 1, "no such job was accepted"},
    {kNoConfiguration, "no_configuration", 503, kNotRun, true, 1,
     "the operators' configuration has not been read yet"},
}};

constexpr bool RowsMatchTheirKinds() {
  for (std::size_t i = 0; i < kRowCount; ++i) {
    if (static_cast<std::size_t>(kRows[i].kind) != i) return false;
    if (kRows[i].name.empty() || kRows[i].description.empty()) return false;
  }
  return true;
}
static_assert(RowsMatchTheirKinds(),
              "each error kind needs its row, in the order of the enumeration");

}  // namespace

const ErrorRow& ErrorInfo(ErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return index < kRowCount ? kRows[index] : kRows[static_cast<std::size_t>(kInternal)];
}

std::string_view RunOutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case kNotRun:
      return "not run";
    case kRan:
      return "ran";
    case kUnknown:
      return "unknown";
    case kNotApplicable:
      return "";
  }
  return "";
}

ErrorKind ErrorKindFromName(std::string_view name) {
  for (const ErrorRow& row : kRows) {
    if (row.name == name) return row.kind;
  }
  return kInternal;
}

}  // namespace basilspring
