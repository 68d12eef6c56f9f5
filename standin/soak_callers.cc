#include "standin/soak_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "basilspring/clock.h"

namespace basilspring::standin {
namespace {

// How long a caller waits for an answer, as on the users' platform.
constexpr Duration kPatience(3000);
constexpr int kMostSubmits = 40;
constexpr std::int64_t kRetryMs = 400;
constexpr std::int64_t kCancelPercent = 12;
constexpr std::int64_t kGangPercent = 15;
constexpr std::int64_t kTwoStepsPercent = 15;

std::int64_t NowMs() { return Clock::Now().milliseconds(); }

std::string PhaseIn(const HttpResult& result) {
  if (result.status != 200) return std::to_string(result.status);
  boost::system::error_code error;
  const auto body = boost::json::parse(result.body, error);
  const auto* state = error || !body.is_object() ? nullptr : body.as_object().if_contains("state");
  return state == nullptr || !state->is_string() ? "unreadable" : state->as_string().c_str();
}

bool IsEnd(const std::string& phase) {
  return phase == "completed" || phase == "failed" || phase == "cancelled";
}

}  // namespace

struct SoakCallers::Job {
  SoakJob seen;
  std::string body;
  bool over = false;
};

SoakCallers::SoakCallers(IoThread& io, HttpClient& http, std::vector<Address> entries,
                         std::uint64_t seed)
    : io_(io), http_(http), entries_(std::move(entries)), random_(seed) {}

SoakCallers::~SoakCallers() {
  const std::lock_guard lock(mutex_);
  *alive_ = false;
}

std::uint64_t SoakCallers::Draw(std::uint64_t below) { return random_() % below; }

void SoakCallers::After(std::int64_t delay_ms, std::function<void()> function) {
  io_.PostAfter(Duration(delay_ms), [this, alive = alive_, function = std::move(function)] {
    if (!*alive) return;
    const std::lock_guard lock(mutex_);
    function();
  });
}

void SoakCallers::Call(const JobPtr& job, const std::string& method, const std::string& body,
                       std::function<void(const HttpResult&)> handler) {
  const std::size_t entry = Draw(entries_.size());
  HttpClientRequest request;
  request.server = entries_[entry];
  request.method = method;
  request.target = "/q/" + job->seen.id;
  request.headers["key"] = "secret";
  request.headers["content-type"] = "application/json";
  request.headers["timeout-ms"] = std::to_string(kPatience.milliseconds());
  request.body = body;
  request.timeout = kPatience;
  http_.Send(std::move(request), [this, alive = alive_, entry, sent_ms = NowMs(),
                                  handler = std::move(handler)](const HttpResult& result) {
    if (!*alive) return;
    const std::lock_guard lock(mutex_);
    const bool waited = NowMs() - sent_ms >= kPatience.milliseconds();
    if (result.error != ErrorKind::kNone && !waited) {
      broken_calls_.push_back({fmt::format("entry-{}", entry), sent_ms, NowMs()});
    }
    handler(result);
  });
}

void SoakCallers::SubmitOne() {
  const std::lock_guard lock(mutex_);
  auto job = std::make_shared<Job>();
  job->seen.id = fmt::format("{:016x}", next_job_++);
  job->seen.gang = Draw(100) < kGangPercent;
  const bool two_steps = !job->seen.gang && Draw(100) < kTwoStepsPercent;
  const std::uint64_t count = 1 + Draw(4);
  const std::uint64_t work_ms = Draw(4) == 0 ? 2000 + Draw(5000) : 50 + Draw(1200);
  job->seen.tasks = static_cast<int>(two_steps ? count + 1 : count);
  const std::string step =
      fmt::format(R"({{"count":{},"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":{}{}}})", count,
                  work_ms, job->seen.gang ? R"(,"gang":true)" : "");
  const std::string second =
      fmt::format(R"(,{{"count":1,"gpu":1,"estimate_ms":{},"after":[0]}})", work_ms);
  job->body =
      fmt::format(R"({{"spec":"{}","steps":[{}{}]}})", work_ms, step, two_steps ? second : "");
  jobs_[job->seen.id] = job;
  if (Draw(100) < kCancelPercent) {
    After(static_cast<std::int64_t>(100 + Draw(3000)), [this, job] { Cancel(job); });
  }
  Submit(job);
}

void SoakCallers::Submit(const JobPtr& job) {
  Call(job, "POST", job->body, [this, job](const HttpResult& result) {
    job->seen.submits.push_back(result.error == ErrorKind::kNone ? result.status : 0);
    const int status = job->seen.submits.back();
    if (status == 200) {
      After(static_cast<std::int64_t>(50 + Draw(500)), [this, job] { Look(job); });
    } else if (job->seen.submits.size() >= kMostSubmits) {
      job->over = true;
    } else {
      const auto found = result.headers.find("retry-after");
      const std::int64_t wait_ms =
          found == result.headers.end() ? kRetryMs : std::stoll(found->second) * 1000;
      After(wait_ms, [this, job] { Submit(job); });
    }
  });
}

void SoakCallers::Look(const JobPtr& job) {
  Call(job, "GET", "", [this, job, asked_ms = NowMs()](const HttpResult& result) {
    if (result.error == ErrorKind::kNone) {
      job->seen.looks.push_back({asked_ms, NowMs(), PhaseIn(result)});
    }
    const bool ended = !job->seen.looks.empty() && IsEnd(job->seen.looks.back().phase);
    // A few more looks after the end show whether it stays.
    const auto ends = std::count_if(job->seen.looks.begin(), job->seen.looks.end(),
                                    [](const SoakLook& look) { return IsEnd(look.phase); });
    job->over = ended;
    if (ends < 4) After(static_cast<std::int64_t>(200 + Draw(600)), [this, job] { Look(job); });
  });
}

void SoakCallers::Cancel(const JobPtr& job) {
  if (!job->seen.accepted() || job->over) return;
  if (!job->seen.cancel_sent_ms) job->seen.cancel_sent_ms = NowMs();
  Call(job, "DELETE", "", [this, job](const HttpResult& result) {
    if (result.error == ErrorKind::kNone && result.status == 200) {
      job->seen.cancelled_ms = NowMs();
    } else if (!job->over) {
      After(kRetryMs, [this, job] { Cancel(job); });
    }
  });
}

std::size_t SoakCallers::open() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [](const auto& row) { return !row.second->over; }));
}

int SoakCallers::StatusWithKey(std::size_t entry, const std::string& key) {
  HttpClientRequest request;
  request.server = entries_[entry];
  request.target = "/q/";
  request.headers["key"] = key;
  request.timeout = kPatience;
  return http_.Fetch(std::move(request)).status;
}

void SoakCallers::Collect(SoakRecord& record) const {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, job] : jobs_) record.jobs[id] = job->seen;
  record.broken_calls = broken_calls_;
}

}  // namespace basilspring::standin
