#ifndef BASILSPRING_CONNECTION_JOB_MESSAGES_H_
#define BASILSPRING_CONNECTION_JOB_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"

/// Messages between entries and cell schedulers about one job.
namespace basilspring {

/// Submits a job from an entry to a cell scheduler. Idempotent: the scheduler recognises the job
/// id, and the entry that sent the message last gets the result.
struct SubmitJob {
  JobSpec spec;
  BASILSPRING_SERIALIZE(spec)
};

struct CancelJob {
  JobId job;
  BASILSPRING_SERIALIZE(job)
};

/// Asks for the state of a job and for the reasons of its last placement decision.
struct QueryJob {
  JobId job;
  std::uint64_t query = 0;
  BASILSPRING_SERIALIZE(job, query)
};

struct JobAccepted {
  JobId job;
  JobState state = JobState::kQueued;
  BASILSPRING_SERIALIZE(job, state)
};

struct JobProgress {
  JobId job;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  BASILSPRING_SERIALIZE(job, state, attempts)
};

/// Final result of a job: answer, refusal or failure. Sent repeatedly until the entry has received
/// it.
struct JobFinished {
  JobId job;
  JobResult result;
  std::uint32_t attempts = 0;
  BASILSPRING_SERIALIZE(job, result, attempts)
};

/// Answer to QueryJob.
struct JobReport {
  JobId job;
  std::uint64_t query = 0;
  bool known = false;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  std::vector<WorkerId> workers;
  /// One line for each candidate, saying why the job was or was not placed there.
  std::vector<std::string> reasons;
  BASILSPRING_SERIALIZE(job, query, known, state, attempts, workers, reasons)
};

/// Returns a queued idempotent job to its entry, which places it elsewhere. Sent if the data centre
/// is out of service or the job was preempted too often; the scheduler has removed the job.
struct JobReturned {
  JobId job;
  std::uint32_t attempts = 0;
  /// Whether a task of the job has run or may have run; a later refusal must then not say "not
  /// run".
  bool ran = false;
  BASILSPRING_SERIALIZE(job, attempts, ran)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_JOB_MESSAGES_H_
