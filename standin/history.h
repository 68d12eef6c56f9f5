#ifndef BASILSPRING_STANDIN_HISTORY_H_
#define BASILSPRING_STANDIN_HISTORY_H_

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilspring::standin {

/// One event: a JSON line of a record, or a log line.
struct HistoryEvent {
  /// CLOCK_BOOTTIME in milliseconds; all processes run on the same host.
  std::int64_t ms = 0;
  /// File name without directory and extension.
  std::string source;
  std::string name;
  boost::json::object fields;
  /// The original line.
  std::string line;

  /// These return the value of the field, or "", 0 or false if it is absent or of another type.
  std::string Text(std::string_view field) const;
  std::int64_t Number(std::string_view field) const;
  bool Flag(std::string_view field) const;
};

/// One execution of a task on a backend server. The pointers refer to events of the History.
struct TaskRun {
  /// "<job>#<epoch>.<number>.<rank>" and its parts.
  std::string task;
  std::string job;
  std::string attempt;
  std::string rank;
  /// Key of the request whose payload the task got. It comes from the recorded output, so that it
  /// doesn't depend on the job id.
  std::string key;
  const HistoryEvent* start = nullptr;
  /// Null if no end is recorded.
  const HistoryEvent* end = nullptr;
};

/// One submission of a request and its result. Sending the same key again is a separate submission.
struct Submission {
  const HistoryEvent* sent = nullptr;
  /// The first "answered", "refused", "lost" or "abandoned" event; null if the record ends before
  /// it.
  const HistoryEvent* result = nullptr;
  /// Returns whether the request was refused with the outcome "not run".
  bool RefusedNotRun() const;
};

/// The records of all processes of one test run, sorted by time and indexed.
class History {
 public:
  /// These add a JSON line of a record, or a log line of a process. Finish must be called after the
  /// last line.
  void AddRecordLine(const std::string& source, const std::string& line);
  void AddLogLine(const std::string& source, const std::string& line);
  /// Adds all lines of a file, which is a log if its name ends in ".log" and a record otherwise.
  /// Throws Error(kNotFound) if it can't be read.
  void AddFile(const std::string& path);
  /// Converts the wall-clock times of the logs to CLOCK_BOOTTIME by means of the operators' "clock"
  /// event, sorts the events, and builds the indexes.
  void Finish();

  const std::vector<HistoryEvent>& events() const { return events_; }
  const std::vector<TaskRun>& runs() const { return runs_; }
  /// Submissions by request key.
  const std::map<std::string, std::vector<Submission>>& requests() const { return requests_; }
  /// Lines that could not be parsed or that contradict other lines, each with its source.
  const std::vector<std::string>& malformed() const { return malformed_; }
  /// Time of the last event, or 0 if there is none.
  std::int64_t end_ms() const { return events_.empty() ? 0 : events_.back().ms; }
  std::vector<const HistoryEvent*> EventsNamed(std::string_view name) const;
  /// Returns the operators' "process" event that describes a process or backend server, or null.
  const HistoryEvent* ProcessDescription(const std::string& source) const;

 private:
  void IndexTasks();
  void IndexRequests();

  std::vector<HistoryEvent> events_;
  /// Log events that Finish has yet to add to `events_`; their times are wall-clock times.
  std::vector<HistoryEvent> logged_;
  std::vector<TaskRun> runs_;
  std::map<std::string, std::vector<Submission>> requests_;
  std::vector<std::string> malformed_;
};

/// The result of checking one rule against a history.
struct Verdict {
  std::string rule;
  /// Number of items that the rule applied to; if zero, the history doesn't exercise the rule.
  std::size_t checked = 0;
  /// The events that violate the rule, each with a reason; empty if the rule holds.
  std::vector<std::string> violations;
  bool holds() const { return violations.empty(); }
};

/// `basilspring-standin check-history FILE...`. Returns 0 if all rules hold, 1 if one is
/// violated, 2 for a usage error.
int RunCheckHistory(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_HISTORY_H_
