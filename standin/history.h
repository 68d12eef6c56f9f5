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

/// One line of a record or log.
struct HistoryEvent {
  /// CLOCK_BOOTTIME of the host that all processes share.
  std::int64_t ms = 0;
  /// File name without folder and extension.
  std::string source;
  std::string name;
  boost::json::object fields;
  std::string line;

  /// The field, or "", 0 or false when it is absent or of another type.
  std::string Text(std::string_view field) const;
  std::int64_t Number(std::string_view field) const;
  bool Flag(std::string_view field) const;
};

/// What ran on a backend server under one task id. Pointers lead into the history.
struct TaskRun {
  /// "<job>#<epoch>.<number>.<rank>" and its parts.
  std::string task;
  std::string job;
  std::string attempt;
  std::string rank;
  /// Key of the request whose payload the task got; from the output text, not from the job id.
  std::string key;
  const HistoryEvent* start = nullptr;
  const HistoryEvent* end = nullptr;
};

/// One sending of a request and what came of it; a repeat with the same key is a further one.
struct Submission {
  const HistoryEvent* sent = nullptr;
  /// Answered, refused, lost or cancelled; null when the record ends before.
  const HistoryEvent* result = nullptr;
  /// Whether the result says "not run".
  bool RefusedNotRun() const;
};

/// All records of one run in order of time, with an index over them.
class History {
 public:
  /// Adds a JSON line of a record, or a log line of a process. Call Finish after the last one.
  void AddRecordLine(const std::string& source, const std::string& line);
  void AddLogLine(const std::string& source, const std::string& line);
  /// Adds a file; names that end in ".log" are logs. Throws Error(kNotFound).
  void AddFile(const std::string& path);
  /// Sorts the events, brings the times of the logs to the monotonic clock with the operators'
  /// "clock" line, and builds the index.
  void Finish();

  const std::vector<HistoryEvent>& events() const { return events_; }
  const std::vector<TaskRun>& runs() const { return runs_; }
  /// By request key.
  const std::map<std::string, std::vector<Submission>>& requests() const { return requests_; }
  /// Lines that could not be read.
  const std::vector<std::string>& malformed() const { return malformed_; }
  std::int64_t end_ms() const { return events_.empty() ? 0 : events_.back().ms; }
  std::vector<const HistoryEvent*> Named(std::string_view name) const;
  /// The operators' line that describes a process or backend server, or null.
  const HistoryEvent* Process(const std::string& source) const;

 private:
  void IndexTasks();
  void IndexRequests();

  std::vector<HistoryEvent> events_;
  /// Log events, whose time is still that of the wall clock.
  std::vector<HistoryEvent> logged_;
  std::vector<TaskRun> runs_;
  std::map<std::string, std::vector<Submission>> requests_;
  std::vector<std::string> malformed_;
};

/// What one rule says about a history.
struct Verdict {
  std::string rule;
  /// Number of things that the rule looked at; zero means that the rule says nothing.
  std::size_t checked = 0;
  /// The lines that break the rule, each with a reason; empty when it holds.
  std::vector<std::string> offences;
  bool holds() const { return offences.empty(); }
};

/// `basilspring-standin check-history FILE...`. Returns 0 when all rules hold, 1 when one is
/// broken, 2 for a usage error.
int RunCheckHistory(int argc, char** argv);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_HISTORY_H_
