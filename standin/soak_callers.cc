#include "standin/soak_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "basilspring/clock.h"

namespace basilspring::standin {
namespace {

// Time for which a caller waits for an answer, as on the users' platform.
constexpr Duration kCallTimeout(3000);
constexpr int kMaxSubmits = 40;
constexpr std::int64_t kRetryMs = 400;
// Time between the last queries of two jobs, so that they don't arrive all at once.
constexpr std::int64_t kLastQueryIntervalMs = 10;
constexpr std::int64_t kCancelPercent = 12;
constexpr std::int64_t kGangPercent = 15;
constexpr std::int64_t kTwoStepsPercent = 15;

std::int64_t NowMs() { return Clock::Now().milliseconds(); }

std::string PhaseOf(const HttpResult& result) {
  if (result.status != 200) return std::to_string(result.status);
  boost::system::error_code error;
  const auto body = boost::json::parse(result.body, error);
  const auto* state = error || !body.is_object() ? nullptr : body.as_object().if_contains("state");
  return state == nullptr || !state->is_string() ? "unreadable" : state->as_string().c_str();
}

bool IsTerminalPhase(const std::string& phase) {
  return phase == "completed" || phase == "failed" || phase == "cancelled";
}

}  // namespace

struct SoakCallers::Job {
  SoakJob record;
  const char* prefix = kUrgentPrefix;
  std::string body;
  bool finished = false;
};

SoakCallers::SoakCallers(IoThread& io, HttpClient& http, std::vector<Address> entries,
                         std::uint64_t seed, SoakTraffic traffic)
    : io_(io), http_(http), entries_(std::move(entries)), random_(seed), traffic_(traffic) {}

SoakCallers::~SoakCallers() {
  const std::lock_guard lock(mutex_);
  *alive_ = false;
}

std::uint64_t SoakCallers::RandomBelow(std::uint64_t below) { return random_() % below; }

void SoakCallers::RunAfter(std::int64_t delay_ms, std::function<void()> function) {
  io_.PostAfter(Duration(delay_ms), [this, alive = alive_, function = std::move(function)] {
    if (!*alive) return;
    const std::lock_guard lock(mutex_);
    function();
  });
}

void SoakCallers::Call(const JobPtr& job, const std::string& method, const std::string& body,
                       std::function<void(const HttpResult&)> handler) {
  const std::size_t entry = RandomBelow(entries_.size());
  HttpClientRequest request;
  request.server = entries_[entry];
  request.method = method;
  request.target = job->prefix + job->record.id;
  request.headers["key"] = "secret";
  request.headers["content-type"] = "application/json";
  request.headers["timeout-ms"] = std::to_string(kCallTimeout.milliseconds());
  request.body = body;
  request.timeout = kCallTimeout;
  http_.Send(std::move(request), [this, alive = alive_, entry, sent_ms = NowMs(),
                                  handler = std::move(handler)](const HttpResult& result) {
    if (!*alive) return;
    const std::lock_guard lock(mutex_);
    const bool timed_out = NowMs() - sent_ms >= kCallTimeout.milliseconds();
    if (result.error != ErrorKind::kNone && !timed_out) {
      broken_calls_.push_back({fmt::format("entry-{}", entry), sent_ms, NowMs()});
    }
    handler(result);
  });
}

void SoakCallers::DrawMixed(Job& job) {
  job.record.gang = RandomBelow(100) < kGangPercent;
  const bool two_steps = !job.record.gang && RandomBelow(100) < kTwoStepsPercent;
  const std::uint64_t count = 1 + RandomBelow(4);
  const std::uint64_t work_ms =
      RandomBelow(4) == 0 ? 2000 + RandomBelow(5000) : 50 + RandomBelow(1200);
  job.record.tasks = static_cast<int>(two_steps ? count + 1 : count);
  const std::string step =
      fmt::format(R"({{"count":{},"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":{}{}}})", count,
                  work_ms, job.record.gang ? R"(,"gang":true)" : "");
  const std::string second =
      fmt::format(R"(,{{"count":1,"gpu":1,"estimate_ms":{},"after":[0]}})", work_ms);
  job.body =
      fmt::format(R"({{"spec":"{}","steps":[{}{}]}})", work_ms, step, two_steps ? second : "");
}

void SoakCallers::DrawOfThreeKinds(Job& job) {
  const std::uint64_t kind = RandomBelow(3);
  std::uint64_t count = 1 + RandomBelow(2);
  std::uint64_t least_ms = 10000;
  std::uint64_t most_ms = 12000;
  if (kind == 1) {
    count = 2 + RandomBelow(3);
    least_ms = most_ms = 2500;
  } else if (kind == 2) {
    count = 7 + RandomBelow(5);
    // The longest task of most such jobs takes a fraction of the limit of 9.5 s.
    most_ms = RandomBelow(4) == 0 ? 9500 : 2000;
    least_ms = 50;
  }
  job.record.gang = kind == 1;
  job.prefix = job.record.gang ? kUrgentPrefix : kBatchPrefix;
  job.record.tasks = static_cast<int>(count);
  job.body = fmt::format(
      R"({{"spec":"{}-{}","steps":[{{"count":{},"cpu":1000,"mem_mb":1000,"gpu":1,)"
      R"("estimate_ms":{}{}}}]}})",
      least_ms, most_ms, count, (least_ms + most_ms) / 2, job.record.gang ? R"(,"gang":true)" : "");
}

void SoakCallers::SubmitNextJob() {
  const std::lock_guard lock(mutex_);
  auto job = std::make_shared<Job>();
  job->record.id = fmt::format("{:016x}", next_job_++);
  if (traffic_ == SoakTraffic::kThreeKinds) {
    DrawOfThreeKinds(*job);
  } else {
    DrawMixed(*job);
  }
  jobs_[job->record.id] = job;
  if (RandomBelow(100) < kCancelPercent) {
    RunAfter(static_cast<std::int64_t>(100 + RandomBelow(3000)), [this, job] { Cancel(job); });
  }
  Submit(job);
}

void SoakCallers::Submit(const JobPtr& job) {
  if (job->record.cancel_sent_ms) return;
  Call(job, "POST", job->body, [this, job](const HttpResult& result) {
    job->record.submit_statuses.push_back(result.error == ErrorKind::kNone ? result.status : 0);
    const int status = job->record.submit_statuses.back();
    if (status == 200) {
      if (!job->record.accepted_ms) job->record.accepted_ms = NowMs();
      RunAfter(static_cast<std::int64_t>(50 + RandomBelow(500)), [this, job] { QueryPhase(job); });
    } else if (job->record.submit_statuses.size() >= kMaxSubmits) {
      job->finished = true;
    } else {
      const auto found = result.headers.find("retry-after");
      const std::int64_t wait_ms =
          found == result.headers.end() ? kRetryMs : std::stoll(found->second) * 1000;
      RunAfter(wait_ms, [this, job] { Submit(job); });
    }
  });
}

void SoakCallers::QueryPhase(const JobPtr& job) {
  Call(job, "GET", "", [this, job, asked_ms = NowMs()](const HttpResult& result) {
    if (result.error == ErrorKind::kNone) {
      job->record.phase_answers.push_back({asked_ms, NowMs(), PhaseOf(result)});
    }
    const bool ended = !job->record.phase_answers.empty() &&
                       IsTerminalPhase(job->record.phase_answers.back().phase);
    // Further queries after the end check that the phase stays terminal.
    const auto terminal_answers =
        std::count_if(job->record.phase_answers.begin(), job->record.phase_answers.end(),
                      [](const SoakPhaseAnswer& answer) { return IsTerminalPhase(answer.phase); });
    job->finished = ended;
    if (terminal_answers < 4) {
      RunAfter(static_cast<std::int64_t>(200 + RandomBelow(600)), [this, job] { QueryPhase(job); });
    }
  });
}

void SoakCallers::QueryAllOnce() {
  const std::lock_guard lock(mutex_);
  std::int64_t delay_ms = 0;
  for (const auto& [id, row] : jobs_) {
    if (!row->record.accepted()) continue;
    row->finished = false;
    delay_ms += kLastQueryIntervalMs;
    RunAfter(delay_ms, [this, job = row] {
      Call(job, "GET", "", [job, asked_ms = NowMs()](const HttpResult& result) {
        const bool answered = result.error == ErrorKind::kNone;
        job->record.phase_answers.push_back(
            {asked_ms, NowMs(), answered ? PhaseOf(result) : "no answer"});
        job->finished = true;
      });
    });
  }
}

void SoakCallers::Cancel(const JobPtr& job) {
  if (job->finished) return;
  if (!job->record.cancel_sent_ms) job->record.cancel_sent_ms = NowMs();
  Call(job, "DELETE", "", [this, job](const HttpResult& result) {
    // The submission may still be on its way; after 410 it must not take effect.
    const bool unknown = result.status == 410 && !job->record.accepted();
    if (result.error == ErrorKind::kNone && (result.status == 200 || unknown)) {
      job->record.cancelled_ms = NowMs();
      // No further attempt to submit it follows.
      if (!job->record.accepted()) job->finished = true;
    } else if (!job->finished) {
      RunAfter(kRetryMs, [this, job] { Cancel(job); });
    }
  });
}

std::size_t SoakCallers::open() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::count_if(
      jobs_.begin(), jobs_.end(), [](const auto& row) { return !row.second->finished; }));
}

std::size_t SoakCallers::accepted() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::count_if(
      jobs_.begin(), jobs_.end(), [](const auto& row) { return row.second->record.accepted(); }));
}

int SoakCallers::StatusWithKey(std::size_t entry, const std::string& key) {
  HttpClientRequest request;
  request.server = entries_[entry];
  request.target = kUrgentPrefix;
  request.headers["key"] = key;
  request.timeout = kCallTimeout;
  return http_.Fetch(std::move(request)).status;
}

void SoakCallers::Collect(SoakRecord& record) const {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, job] : jobs_) record.jobs[id] = job->record;
  record.broken_calls = broken_calls_;
}

}  // namespace basilspring::standin
