#ifndef BASILSPRING_CONNECTION_JOB_MESSAGES_H_
#define BASILSPRING_CONNECTION_JOB_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"

/// Between entry and cell scheduler about one job.
namespace basilspring {

/// An entry hands a job to a cell scheduler. Repeating it is harmless: the scheduler knows the job
/// id, and the entry that sent it last gets the result.
struct SubmitJob {
  JobSpec spec;
  BASILSPRING_SERIALIZE(spec)
};

struct CancelJob {
  JobId job;
  BASILSPRING_SERIALIZE(job)
};

/// Asks for the state of a job and, with explain, for the reasons of its last placement decision.
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

/// The end of a job: answer, refusal or failure. Sent until the entry has received it.
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
  /// One line for each candidate: why the job did or did not go there.
  std::vector<std::string> reasons;
  BASILSPRING_SERIALIZE(job, query, known, state, attempts, workers, reasons)
};

/// A cell scheduler whose data centre is out of service gives a queued idempotent job back to its
/// entry, which places it elsewhere. The scheduler has forgotten the job.
struct JobReturned {
  JobId job;
  std::uint32_t attempts = 0;
  /// Whether a task of the job has or may have run, so that a later refusal must not say "not run".
  bool ran = false;
  BASILSPRING_SERIALIZE(job, attempts, ran)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_JOB_MESSAGES_H_
