#ifndef BASILSPRING_STANDIN_SOAK_RULES_H_
#define BASILSPRING_STANDIN_SOAK_RULES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilspring::standin {

/// A run as its backend server saw it. Times are milliseconds of one clock for all records.
struct SoakRun {
  std::string job;
  /// Job, occurrence, step and index.
  std::string task;
  std::int64_t run = 0;
  std::string worker;
  std::string zone;
  std::int64_t begun_ms = 0;
  /// Empty while the run works.
  std::string end;
  std::int64_t ended_ms = 0;
  /// When the end was acknowledged to the backend server.
  std::optional<std::int64_t> acknowledged_ms;
};

/// One answer to a question about a job's phase.
struct SoakLook {
  std::int64_t asked_ms = 0;
  std::int64_t answered_ms = 0;
  /// The phase, or the HTTP status where no phase came.
  std::string phase;
};

/// A job as its caller saw it.
struct SoakJob {
  std::string id;
  int tasks = 1;
  bool gang = false;
  /// HTTP statuses of all attempts to submit it; 0 for an attempt without an answer.
  std::vector<int> submits;
  std::vector<SoakLook> looks;
  /// When its cancellation was first tried and first acknowledged.
  std::optional<std::int64_t> cancel_sent_ms;
  std::optional<std::int64_t> cancelled_ms;

  bool accepted() const;
  /// All attempts were answered with a status that promises that the job never runs.
  bool refused() const;
};

/// A time during which operators kept a data centre out of service.
struct SoakEvacuation {
  std::string zone;
  std::int64_t begun_ms = 0;
  std::int64_t ended_ms = 0;
};

/// A request of a caller whose connection broke before the whole answer had arrived.
struct SoakBrokenCall {
  std::string entry;
  std::int64_t sent_ms = 0;
  std::int64_t broken_ms = 0;
};

/// A graceful stop of an entry with no other fault on it.
struct SoakGracefulStop {
  std::string entry;
  std::int64_t signalled_ms = 0;
  std::int64_t ended_ms = 0;
};

struct SoakRecord {
  std::vector<SoakRun> runs;
  std::map<std::string, SoakJob> jobs;
  std::vector<SoakEvacuation> evacuations;
  std::vector<SoakBrokenCall> broken_calls;
  std::vector<SoakGracefulStop> stops;
  /// What was noticed outside of the records, such as a process that ended by itself.
  std::vector<std::string> events;
  /// Faults were over and callers had their last answers.
  std::int64_t settled_ms = 0;
};

/// What the rules looked at, and each promise that was broken, in a sentence.
struct SoakVerdict {
  std::map<std::string, int> checked;
  std::vector<std::string> broken;
};

/// Judges a record of callers, operators and backend servers. Pure; knows nothing of the faults
/// beyond the record.
SoakVerdict JudgeSoak(const SoakRecord& record);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_SOAK_RULES_H_
