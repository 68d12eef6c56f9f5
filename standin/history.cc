#include "standin/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>

#include "basilspring/error.h"
#include "standin/history_rules.h"

namespace basilspring::standin {
namespace {

namespace json = boost::json;

const json::value* Find(const json::object& fields, std::string_view field) {
  return fields.if_contains(field);
}

// Parses "2026-01-02T03:04:05.678Z" into milliseconds since the Unix epoch. Returns std::nullopt if
// the text has another form.
std::optional<std::int64_t> ParseWallTime(const std::string& text) {
  std::tm time = {};
  std::istringstream input(text);
  char dot = 0;
  int milliseconds = 0;
  input >> std::get_time(&time, "%Y-%m-%dT%H:%M:%S") >> dot >> milliseconds;
  if (!input || dot != '.') return std::nullopt;
  return static_cast<std::int64_t>(::timegm(&time)) * 1000 + milliseconds;
}

// Returns the event name of a log line, which is the second word between its brackets, or "".
std::string LogEventName(const std::string& line) {
  const std::size_t open = line.find('[');
  const std::size_t close = line.find(']', open);
  if (open == std::string::npos || close == std::string::npos) return "";
  const std::string inside = line.substr(open + 1, close - open - 1);
  const std::size_t space = inside.find(' ');
  return space == std::string::npos ? "" : inside.substr(space + 1);
}

// Parses the "name=value" words of a log line. Values that consist of digits become integers.
json::object LogFields(const std::string& line) {
  json::object fields;
  std::istringstream words(line);
  for (std::string word; words >> word;) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) continue;
    const std::string value = word.substr(equals + 1);
    const bool number = !value.empty() && value.size() < 19 &&
                        value.find_first_not_of("0123456789") == std::string::npos;
    fields[word.substr(0, equals)] = number ? json::value(std::stoll(value)) : json::value(value);
  }
  return fields;
}

// Whether the event is a result of a submission.
bool IsResult(const std::string& name) {
  return name == "answered" || name == "refused" || name == "lost" || name == "abandoned";
}

}  // namespace

std::string HistoryEvent::Text(std::string_view field) const {
  const json::value* value = Find(fields, field);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t HistoryEvent::Number(std::string_view field) const {
  const json::value* value = Find(fields, field);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

bool HistoryEvent::Flag(std::string_view field) const {
  const json::value* value = Find(fields, field);
  return value != nullptr && value->is_bool() && value->get_bool();
}

bool Submission::RefusedNotRun() const {
  return result != nullptr && result->name == "refused" && result->Text("outcome") == "not run";
}

void History::AddRecordLine(const std::string& source, const std::string& line) {
  if (line.empty()) return;
  boost::system::error_code error;
  json::value value = json::parse(line, error);
  const json::object* object = error ? nullptr : value.if_object();
  HistoryEvent event;
  if (object != nullptr) event.fields = *object;
  event.ms = event.Number("ms");
  event.name = event.Text("event");
  if (event.ms <= 0 || event.name.empty()) {
    malformed_.push_back(source + ": " + line);
    return;
  }
  event.source = source;
  event.line = line;
  events_.push_back(std::move(event));
}

void History::AddLogLine(const std::string& source, const std::string& line) {
  HistoryEvent event;
  event.name = LogEventName(line);
  static const std::set<std::string> used = {"ConfigurationApplied", "CellAcquired", "GangAborted"};
  if (!used.contains(event.name)) return;
  const auto time = ParseWallTime(line);
  if (!time) {
    malformed_.push_back(source + ": " + line);
    return;
  }
  event.ms = *time;
  event.source = source;
  event.fields = LogFields(line);
  event.line = line;
  logged_.push_back(std::move(event));
}

void History::AddFile(const std::string& path) {
  std::ifstream input(path);
  if (!input) throw Error(ErrorKind::kNotFound, fmt::format("{} can't be read", path));
  const std::filesystem::path file(path);
  const std::string source = file.stem().string();
  const bool is_log = file.extension() == ".log";
  for (std::string line; std::getline(input, line);) {
    if (is_log) {
      AddLogLine(source, line);
    } else {
      AddRecordLine(source, line);
    }
  }
}

void History::Finish() {
  const auto clock = std::find_if(events_.begin(), events_.end(),
                                  [](const HistoryEvent& event) { return event.name == "clock"; });
  if (clock == events_.end()) {
    if (!logged_.empty()) {
      malformed_.emplace_back(
          "no record has a \"clock\" event, so the times of the logs can't be converted");
    }
  } else {
    const std::int64_t offset = clock->Number("wall_ms") - clock->ms;
    for (HistoryEvent& event : logged_) {
      event.ms -= offset;
      events_.push_back(std::move(event));
    }
  }
  logged_.clear();
  std::stable_sort(events_.begin(), events_.end(),
                   [](const HistoryEvent& a, const HistoryEvent& b) { return a.ms < b.ms; });
  IndexTasks();
  IndexRequests();
}

void History::IndexTasks() {
  std::map<std::pair<std::string, std::string>, std::size_t> open;
  for (const HistoryEvent& event : events_) {
    const std::string task = event.Text("task");
    if (task.empty()) continue;
    if (event.name == "end") {
      const auto run = open.find({event.source, task});
      if (run == open.end()) {
        malformed_.push_back(event.source + ": end without start: " + event.line);
      } else {
        runs_[run->second].end = &event;
      }
    } else if (event.name == "start") {
      TaskRun run;
      run.task = task;
      run.job = task.substr(0, task.find('#'));
      run.attempt = task.substr(0, task.rfind('.'));
      run.rank = task.substr(task.rfind('.') + 1);
      const std::string output = event.Text("detail");
      run.key = output.substr(0, output.find('|'));
      run.start = &event;
      open[{event.source, task}] = runs_.size();
      runs_.push_back(std::move(run));
    }
  }
}

void History::IndexRequests() {
  std::map<std::pair<std::string, std::int64_t>, Submission*> by_id;
  for (const HistoryEvent& event : events_) {
    if (event.name == "submitted") requests_[event.Text("key")].push_back({&event, nullptr});
  }
  for (auto& [key, submissions] : requests_) {
    for (Submission& submission : submissions) {
      by_id[{submission.sent->source, submission.sent->Number("request")}] = &submission;
    }
  }
  for (const HistoryEvent& event : events_) {
    // In a backend server's record, "refused" with a task is a refused task start.
    if (!IsResult(event.name) || !event.Text("task").empty()) continue;
    const auto submission = by_id.find({event.source, event.Number("request")});
    if (submission == by_id.end()) {
      malformed_.push_back(event.source + ": result without request: " + event.line);
    } else if (submission->second->result == nullptr) {
      submission->second->result = &event;
    }
  }
}

std::vector<const HistoryEvent*> History::EventsNamed(std::string_view name) const {
  std::vector<const HistoryEvent*> found;
  for (const HistoryEvent& event : events_) {
    if (event.name == name) found.push_back(&event);
  }
  return found;
}

const HistoryEvent* History::ProcessDescription(const std::string& source) const {
  for (const HistoryEvent& event : events_) {
    if (event.name == "process" && event.Text("process") == source) return &event;
  }
  return nullptr;
}

int RunCheckHistory(int argc, char** argv) {
  if (argc < 2) {
    fmt::print(stderr, "usage: basilspring-standin check-history FILE...\n");
    return 2;
  }
  History history;
  for (int i = 1; i < argc; ++i) history.AddFile(argv[i]);
  history.Finish();
  // Maximum of violations printed for each rule; the rest can be found in the records themselves.
  constexpr std::size_t kMaxPrinted = 20;
  bool all_hold = true;
  for (const Verdict& verdict : CheckHistory(history)) {
    fmt::print("{:<7} {:<28} {} checked\n", verdict.holds() ? "holds" : "BROKEN", verdict.rule,
               verdict.checked);
    for (std::size_t i = 0; i < std::min(verdict.violations.size(), kMaxPrinted); ++i) {
      fmt::print("    {}\n", verdict.violations[i]);
    }
    if (verdict.violations.size() > kMaxPrinted) {
      fmt::print("    and {} more\n", verdict.violations.size() - kMaxPrinted);
    }
    all_hold = all_hold && verdict.holds();
  }
  return all_hold ? 0 : 1;
}

}  // namespace basilspring::standin
