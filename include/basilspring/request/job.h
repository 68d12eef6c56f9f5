#ifndef BASILSPRING_REQUEST_JOB_H_
#define BASILSPRING_REQUEST_JOB_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/error.h"
#include "basilspring/ids.h"
#include "basilspring/units.h"

namespace basilspring {

inline constexpr std::uint32_t kMaxGangTasks = 64;
/// Limit on a job's payload in bytes. The payload encoded in base64 stays below the store's limit
/// of one megabyte per value.
inline constexpr std::size_t kMaxPayloadBytes = 256 * 1024;
/// Limit on a job's answer in bytes, all tasks together.
inline constexpr std::size_t kMaxAnswerBytes = 512 * 1024;

/// Class of a job, in order of precedence: urgent jobs are placed before batch jobs, and batch jobs
/// before background jobs.
enum class JobClass : std::uint8_t { kUrgent = 0, kBatch = 1, kBackground = 2 };
inline constexpr std::size_t kJobClassCount = 3;

std::string_view JobClassName(JobClass job_class);
/// Throws Error(kInvalidArgument) if no class has this name.
JobClass JobClassFromName(std::string_view name);

/// Resources that a job requires: `tasks` tasks, each with these resources on one worker.
struct GangShape {
  std::uint32_t tasks = 1;
  Cores cores{1};
  Megabytes memory{256};
  Accelerators accelerators{0};
  /// Whether the accelerators of one task must form an aligned run, so that they are adjacent.
  bool adjacent = false;

  auto operator<=>(const GangShape&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tasks, cores, memory, accelerators, adjacent);
  }
};

/// A job as its caller described it. Built with JobSpecBuilder.
struct JobSpec {
  JobId id;
  WorkspaceId workspace;
  RequestKey request_key;
  JobClass job_class = JobClass::kBatch;
  GangShape shape;
  /// The caller's estimate of the run time, which is often far off.
  Duration declared_run_time;
  /// Time until the caller no longer needs the answer, relative to the sending of the message; zero
  /// means no deadline.
  Duration deadline;
  bool idempotent = true;
  /// Whether the job has a record in the store and so survives the entry that accepted it.
  bool durable = false;
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, workspace, request_key, job_class, shape, declared_run_time, deadline, idempotent,
            durable, payload);
  }
};

/// Builds a JobSpec and validates all of its fields together.
class JobSpecBuilder {
 public:
  JobSpecBuilder& Id(JobId id);
  JobSpecBuilder& Workspace(WorkspaceId workspace);
  JobSpecBuilder& Key(RequestKey key);
  JobSpecBuilder& Class(JobClass job_class);
  JobSpecBuilder& Shape(const GangShape& shape);
  JobSpecBuilder& DeclaredRunTime(Duration run_time);
  JobSpecBuilder& Deadline(Duration remaining);
  JobSpecBuilder& Idempotent(bool idempotent);
  JobSpecBuilder& Payload(std::string payload);

  /// Throws Error(kInvalidArgument) or Error(kPayloadTooLarge) with the field, its value and what
  /// is allowed. Sets `durable`: all jobs except urgent idempotent ones are durable.
  JobSpec Build() const;

 private:
  JobSpec spec_;
};

/// The output of a job: one string per task, in rank order.
struct Answer {
  std::vector<std::string> outputs;
  /// XXH64 over the lengths and bytes of the outputs, in rank order.
  std::uint64_t checksum = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outputs, checksum);
  }
};

/// Returns an answer with these outputs and their checksum.
Answer MakeAnswer(std::vector<std::string> outputs);
/// Whether the checksum of the answer matches its outputs.
bool HasValidChecksum(const Answer& answer);

enum class JobState : std::uint8_t {
  kQueued = 0,
  kPreparing,
  kRunning,
  kStopping,
  kDone,
  kFailed,
  kCancelled,
  kUnknown,
};
std::string_view JobStateName(JobState state);

/// The result of a job: an answer, or an error kind with its text.
struct JobResult {
  ErrorKind error = ErrorKind::kNone;
  std::string message;
  Answer answer;
  /// Delay after which the caller may retry; zero if the error is not retryable.
  Duration retry_after;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(error, message, answer, retry_after);
  }
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_JOB_H_
