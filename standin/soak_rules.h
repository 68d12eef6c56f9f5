#ifndef BASILSPRING_STANDIN_SOAK_RULES_H_
#define BASILSPRING_STANDIN_SOAK_RULES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilspring::standin {

/// A run as its backend server observed it. All records of a soak use the same clock.
struct SoakRun {
  std::string job;
  /// "<job>.<occurrence>.<step>.<index>".
  std::string task;
  std::int64_t run = 0;
  std::string worker;
  std::string zone;
  std::int64_t started_ms = 0;
  /// "done", "stopped", "lapsed" or "crashed"; empty while the run is in progress.
  std::string end;
  std::int64_t ended_ms = 0;
  /// When the end was acknowledged to the backend server; std::nullopt if it wasn't.
  std::optional<std::int64_t> acknowledged_ms;
  /// Whether the lease of the backend server lapsed between the end and its acknowledgement.
  bool lapsed_before_acknowledgement = false;
};

/// One answer to a query for the phase of a job.
struct SoakPhaseAnswer {
  std::int64_t asked_ms = 0;
  std::int64_t answered_ms = 0;
  /// The phase; the HTTP status if it isn't 200; "unreadable" if a 200 answer has no phase; "no
  /// answer" if the last query of a soak got none in time.
  std::string phase;
};

/// A job as its caller observed it.
struct SoakJob {
  std::string id;
  int tasks = 1;
  bool gang = false;
  /// HTTP status of each attempt to submit the job; 0 for an attempt without an answer.
  std::vector<int> submit_statuses;
  /// When an attempt was first answered with a 2xx status; std::nullopt if none was.
  std::optional<std::int64_t> accepted_ms;
  std::vector<SoakPhaseAnswer> phase_answers;
  /// When the cancellation was first sent, and when it was acknowledged; std::nullopt if it wasn't.
  std::optional<std::int64_t> cancel_sent_ms;
  std::optional<std::int64_t> cancelled_ms;

  /// Returns whether an attempt to submit the job was answered with a 2xx status.
  bool accepted() const;
  /// Returns whether all attempts were answered with a status that guarantees that the job never
  /// runs.
  bool refused() const;
};

/// A period during which operators kept a data centre out of service.
struct SoakEvacuation {
  std::string zone;
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = 0;
};

/// A request of a caller whose connection broke before the complete answer arrived.
struct SoakBrokenCall {
  std::string entry;
  std::int64_t sent_ms = 0;
  std::int64_t broken_ms = 0;
};

/// A graceful stop of an entry while there are no faults but those of the store.
struct SoakGracefulStop {
  std::string entry;
  std::int64_t signalled_ms = 0;
  std::int64_t ended_ms = 0;
};

/// A reload signal to an entry, with no faults but those of the store until `calm_until_ms`.
struct SoakReload {
  std::string entry;
  std::int64_t signalled_ms = 0;
  std::int64_t calm_until_ms = 0;
};

/// The observations of one soak.
struct SoakRecord {
  std::vector<SoakRun> runs;
  std::map<std::string, SoakJob> jobs;
  std::vector<SoakEvacuation> evacuations;
  std::vector<SoakBrokenCall> broken_calls;
  std::vector<SoakGracefulStop> stops;
  std::vector<SoakReload> reloads;
  /// Violations that the soak itself detected, such as a process that exited unexpectedly.
  std::vector<std::string> events;
  /// The number of tasks that the backend servers can run at the same time.
  int capacity = 0;
  /// When the traffic and all faults had ended.
  std::int64_t quiet_from_ms = 0;
  /// When all faults had ended and the callers had their last answers.
  std::int64_t settled_ms = 0;
};

/// Number of checked items by kind, and a sentence for each violation.
struct SoakVerdict {
  std::map<std::string, int> checked;
  std::vector<std::string> violations;
};

/// Checks the guarantees against the observations of callers, operators and backend servers. The
/// result depends on the record only.
SoakVerdict CheckSoakRecord(const SoakRecord& record);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_SOAK_RULES_H_
