#ifndef BASILSPRING_ERROR_H_
#define BASILSPRING_ERROR_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace basilspring {

/// All kinds of errors. The numbers are sent between processes: append new kinds, never renumber.
enum class ErrorKind : std::uint8_t {
  kNone = 0,
  kInvalidArgument,
  kNotFound,
  kConflict,
  kPayloadTooLarge,
  kOverloaded,
  kQuotaExceeded,
  kNeverFits,
  kGuaranteeInfeasible,
  kNoCapacity,
  kDeadlineExceeded,
  kCancelled,
  kCancelledRunning,
  kDataCentreOut,
  kStoreUnavailable,
  kStoreOutcomeUnknown,
  kNoScheduler,
  kShuttingDown,
  kTaskFailed,
  kAttemptsExhausted,
  kOutcomeUnknown,
  kStaleEpoch,
  kPermitExpired,
  kReservationMissing,
  kResourcesTaken,
  kBackendUnavailable,
  kConnectionLost,
  kTimeout,
  kBadFrame,
  kInternal,
  /// It is not known whether an earlier request with the same idempotency key has run.
  kKeyUnverified,
  kUnauthorized,
  /// No job with this id was accepted. Used by fleet/; process/ answers kNotFound.
  kJobUnknown,
  kNoConfiguration,
  kCount,
};

/// Whether the job has run, as far as an error tells.
enum class RunOutcome : std::uint8_t {
  /// No task of the job has started, and none will.
  kNotRun,
  /// Tasks of the job have run.
  kRan,
  /// Tasks of the job may have run or may be running.
  kUnknown,
  /// The error does not tell whether a job has run, or is not about a job.
  kNotApplicable,
};

/// One row of the table that maps error kinds to answers.
struct ErrorRow {
  ErrorKind kind;
  /// Name in JSON answers and logs, which never changes.
  std::string_view name;
  int http_status;
  RunOutcome outcome;
  /// Whether the same request may succeed later without a change.
  bool retryable;
  /// Exit code of the command-line tools.
  int exit_code;
  std::string_view description;
};

/// The row of a kind. Unknown values, which a received message can contain, yield the row of
/// kInternal.
const ErrorRow& ErrorInfo(ErrorKind kind);

/// Name of an outcome in JSON answers: "not run", "ran", "unknown" or "".
std::string_view RunOutcomeName(RunOutcome outcome);

/// The kind with this name, or kInternal if there is none.
ErrorKind ErrorKindFromName(std::string_view name);

/// The only exception type that crosses a module boundary.
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& message) : std::runtime_error(message), kind_(kind) {}
  ErrorKind kind() const { return kind_; }

 private:
  ErrorKind kind_;
};

}  // namespace basilspring

#endif  // BASILSPRING_ERROR_H_
