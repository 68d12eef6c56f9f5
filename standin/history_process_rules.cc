#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>

#include "standin/history_rules.h"

namespace basilspring::standin {
namespace {

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

std::string DescribeViolation(const HistoryEvent& event, const std::string& reason) {
  return fmt::format("{}; {}: {}", reason, event.source, event.line);
}

// A period in which a process can't act, from its kill, pause or stop to its restart or resumption.
struct Downtime {
  std::int64_t from = 0;
  std::int64_t until = kNever;
};

std::map<std::string, std::vector<Downtime>> Downtimes(const History& history) {
  const std::set<std::string> begin_events = {"killed", "paused", "stop_begun"};
  const std::set<std::string> end_events = {"started", "resumed"};
  std::map<std::string, std::vector<Downtime>> downtimes;
  for (const HistoryEvent& event : history.events()) {
    std::vector<Downtime>& of_process = downtimes[event.Text("process")];
    const bool down = !of_process.empty() && of_process.back().until == kNever;
    if (begin_events.contains(event.name) && !down) of_process.push_back({event.ms, kNever});
    if (end_events.contains(event.name) && down) of_process.back().until = event.ms;
  }
  return downtimes;
}

// Returns the end of the last downtime that overlaps the interval, or std::nullopt if none does.
std::optional<std::int64_t> DowntimeEndDuring(const std::vector<Downtime>& downtimes,
                                              std::int64_t from, std::int64_t until) {
  std::optional<std::int64_t> end;
  for (const Downtime& downtime : downtimes) {
    if (downtime.from <= until && downtime.until >= from) end = downtime.until;
  }
  return end;
}

// Returns the time of the first event with this name for the process at or after `after`, or
// kNever.
std::int64_t NextEvent(const History& history, const std::string& process, std::string_view name,
                       std::int64_t after) {
  for (const HistoryEvent& event : history.events()) {
    if (event.ms >= after && event.name == name && event.Text("process") == process) {
      return event.ms;
    }
  }
  return kNever;
}

void CheckCallersOfEntry(const History& history, const HistoryEvent& stop, std::int64_t restarted,
                         const std::string& address, Verdict& verdict) {
  for (const auto& [key, submissions] : history.requests()) {
    for (const Submission& submission : submissions) {
      const HistoryEvent* result = submission.result;
      if (result == nullptr || result->name != "lost" || submission.sent->ms > stop.ms ||
          result->ms < stop.ms || result->ms > restarted ||
          submission.sent->Text("entry") != address || !result->Flag("reached")) {
        continue;
      }
      verdict.violations.push_back(
          DescribeViolation(*result, "broken by the graceful stop of " + stop.Text("process")));
    }
  }
}

// Whether the log of the cell scheduler says that it preempted the attempt. Preemptions go on while
// an agent stops.
bool Preempted(const History& history, const TaskRun& run) {
  const std::vector<const HistoryEvent*> aborted = history.EventsNamed("GangAborted");
  return std::any_of(aborted.begin(), aborted.end(), [&run](const HistoryEvent* event) {
    return event->Text("attempt") == run.attempt && event->Text("reason") == "preempted";
  });
}

// Whether something other than the stop may have ended the run: its caller cancelled it, the
// attempt was preempted, or another rank of the attempt failed or was stopped before on another
// backend server.
bool EndedForOtherReason(const History& history, const TaskRun& run,
                         const std::set<std::string>& cancelled) {
  if (cancelled.contains(run.key) || Preempted(history, run)) return true;
  return std::any_of(history.runs().begin(), history.runs().end(), [&run](const TaskRun& other) {
    return other.attempt == run.attempt && other.rank != run.rank && other.end != nullptr &&
           other.end->ms <= run.end->ms && other.start->source != run.start->source &&
           other.end->Text("detail") != "done";
  });
}

void CheckTasksOfWorker(const History& history, const HistoryEvent& stop, std::int64_t restarted,
                        const std::string& backend, const std::set<std::string>& cancelled,
                        Verdict& verdict) {
  for (const TaskRun& run : history.runs()) {
    if (run.start->source != backend || run.end == nullptr || run.start->ms > stop.ms ||
        run.end->ms < stop.ms || run.end->ms > restarted || run.end->Text("detail") != "stopped" ||
        EndedForOtherReason(history, run, cancelled)) {
      continue;
    }
    verdict.violations.push_back(
        DescribeViolation(*run.end, "stopped during the graceful stop of " + stop.Text("process")));
  }
}

std::vector<const HistoryEvent*> AppliedConfigurations(const History& history,
                                                       std::string_view field,
                                                       const std::string& value) {
  std::vector<const HistoryEvent*> found;
  for (const HistoryEvent* event : history.EventsNamed("ConfigurationApplied")) {
    if ((field == "source" ? event->source : event->Text(field)) == value) found.push_back(event);
  }
  return found;
}

// Returns the first event that applies this revision or a later one, or null.
const HistoryEvent* FirstAtLeast(const std::vector<const HistoryEvent*>& applied,
                                 std::int64_t revision) {
  const auto found = std::find_if(applied.begin(), applied.end(), [&](const HistoryEvent* event) {
    return event->Number("revision") >= revision;
  });
  return found == applied.end() ? nullptr : *found;
}

void CheckEntryInForce(const History& history, const HistoryEvent& accepted,
                       const std::string& entry, const std::vector<Downtime>& downtimes,
                       Verdict& verdict) {
  ++verdict.checked;
  std::int64_t limit = accepted.ms + kConfigurationBoundMs;
  if (const auto downtime_end = DowntimeEndDuring(downtimes, accepted.ms, limit)) {
    limit = *downtime_end == kNever ? kNever : *downtime_end + kConfigurationBoundMs;
  }
  const HistoryEvent* first =
      FirstAtLeast(AppliedConfigurations(history, "source", entry), accepted.Number("revision"));
  const std::int64_t in_force = first != nullptr ? first->ms : history.end_ms();
  if (in_force > limit) {
    verdict.violations.push_back(DescribeViolation(accepted, "not in force at " + entry));
  }
}

void CheckCellInForce(const History& history, const HistoryEvent& accepted, const std::string& cell,
                      const std::map<std::string, std::vector<Downtime>>& downtimes,
                      Verdict& verdict) {
  ++verdict.checked;
  const std::int64_t limit = accepted.ms + kConfigurationBoundMs;
  const std::int64_t revision = accepted.Number("revision");
  const std::vector<const HistoryEvent*> applied = AppliedConfigurations(history, "cell", cell);
  const HistoryEvent* first = FirstAtLeast(applied, revision);
  if (first != nullptr && first->ms <= limit) return;
  if (first == nullptr && history.end_ms() <= limit) return;
  const HistoryEvent* holder = nullptr;
  for (const HistoryEvent* event : applied) {
    if (event->ms <= accepted.ms) holder = event;
    if (event->ms > limit && event->Number("revision") < revision) {
      verdict.violations.push_back(
          DescribeViolation(*event, "older than the accepted revision: " + accepted.line));
      return;
    }
  }
  // A cell without a scheduler applies no configuration and starts no task.
  if (holder == nullptr) return;
  const auto of_process = downtimes.find(holder->source);
  if (of_process != downtimes.end() && DowntimeEndDuring(of_process->second, accepted.ms, limit)) {
    return;
  }
  verdict.violations.push_back(DescribeViolation(accepted, "not in force in cell " + cell));
}

}  // namespace

Verdict CheckGracefulStops(const History& history) {
  Verdict verdict{"graceful stops cut nothing off", 0, {}};
  std::set<std::string> cancelled;
  for (const HistoryEvent* event : history.EventsNamed("cancel_sent")) {
    cancelled.insert(event->Text("key"));
  }
  for (const HistoryEvent* stop : history.EventsNamed("stop_begun")) {
    ++verdict.checked;
    const std::string process = stop->Text("process");
    const HistoryEvent* description = history.ProcessDescription(process);
    if (description == nullptr) {
      verdict.violations.push_back(
          DescribeViolation(*stop, "no \"process\" event describes this process"));
      continue;
    }
    const std::int64_t restarted = NextEvent(history, process, "started", stop->ms);
    if (description->Text("role") == "entry") {
      CheckCallersOfEntry(history, *stop, restarted, description->Text("http"), verdict);
    } else {
      CheckTasksOfWorker(history, *stop, restarted, description->Text("backend"), cancelled,
                         verdict);
    }
  }
  for (const HistoryEvent* event : history.EventsNamed("stop_timeout")) {
    verdict.violations.push_back(DescribeViolation(*event, "the process did not exit"));
  }
  return verdict;
}

Verdict CheckRevisionsNeverFall(const History& history) {
  Verdict verdict{"revisions never fall", 0, {}};
  std::map<std::string, std::int64_t> in_process;
  std::map<std::string, std::map<std::int64_t, std::int64_t>> in_cell;
  std::map<std::pair<std::string, std::string>, std::int64_t> epochs;
  for (const HistoryEvent& event : history.events()) {
    const std::string cell = event.Text("cell");
    if (event.name == "CellAcquired") epochs[{event.source, cell}] = event.Number("epoch");
    if (event.name != "ConfigurationApplied") continue;
    ++verdict.checked;
    const std::int64_t revision = event.Number("revision");
    std::int64_t& of_source = in_process[event.source];
    if (revision < of_source) {
      verdict.violations.push_back(DescribeViolation(
          event, fmt::format("the process had applied revision {} before", of_source)));
    }
    of_source = std::max(of_source, revision);
    if (cell.empty()) continue;
    const std::int64_t epoch = epochs[{event.source, cell}];
    for (const auto& [other, known] : in_cell[cell]) {
      // A scheduler with a higher epoch has superseded this one, and agents reject its messages.
      if (other > epoch || revision >= known) continue;
      verdict.violations.push_back(DescribeViolation(
          event, fmt::format("the cell had applied revision {} in epoch {} before", known, other)));
    }
    std::int64_t& of_epoch = in_cell[cell][epoch];
    of_epoch = std::max(of_epoch, revision);
  }
  return verdict;
}

Verdict CheckRevisionsInForce(const History& history) {
  Verdict verdict{"revisions in force in 5 s", 0, {}};
  const auto downtimes = Downtimes(history);
  std::set<std::string> cells;
  for (const HistoryEvent* event : history.EventsNamed("ConfigurationApplied")) {
    if (!event->Text("cell").empty()) cells.insert(event->Text("cell"));
  }
  for (const HistoryEvent* accepted : history.EventsNamed("configuration_accepted")) {
    for (const HistoryEvent* process : history.EventsNamed("process")) {
      if (process->Text("role") != "entry") continue;
      const std::string name = process->Text("process");
      const auto of_process = downtimes.find(name);
      CheckEntryInForce(
          history, *accepted, name,
          of_process == downtimes.end() ? std::vector<Downtime>() : of_process->second, verdict);
    }
    for (const std::string& cell : cells) {
      CheckCellInForce(history, *accepted, cell, downtimes, verdict);
    }
  }
  return verdict;
}

}  // namespace basilspring::standin
