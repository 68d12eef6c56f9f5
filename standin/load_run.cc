#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <thread>

#include "basilspring/connection/http_client.h"
#include "basilspring/error.h"
#include "basilspring/process/io_thread.h"
#include "standin/load.h"

namespace basilspring::standin {
namespace {

namespace json = boost::json;

constexpr Duration kSubmitWait(20000);
constexpr Duration kPollWait(2000);
constexpr Duration kRetryDelay(300);
// Added to the wait time of the server, so that its answer can arrive.
constexpr Duration kAnswerMargin(5000);
// Time for which the outcome of an accepted request is polled.
constexpr Duration kFollowTimeout(60000);
constexpr int kMaxRetries = 2;

std::string Digest(const std::string& bytes) {
  return fmt::format("{:016x}", XXH64(bytes.data(), bytes.size(), 0));
}

// Returns the string in a field of a JSON body, or "" if there is none.
std::string BodyField(const std::string& body, const char* field) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* found = object == nullptr ? nullptr : object->if_contains(field);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : "";
}

std::string Header(const HttpResult& result, const std::string& name) {
  const auto header = result.headers.find(name);
  return header == result.headers.end() ? "" : header->second;
}

// One submission of a request whose result is pending.
struct ActiveSubmission {
  PlannedRequest plan;
  std::int64_t id = 0;
  std::size_t entry = 0;
  int retries = 0;
  std::string job;
  TimePoint follow_until;
};
using ActiveSubmissionPtr = std::shared_ptr<ActiveSubmission>;

// Sends the requests and records their results. All methods except the constructor and Run execute
// on the I/O thread.
class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadOptions& options) : options_(options), client_(io_, 64) {
    record_.open(options_.record_path, std::ios::app);
    if (!record_) {
      throw Error(ErrorKind::kNotFound, fmt::format("{} can't be written", options_.record_path));
    }
  }

  bool Run();

 private:
  void Submit(const PlannedRequest& plan, std::size_t entry, int retries);
  void OnSubmitted(const ActiveSubmissionPtr& submission, const HttpResult& result);
  /// Records the result of a submission; returns false if the job is still in progress.
  bool OnOutcome(const ActiveSubmissionPtr& submission, const HttpResult& result);
  void OnLost(const ActiveSubmissionPtr& submission, const HttpResult& result);
  void Cancel(const ActiveSubmissionPtr& submission);
  void PollOutcome(const ActiveSubmissionPtr& submission);
  void Record(const char* event, const ActiveSubmission& submission, json::object fields);
  const Address& Entry(std::size_t entry) const {
    return options_.entries[entry % options_.entries.size()];
  }

  LoadOptions options_;
  std::ofstream record_;
  std::int64_t next_id_ = 0;
  std::map<std::string, int> outcomes_;
  /// Submissions without a result; Run sets it to -1 when the outcomes are printed.
  std::atomic<int> pending_{0};
  IoThread io_;
  HttpClient client_;
};

void LoadGenerator::Record(const char* event, const ActiveSubmission& submission,
                           json::object fields) {
  fields["ms"] = Clock::Now().milliseconds();
  fields["event"] = event;
  fields["request"] = submission.id;
  fields["key"] = submission.plan.key;
  record_ << json::serialize(fields) << "\n" << std::flush;
}

void LoadGenerator::Submit(const PlannedRequest& plan, std::size_t entry, int retries) {
  auto submission = std::make_shared<ActiveSubmission>();
  submission->plan = plan;
  submission->id = ++next_id_;
  submission->entry = entry;
  submission->retries = retries;
  submission->follow_until = Clock::Now() + kFollowTimeout;
  const std::string expected = plan.ExpectedAnswer();
  Record("submitted", *submission,
         {{"entry", Entry(entry).ToString()},
          {"workspace", plan.workspace},
          {"class", plan.job_class},
          {"tasks", plan.tasks},
          {"accelerators", plan.accelerators},
          {"adjacent", plan.adjacent},
          {"idempotent", plan.idempotent},
          {"work_ms", plan.work_ms},
          {"expected_length", expected.size()},
          {"expected_digest", Digest(expected)}});
  // A request that will be cancelled waits only briefly, so that its job id is known early.
  const Duration wait = plan.cancel ? Duration(20) : kSubmitWait;
  HttpClientRequest request;
  request.server = Entry(entry);
  request.method = "POST";
  request.target = fmt::format(
      "/v1/jobs?workspace={}&key={}&class={}&tasks={}&cores={}&memory_mb={}&accelerators={}"
      "&adjacent={}&run_time_ms={}&idempotent={}&wait_ms={}",
      plan.workspace, plan.key, plan.job_class, plan.tasks, plan.cores, plan.memory_mb,
      plan.accelerators, plan.adjacent, std::max<std::int64_t>(plan.work_ms, 1), plan.idempotent,
      wait.milliseconds());
  request.body = plan.Payload();
  request.timeout = wait + kAnswerMargin;
  ++pending_;
  client_.Send(std::move(request),
               [this, submission](const HttpResult& result) { OnSubmitted(submission, result); });
}

void LoadGenerator::OnSubmitted(const ActiveSubmissionPtr& submission, const HttpResult& result) {
  if (result.error != ErrorKind::kNone) {
    OnLost(submission, result);
  } else if (!OnOutcome(submission, result)) {
    submission->job = BodyField(result.body, "job");
    if (submission->plan.cancel) Cancel(submission);
    PollOutcome(submission);
    return;
  }
  --pending_;
}

bool LoadGenerator::OnOutcome(const ActiveSubmissionPtr& submission, const HttpResult& result) {
  if (result.status == 200) {
    const std::string expected = submission->plan.ExpectedAnswer();
    const std::string lengths = Header(result, "basilspring-output-lengths");
    Record("answered", *submission,
           {{"status", result.status},
            {"length", result.body.size()},
            {"digest", Digest(result.body)},
            {"checksum_ok",
             LengthsMatch(lengths, result.body, submission->plan.tasks) &&
                 Header(result, "basilspring-checksum") == "xxh64=" + Digest(result.body)},
            {"job", Header(result, "basilspring-job")},
            {"exact", result.body == expected}});
    ++outcomes_["answered"];
    return true;
  }
  if (result.status == 202) return false;
  std::string job = BodyField(result.body, "job");
  if (job.empty()) job = submission->job;
  const std::string error = BodyField(result.body, "error");
  Record("refused", *submission,
         {{"status", result.status},
          {"error", error},
          {"outcome", BodyField(result.body, "outcome")},
          {"job", job},
          {"body", result.body.substr(0, 300)}});
  ++outcomes_["refused " + error];
  return true;
}

void LoadGenerator::OnLost(const ActiveSubmissionPtr& submission, const HttpResult& result) {
  Record("lost", *submission,
         {{"entry", Entry(submission->entry).ToString()},
          {"reached", result.error != ErrorKind::kConnectionLost},
          {"message", result.message}});
  ++outcomes_["lost"];
  if (submission->retries >= kMaxRetries) return;
  ++pending_;
  io_.PostAfter(kRetryDelay, [this, submission] {
    Submit(submission->plan, submission->entry + 1, submission->retries + 1);
    --pending_;
  });
}

void LoadGenerator::Cancel(const ActiveSubmissionPtr& submission) {
  Record("cancel_sent", *submission, {{"job", submission->job}});
  HttpClientRequest request;
  request.server = Entry(submission->entry);
  request.method = "DELETE";
  request.target = "/v1/jobs/" + submission->job;
  client_.Send(std::move(request), [this, submission](const HttpResult& result) {
    Record("cancel_answered", *submission,
           {{"job", submission->job},
            {"status", result.status},
            {"body", result.body.substr(0, 300)},
            {"message", result.message}});
  });
}

void LoadGenerator::PollOutcome(const ActiveSubmissionPtr& submission) {
  if (Clock::Now() > submission->follow_until || submission->job.empty()) {
    Record("abandoned", *submission, {{"job", submission->job}});
    ++outcomes_["abandoned"];
    --pending_;
    return;
  }
  HttpClientRequest request;
  request.server = Entry(submission->entry);
  request.target = fmt::format("/v1/jobs/{}?wait_ms={}", submission->job, kPollWait.milliseconds());
  request.timeout = kPollWait + kAnswerMargin;
  client_.Send(std::move(request), [this, submission](const HttpResult& result) {
    // An entry that is unreachable or doesn't know the job gives no information about its outcome.
    const bool no_information = result.error != ErrorKind::kNone ||
                                (result.status >= 400 && BodyField(result.body, "outcome").empty());
    if (!no_information && OnOutcome(submission, result)) {
      --pending_;
      return;
    }
    const bool kept_by_entry =
        submission->plan.job_class == "urgent" && submission->plan.idempotent;
    if (no_information && kept_by_entry) {
      // Only the entry that accepted an urgent idempotent job knows it. If that entry has lost it,
      // the caller submits it again.
      HttpResult lost = result;
      if (lost.error == ErrorKind::kNone) {
        lost.error = ErrorKind::kConnectionLost;
        lost.message = "the entry no longer knows the job";
      }
      OnLost(submission, lost);
      --pending_;
      return;
    }
    if (no_information) ++submission->entry;
    io_.PostAfter(kRetryDelay, [this, submission] { PollOutcome(submission); });
  });
}

bool LoadGenerator::Run() {
  const TimePoint begin = Clock::Now();
  const auto total =
      static_cast<std::uint64_t>(options_.rate * options_.duration.milliseconds() / 1000);
  for (std::uint64_t i = 0; i < total; ++i) {
    const TimePoint due = begin + Duration(static_cast<std::int64_t>(i * 1000 / options_.rate));
    const Duration left = due - Clock::Now();
    if (left > Duration(0)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(left.milliseconds()));
    }
    ++pending_;
    io_.Post([this, i] {
      const PlannedRequest plan = PlanRequest(options_, i);
      Submit(plan, plan.entry, 0);
      if (plan.repeat) Submit(plan, plan.entry + 1, 0);
      --pending_;
    });
  }
  const TimePoint limit = Clock::Now() + kFollowTimeout + kSubmitWait;
  while (pending_ > 0 && Clock::Now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  const bool done = pending_ == 0;
  io_.Post([this] {
    for (const auto& [outcome, count] : outcomes_) fmt::print("{:6} {}\n", count, outcome);
    std::fflush(stdout);
    pending_ = -1;
  });
  while (pending_ != -1) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  return done;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream input(text);
  for (std::string item; std::getline(input, item, ',');) items.push_back(item);
  return items;
}

std::vector<Address> LoopbackAddresses(const std::string& text) {
  std::vector<Address> addresses;
  for (const std::string& item : SplitList(text)) {
    addresses.push_back(Address::Parse(item));
    if (addresses.back().ip.rfind("127.", 0) != 0) {
      throw Error(ErrorKind::kInvalidArgument,
                  fmt::format("entry {} is not a loopback address", item));
    }
  }
  return addresses;
}

}  // namespace

int RunLoad(int argc, char** argv) {
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<int>;
  TCLAP::CmdLine command("Load generator that simulates callers", ' ', "0.1.0");
  Text entries("", "entries", "Entries", true, "", "IP:PORT,...", command);
  Text workspaces("", "workspaces", "Workspaces", true, "", "NAME,...", command);
  Text class_weights("", "mix", "Relative frequencies of urgent, batch and background", false,
                     "60,25,15", "N,N,N", command);
  Text record("", "record", "File to append to", true, "", "FILE", command);
  Number seed("", "seed", "Seed", false, 1, "N", command);
  Number seconds("", "seconds", "Seconds during which requests are sent", false, 30, "N", command);
  TCLAP::ValueArg<double> rate("", "rate", "Requests per second", false, 10, "N", command);
  Number gang("", "gang", "Percentage of gangs", false, 15, "N", command);
  Number non_idempotent("", "non-idempotent", "Non-idempotent requests, percent", false, 20, "N",
                        command);
  Number cancel("", "cancel", "Percentage of cancelled requests", false, 5, "N", command);
  Number repeat("", "repeat", "Percentage of requests sent twice", false, 10, "N", command);
  command.parse(argc, argv);
  LoadOptions options;
  options.entries = LoopbackAddresses(entries.getValue());
  options.workspaces = SplitList(workspaces.getValue());
  options.class_weights.clear();
  for (const std::string& share : SplitList(class_weights.getValue())) {
    options.class_weights.push_back(std::stod(share));
  }
  if (options.entries.empty() || options.workspaces.empty() || options.class_weights.size() != 3) {
    throw Error(
        ErrorKind::kInvalidArgument,
        "at least one entry, at least one workspace and three values of --mix are required");
  }
  options.seed = static_cast<std::uint64_t>(seed.getValue());
  options.duration = Duration::Seconds(seconds.getValue());
  options.rate = rate.getValue();
  options.gang_percent = gang.getValue();
  options.non_idempotent_percent = non_idempotent.getValue();
  options.cancel_percent = cancel.getValue();
  options.repeat_percent = repeat.getValue();
  options.record_path = record.getValue();
  return LoadGenerator(options).Run() ? 0 : 1;
}

}  // namespace basilspring::standin
