#include "standin/history_rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace basilspring::standin {
namespace {

std::string DescribeViolation(const HistoryEvent& event, const std::string& reason) {
  return fmt::format("{}; {}: {}", reason, event.source, event.line);
}

// Task executions by job id and by request key.
struct StartIndex {
  explicit StartIndex(const History& history) {
    for (const TaskRun& run : history.runs()) {
      by_job[run.job].push_back(&run);
      by_key[run.key].push_back(&run);
    }
  }
  std::map<std::string, std::vector<const TaskRun*>> by_job;
  std::map<std::string, std::vector<const TaskRun*>> by_key;
};

// Whether a submission that wasn't refused as "not run" had been sent at this time.
bool StartIsAllowed(const std::vector<Submission>& submissions, std::int64_t ms) {
  return std::any_of(submissions.begin(), submissions.end(), [ms](const Submission& submission) {
    return !submission.RefusedNotRun() && submission.sent->ms <= ms;
  });
}

// Returns the number of tasks that the request of this run asked for, or 0 if the request isn't
// recorded.
std::int64_t RanksOf(const History& history, const TaskRun& run) {
  const auto request = history.requests().find(run.key);
  return request == history.requests().end() ? 0 : request->second.front().sent->Number("tasks");
}

std::map<std::string, std::vector<const TaskRun*>> RunsByAttempt(const History& history) {
  std::map<std::string, std::vector<const TaskRun*>> attempts;
  for (const TaskRun& run : history.runs()) attempts[run.attempt].push_back(&run);
  return attempts;
}

// Adds a violation for each run that lasts longer than kPartialGangBoundMs after `from` or after
// its start, whichever is later.
void RequireEnd(const History& history, const std::vector<const TaskRun*>& runs, std::int64_t from,
                const std::string& reason, Verdict& verdict) {
  for (const TaskRun* run : runs) {
    const std::int64_t limit = std::max(from, run->start->ms) + kPartialGangBoundMs;
    // A run without an end lasted at least until the end of the records.
    const std::int64_t end = run->end != nullptr ? run->end->ms : history.end_ms();
    if (end > limit) verdict.violations.push_back(DescribeViolation(*run->start, reason));
  }
}

}  // namespace

Verdict CheckRecordsComplete(const History& history) {
  Verdict verdict{"records complete", 0, history.malformed()};
  for (const auto& [key, submissions] : history.requests()) {
    for (const Submission& submission : submissions) {
      ++verdict.checked;
      if (submission.result == nullptr) {
        verdict.violations.push_back(DescribeViolation(*submission.sent, "no result"));
      }
    }
  }
  return verdict;
}

Verdict CheckAnswers(const History& history) {
  Verdict verdict{"answers whole and own", 0, {}};
  for (const auto& [key, submissions] : history.requests()) {
    for (const Submission& submission : submissions) {
      const HistoryEvent* result = submission.result;
      if (result == nullptr || result->name != "answered") continue;
      ++verdict.checked;
      const HistoryEvent& sent = *submission.sent;
      std::string reason;
      if (result->Text("key") != key) reason = "the answer is for another key";
      if (!result->Flag("checksum_ok")) {
        reason = "the output lengths or the checksum don't match the body";
      }
      if (result->Number("length") != sent.Number("expected_length")) {
        reason = "the length differs from the expected one";
      }
      if (result->Text("digest") != sent.Text("expected_digest")) {
        reason = "the digest differs from the expected one";
      }
      if (!result->Flag("exact")) reason = "the bytes differ from the expected output";
      if (!reason.empty()) verdict.violations.push_back(DescribeViolation(*result, reason));
    }
  }
  return verdict;
}

Verdict CheckAnswersDelivered(const History& history) {
  Verdict verdict{"finished work is delivered", 0, {}};
  const StartIndex starts(history);
  for (const auto& [key, submissions] : history.requests()) {
    const auto runs = starts.by_key.find(key);
    if (runs == starts.by_key.end()) continue;
    const auto ended =
        std::count_if(runs->second.begin(), runs->second.end(), [](const TaskRun* run) {
          return run->end != nullptr && run->end->Text("detail") == "done";
        });
    ++verdict.checked;
    if (ended < submissions.front().sent->Number("tasks")) continue;
    for (const Submission& submission : submissions) {
      if (submission.result == nullptr || submission.result->name != "abandoned") continue;
      verdict.violations.push_back(DescribeViolation(
          *submission.result, "all tasks are done, but the caller got no outcome"));
    }
  }
  return verdict;
}

Verdict CheckRunsAtMostOnce(const History& history) {
  Verdict verdict{"non-idempotent at most once", 0, {}};
  const StartIndex starts(history);
  for (const auto& [key, submissions] : history.requests()) {
    if (submissions.front().sent->Flag("idempotent")) continue;
    ++verdict.checked;
    const auto runs = starts.by_key.find(key);
    if (runs == starts.by_key.end()) continue;
    std::set<std::string> ranks;
    for (const TaskRun* run : runs->second) {
      if (run->attempt != runs->second.front()->attempt) {
        verdict.violations.push_back(
            DescribeViolation(*run->start, "started in another attempt of " + key));
      } else if (!ranks.insert(run->rank).second) {
        verdict.violations.push_back(
            DescribeViolation(*run->start, "rank started twice for " + key));
      }
    }
  }
  return verdict;
}

Verdict CheckNotRunIsTrue(const History& history) {
  Verdict verdict{"\"not run\" is true", 0, {}};
  const StartIndex starts(history);
  for (const auto& [key, submissions] : history.requests()) {
    for (const Submission& submission : submissions) {
      if (!submission.RefusedNotRun()) continue;
      ++verdict.checked;
      const std::string job = submission.result->Text("job");
      const auto of_job = job.empty() ? starts.by_job.end() : starts.by_job.find(job);
      if (of_job != starts.by_job.end()) {
        verdict.violations.push_back(
            DescribeViolation(*submission.result, "refused as \"not run\", but a task started"));
        verdict.violations.push_back(
            DescribeViolation(*of_job->second.front()->start, "a task of this request started"));
        continue;
      }
      const auto of_key = starts.by_key.find(key);
      if (of_key == starts.by_key.end()) continue;
      for (const TaskRun* run : of_key->second) {
        if (StartIsAllowed(submissions, run->start->ms)) continue;
        verdict.violations.push_back(
            DescribeViolation(*submission.result, "refused as \"not run\", but a task started"));
        verdict.violations.push_back(
            DescribeViolation(*run->start, "a task of this request started"));
      }
    }
  }
  return verdict;
}

Verdict CheckDataCentreOut(const History& history) {
  Verdict verdict{"no start in a data centre out", 0, {}};
  std::map<std::string, std::int64_t> out_since;
  // "in" takes effect between its sending and its answer. It counts from its sending; if it is
  // refused, the earlier "out" applies again.
  std::map<std::string, std::int64_t> out_before_in;
  for (const HistoryEvent& event : history.events()) {
    const std::string place = event.Text("data_centre");
    if (event.name == "data_centre_out") {
      out_since.try_emplace(place, event.ms);
      // Counts each "out", so that the count isn't zero if no task starts afterwards.
      ++verdict.checked;
    } else if (event.name == "data_centre_in_sent") {
      if (const auto out = out_since.find(place); out != out_since.end()) {
        out_before_in[place] = out->second;
        out_since.erase(out);
      }
    } else if (event.name == "data_centre_in_refused" && out_before_in.contains(place)) {
      out_since.try_emplace(place, out_before_in[place]);
    } else if (event.name == "start") {
      const HistoryEvent* process = history.ProcessDescription(event.source);
      if (process == nullptr) {
        verdict.violations.push_back(
            DescribeViolation(event, "the data centre of this backend server is not recorded"));
        continue;
      }
      const auto out = out_since.find(process->Text("data_centre"));
      if (out != out_since.end() && event.ms > out->second + kDataCentreOutBoundMs) {
        verdict.violations.push_back(DescribeViolation(
            event, fmt::format("started {} ms after the data centre was taken out",
                               event.ms - out->second)));
      }
    }
  }
  return verdict;
}

Verdict CheckGangsWhole(const History& history) {
  Verdict verdict{"gangs whole", 0, {}};
  for (const auto& [attempt, runs] : RunsByAttempt(history)) {
    const std::int64_t ranks = RanksOf(history, *runs.front());
    if (ranks <= 1) continue;
    ++verdict.checked;
    std::set<std::string> started;
    std::int64_t broken = 0;
    for (const TaskRun* run : runs) {
      started.insert(run->rank);
      if (run->end != nullptr && run->end->Text("detail") != "done") {
        broken = broken == 0 ? run->end->ms : std::min(broken, run->end->ms);
      }
    }
    if (static_cast<std::int64_t>(started.size()) < ranks) {
      const std::string reason =
          fmt::format("still runs though only {} of {} ranks started", started.size(), ranks);
      RequireEnd(history, runs, 0, reason, verdict);
    } else if (broken > 0) {
      RequireEnd(history, runs, broken, "still runs after another rank failed or was stopped",
                 verdict);
    }
  }
  return verdict;
}

Verdict CheckLeavingBackends(const History& history) {
  Verdict verdict{"no start on a leaving backend", 0, {}};
  std::map<std::string, std::int64_t> leaving;
  for (const HistoryEvent& event : history.events()) {
    if (event.name == "backend_leaving") {
      leaving.try_emplace(event.Text("process"), event.ms);
      ++verdict.checked;
    } else if (event.name == "backend_staying") {
      leaving.erase(event.Text("process"));
    } else if (event.name == "start") {
      const auto since = leaving.find(event.source);
      if (since != leaving.end() && event.ms > since->second + kLeavingBoundMs) {
        verdict.violations.push_back(DescribeViolation(
            event,
            fmt::format("started {} ms after the backend server announced that it is leaving",
                        event.ms - since->second)));
      }
    }
  }
  return verdict;
}

std::vector<Verdict> CheckHistory(const History& history) {
  return {CheckRecordsComplete(history),  CheckAnswers(history),
          CheckAnswersDelivered(history), CheckRunsAtMostOnce(history),
          CheckNotRunIsTrue(history),     CheckDataCentreOut(history),
          CheckGangsWhole(history),       CheckLeavingBackends(history),
          CheckGracefulStops(history),    CheckRevisionsNeverFall(history),
          CheckRevisionsInForce(history)};
}

}  // namespace basilspring::standin
