#ifndef BASILSPRING_ERROR_H_
#define BASILSPRING_ERROR_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace basilspring {

/// The closed list of what can go wrong. The numbers travel between processes: append, never
/// renumber.
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
  kKeyUnverified,
  kUnauthorized,
  kJobUnknown,
  kNoConfiguration,
  kCount,
};

/// What an error says about whether the job has run.
enum class RunOutcome : std::uint8_t {
  /// No task of the job has started, and none will.
  kNotRun,
  /// Tasks of the job have run.
  kRan,
  /// Tasks of the job may have run or may be running.
  kUnknown,
  /// The error is not about a job.
  kNotApplicable,
};

/// One row of the table from error kind to answer.
struct ErrorRow {
  ErrorKind kind;
  /// Stable name in JSON answers and logs.
  std::string_view name;
  int http_status;
  RunOutcome outcome;
  /// Whether the same request may succeed later without a change.
  bool retryable;
  /// Exit code of the command line.
  int exit_code;
  std::string_view description;
};

/// The row of a kind. Kinds outside the list, which foreign bytes can carry, give the row of
/// kInternal.
const ErrorRow& ErrorInfo(ErrorKind kind);

/// Name of an outcome in JSON answers: "not run", "ran", "unknown" or "".
std::string_view RunOutcomeName(RunOutcome outcome);

/// The kind with this name, or kInternal when there is none.
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
