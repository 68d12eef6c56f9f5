#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>

#include "standin/history_rules.h"

namespace basilspring::standin {
namespace {

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

std::string Quote(const HistoryEvent& event, const std::string& reason) {
  return fmt::format("{}; {}: {}", reason, event.source, event.line);
}

// A time in which a process can't act: killed, paused or stopped, until it is back.
struct Absence {
  std::int64_t from = 0;
  std::int64_t until = kNever;
};

std::map<std::string, std::vector<Absence>> Absences(const History& history) {
  const std::set<std::string> leaves = {"killed", "paused", "stop_begun"};
  const std::set<std::string> returns = {"started", "resumed"};
  std::map<std::string, std::vector<Absence>> absences;
  for (const HistoryEvent& event : history.events()) {
    std::vector<Absence>& own = absences[event.Text("process")];
    const bool away = !own.empty() && own.back().until == kNever;
    if (leaves.contains(event.name) && !away) own.push_back({event.ms, kNever});
    if (returns.contains(event.name) && away) own.back().until = event.ms;
  }
  return absences;
}

// The end of the last absence that overlaps the span, or nothing when there is none.
std::optional<std::int64_t> ReturnDuring(const std::vector<Absence>& absences, std::int64_t from,
                                         std::int64_t until) {
  std::optional<std::int64_t> end;
  for (const Absence& absence : absences) {
    if (absence.from <= until && absence.until >= from) end = absence.until;
  }
  return end;
}

// Time of the event of this name for the process after a moment, or kNever.
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
      verdict.offences.push_back(Quote(*result, "cut off by the stop of " + stop.Text("process")));
    }
  }
}

// Whether the cell scheduler preempted the attempt, by its own log. The stop of an agent doesn't
// stop preemptions.
bool Preempted(const History& history, const TaskRun& run) {
  const std::vector<const HistoryEvent*> aborted = history.Named("GangAborted");
  return std::any_of(aborted.begin(), aborted.end(), [&run](const HistoryEvent* event) {
    return event->Text("attempt") == run.attempt && event->Text("reason") == "preempted";
  });
}

// Whether something else than the stop can have ended the run: its caller cancelled it, the attempt
// was preempted, or another rank of the attempt had failed or been stopped before.
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
    verdict.offences.push_back(
        Quote(*run.end, "stopped during the stop of " + stop.Text("process")));
  }
}

std::vector<const HistoryEvent*> Applied(const History& history, std::string_view field,
                                         const std::string& value) {
  std::vector<const HistoryEvent*> found;
  for (const HistoryEvent* event : history.Named("ConfigurationApplied")) {
    if ((field == "source" ? event->source : event->Text(field)) == value) found.push_back(event);
  }
  return found;
}

// First line that applies this revision or a later one, or null.
const HistoryEvent* FirstAtLeast(const std::vector<const HistoryEvent*>& applied,
                                 std::int64_t revision) {
  const auto found = std::find_if(applied.begin(), applied.end(), [&](const HistoryEvent* event) {
    return event->Number("revision") >= revision;
  });
  return found == applied.end() ? nullptr : *found;
}

void CheckEntryInForce(const History& history, const HistoryEvent& accepted,
                       const std::string& entry, const std::vector<Absence>& absences,
                       Verdict& verdict) {
  ++verdict.checked;
  std::int64_t limit = accepted.ms + kConfigurationBound;
  if (const auto back = ReturnDuring(absences, accepted.ms, limit)) {
    limit = *back == kNever ? kNever : *back + kConfigurationBound;
  }
  const HistoryEvent* first =
      FirstAtLeast(Applied(history, "source", entry), accepted.Number("revision"));
  const std::int64_t in_force = first != nullptr ? first->ms : history.end_ms();
  if (in_force > limit) verdict.offences.push_back(Quote(accepted, "not in force at " + entry));
}

void CheckCellInForce(const History& history, const HistoryEvent& accepted, const std::string& cell,
                      const std::map<std::string, std::vector<Absence>>& absences,
                      Verdict& verdict) {
  ++verdict.checked;
  const std::int64_t limit = accepted.ms + kConfigurationBound;
  const std::int64_t revision = accepted.Number("revision");
  const std::vector<const HistoryEvent*> applied = Applied(history, "cell", cell);
  const HistoryEvent* first = FirstAtLeast(applied, revision);
  if (first != nullptr && first->ms <= limit) return;
  if (first == nullptr && history.end_ms() <= limit) return;
  const HistoryEvent* holder = nullptr;
  for (const HistoryEvent* event : applied) {
    if (event->ms <= accepted.ms) holder = event;
    if (event->ms > limit && event->Number("revision") < revision) {
      verdict.offences.push_back(Quote(*event, "older than accepted: " + accepted.line));
      return;
    }
  }
  // A cell without a scheduler applies nothing and starts nothing.
  if (holder == nullptr) return;
  const auto away = absences.find(holder->source);
  if (away != absences.end() && ReturnDuring(away->second, accepted.ms, limit)) return;
  verdict.offences.push_back(Quote(accepted, "not in force in cell " + cell));
}

}  // namespace

Verdict CheckGracefulStops(const History& history) {
  Verdict verdict{"graceful stops cut nothing off", 0, {}};
  std::set<std::string> cancelled;
  for (const HistoryEvent* event : history.Named("cancel_sent")) {
    cancelled.insert(event->Text("key"));
  }
  for (const HistoryEvent* stop : history.Named("stop_begun")) {
    ++verdict.checked;
    const std::string process = stop->Text("process");
    const HistoryEvent* described = history.Process(process);
    if (described == nullptr) {
      verdict.offences.push_back(Quote(*stop, "process not described"));
      continue;
    }
    const std::int64_t restarted = NextEvent(history, process, "started", stop->ms);
    if (described->Text("role") == "entry") {
      CheckCallersOfEntry(history, *stop, restarted, described->Text("http"), verdict);
    } else {
      CheckTasksOfWorker(history, *stop, restarted, described->Text("backend"), cancelled, verdict);
    }
  }
  for (const HistoryEvent* event : history.Named("stop_timeout")) {
    verdict.offences.push_back(Quote(*event, "the process did not end"));
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
    std::int64_t& own = in_process[event.source];
    if (revision < own) {
      verdict.offences.push_back(Quote(event, fmt::format("the process had {}", own)));
    }
    own = std::max(own, revision);
    if (cell.empty()) continue;
    const std::int64_t epoch = epochs[{event.source, cell}];
    for (const auto& [other, known] : in_cell[cell]) {
      // A scheduler with a higher epoch has deposed this one, whose state no agent obeys.
      if (other > epoch || revision >= known) continue;
      verdict.offences.push_back(
          Quote(event, fmt::format("the cell had {} in epoch {}", known, other)));
    }
    std::int64_t& of_epoch = in_cell[cell][epoch];
    of_epoch = std::max(of_epoch, revision);
  }
  return verdict;
}

Verdict CheckRevisionsInForce(const History& history) {
  Verdict verdict{"revisions in force in 5 s", 0, {}};
  const auto absences = Absences(history);
  std::set<std::string> cells;
  for (const HistoryEvent* event : history.Named("ConfigurationApplied")) {
    if (!event->Text("cell").empty()) cells.insert(event->Text("cell"));
  }
  for (const HistoryEvent* accepted : history.Named("configuration_accepted")) {
    for (const HistoryEvent* process : history.Named("process")) {
      if (process->Text("role") != "entry") continue;
      const std::string name = process->Text("process");
      const auto away = absences.find(name);
      CheckEntryInForce(history, *accepted, name,
                        away == absences.end() ? std::vector<Absence>() : away->second, verdict);
    }
    for (const std::string& cell : cells) {
      CheckCellInForce(history, *accepted, cell, absences, verdict);
    }
  }
  return verdict;
}

}  // namespace basilspring::standin
