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

constexpr Duration kWait(20000);
constexpr Duration kPollWait(2000);
constexpr Duration kRetryDelay(300);
// Beyond the server's own wait, for the answer to arrive.
constexpr Duration kAnswerMargin(5000);
// How long a request that was accepted is followed.
constexpr Duration kFollow(60000);
constexpr int kMaxRetries = 2;

std::string Digest(const std::string& bytes) {
  return fmt::format("{:016x}", XXH64(bytes.data(), bytes.size(), 0));
}

// The text of a field of a JSON body, or "".
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

// One sending of a request.
struct Sending {
  PlannedRequest plan;
  std::int64_t id = 0;
  std::size_t entry = 0;
  int retries = 0;
  std::string job;
  TimePoint follow_until;
};
using SendingPtr = std::shared_ptr<Sending>;

// Everything but the constructor and `Run` runs on the I/O thread.
class Load {
 public:
  explicit Load(const LoadOptions& options) : options_(options), client_(io_, 64) {
    record_.open(options_.record_path, std::ios::app);
    if (!record_) {
      throw Error(ErrorKind::kNotFound, fmt::format("{} can't be written", options_.record_path));
    }
  }

  bool Run();

 private:
  void Submit(const PlannedRequest& plan, std::size_t entry, int retries);
  void OnSubmitted(const SendingPtr& sending, const HttpResult& result);
  /// Records the end of a sending; false when the job goes on.
  bool OnOutcome(const SendingPtr& sending, const HttpResult& result);
  void OnLost(const SendingPtr& sending, const HttpResult& result);
  void Cancel(const SendingPtr& sending);
  void Follow(const SendingPtr& sending);
  void Record(const char* event, const Sending& sending, json::object fields);
  const Address& Entry(std::size_t entry) const {
    return options_.entries[entry % options_.entries.size()];
  }

  LoadOptions options_;
  std::ofstream record_;
  std::int64_t next_id_ = 0;
  std::map<std::string, int> outcomes_;
  std::atomic<int> open_{0};
  IoThread io_;
  HttpClient client_;
};

void Load::Record(const char* event, const Sending& sending, json::object fields) {
  fields["ms"] = Clock::Now().milliseconds();
  fields["event"] = event;
  fields["request"] = sending.id;
  fields["key"] = sending.plan.key;
  record_ << json::serialize(fields) << "\n" << std::flush;
}

void Load::Submit(const PlannedRequest& plan, std::size_t entry, int retries) {
  auto sending = std::make_shared<Sending>();
  sending->plan = plan;
  sending->id = ++next_id_;
  sending->entry = entry;
  sending->retries = retries;
  sending->follow_until = Clock::Now() + kFollow;
  const std::string expected = plan.Expected();
  Record("submitted", *sending,
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
  // A request that shall be cancelled returns at once with its job id.
  const Duration wait = plan.cancel ? Duration(20) : kWait;
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
  ++open_;
  client_.Send(std::move(request),
               [this, sending](const HttpResult& result) { OnSubmitted(sending, result); });
}

void Load::OnSubmitted(const SendingPtr& sending, const HttpResult& result) {
  if (result.error != ErrorKind::kNone) {
    OnLost(sending, result);
  } else if (!OnOutcome(sending, result)) {
    sending->job = BodyField(result.body, "job");
    if (sending->plan.cancel) Cancel(sending);
    Follow(sending);
    return;
  }
  --open_;
}

bool Load::OnOutcome(const SendingPtr& sending, const HttpResult& result) {
  if (result.status == 200) {
    const std::string expected = sending->plan.Expected();
    const std::string lengths = Header(result, "basilspring-output-lengths");
    Record("answered", *sending,
           {{"status", result.status},
            {"length", result.body.size()},
            {"digest", Digest(result.body)},
            {"checksum_ok",
             LengthsMatch(lengths, result.body, sending->plan.tasks) &&
                 Header(result, "basilspring-checksum") == "xxh64=" + Digest(result.body)},
            {"job", Header(result, "basilspring-job")},
            {"exact", result.body == expected}});
    ++outcomes_["answered"];
    return true;
  }
  if (result.status == 202) return false;
  std::string job = BodyField(result.body, "job");
  if (job.empty()) job = sending->job;
  const std::string error = BodyField(result.body, "error");
  Record("refused", *sending,
         {{"status", result.status},
          {"error", error},
          {"outcome", BodyField(result.body, "outcome")},
          {"job", job},
          {"body", result.body.substr(0, 300)}});
  ++outcomes_["refused " + error];
  return true;
}

void Load::OnLost(const SendingPtr& sending, const HttpResult& result) {
  Record("lost", *sending,
         {{"entry", Entry(sending->entry).ToString()},
          {"reached", result.error != ErrorKind::kConnectionLost},
          {"message", result.message}});
  ++outcomes_["lost"];
  if (sending->retries >= kMaxRetries) return;
  ++open_;
  io_.PostAfter(kRetryDelay, [this, sending] {
    Submit(sending->plan, sending->entry + 1, sending->retries + 1);
    --open_;
  });
}

void Load::Cancel(const SendingPtr& sending) {
  Record("cancel_sent", *sending, {{"job", sending->job}});
  HttpClientRequest request;
  request.server = Entry(sending->entry);
  request.method = "DELETE";
  request.target = "/v1/jobs/" + sending->job;
  client_.Send(std::move(request), [this, sending](const HttpResult& result) {
    Record("cancel_answered", *sending,
           {{"job", sending->job},
            {"status", result.status},
            {"body", result.body.substr(0, 300)},
            {"message", result.message}});
  });
}

void Load::Follow(const SendingPtr& sending) {
  if (Clock::Now() > sending->follow_until || sending->job.empty()) {
    Record("abandoned", *sending, {{"job", sending->job}});
    ++outcomes_["abandoned"];
    --open_;
    return;
  }
  HttpClientRequest request;
  request.server = Entry(sending->entry);
  request.target = fmt::format("/v1/jobs/{}?wait_ms={}", sending->job, kPollWait.milliseconds());
  request.timeout = kPollWait + kAnswerMargin;
  client_.Send(std::move(request), [this, sending](const HttpResult& result) {
    // An entry that doesn't know the job, or isn't there, says nothing about it.
    const bool silent = result.error != ErrorKind::kNone ||
                        (result.status >= 400 && BodyField(result.body, "outcome").empty());
    if (!silent && OnOutcome(sending, result)) {
      --open_;
      return;
    }
    const bool kept_by_entry = sending->plan.job_class == "urgent" && sending->plan.idempotent;
    if (silent && kept_by_entry) {
      // Such a job is gone with the entry that accepted it; its caller sends it again.
      HttpResult lost = result;
      if (lost.error == ErrorKind::kNone) {
        lost.error = ErrorKind::kConnectionLost;
        lost.message = "the entry no longer knows the job";
      }
      OnLost(sending, lost);
      --open_;
      return;
    }
    if (silent) ++sending->entry;
    io_.PostAfter(kRetryDelay, [this, sending] { Follow(sending); });
  });
}

bool Load::Run() {
  const TimePoint begin = Clock::Now();
  const auto total =
      static_cast<std::uint64_t>(options_.rate * options_.length.milliseconds() / 1000);
  for (std::uint64_t i = 0; i < total; ++i) {
    const TimePoint due = begin + Duration(static_cast<std::int64_t>(i * 1000 / options_.rate));
    const Duration left = due - Clock::Now();
    if (left > Duration(0)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(left.milliseconds()));
    }
    ++open_;
    io_.Post([this, i] {
      const PlannedRequest plan = PlanRequest(options_, i);
      Submit(plan, plan.entry, 0);
      if (plan.repeat) Submit(plan, plan.entry + 1, 0);
      --open_;
    });
  }
  const TimePoint limit = Clock::Now() + kFollow + kWait;
  while (open_ > 0 && Clock::Now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  const bool done = open_ == 0;
  io_.Post([this] {
    for (const auto& [outcome, count] : outcomes_) fmt::print("{:6} {}\n", count, outcome);
    std::fflush(stdout);
    open_ = -1;
  });
  while (open_ != -1) std::this_thread::sleep_for(std::chrono::milliseconds(5));
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
  TCLAP::CmdLine command("Load of callers", ' ', "0.1.0");
  Text entries("", "entries", "Entries", true, "", "IP:PORT,...", command);
  Text workspaces("", "workspaces", "Workspaces", true, "", "NAME,...", command);
  Text mix("", "mix", "Shares of urgent, batch, background", false, "60,25,15", "N,N,N", command);
  Text record("", "record", "File to append to", true, "", "FILE", command);
  Number seed("", "seed", "Seed", false, 1, "N", command);
  Number seconds("", "seconds", "Time in which requests are sent", false, 30, "N", command);
  TCLAP::ValueArg<double> rate("", "rate", "Requests per second", false, 10, "N", command);
  Number gang("", "gang", "Gangs, percent", false, 15, "N", command);
  Number once("", "non-idempotent", "Non-idempotent, percent", false, 20, "N", command);
  Number cancel("", "cancel", "Cancelled, percent", false, 5, "N", command);
  Number repeat("", "repeat", "Sent twice, percent", false, 10, "N", command);
  command.parse(argc, argv);
  LoadOptions options;
  options.entries = LoopbackAddresses(entries.getValue());
  options.workspaces = SplitList(workspaces.getValue());
  options.mix.clear();
  for (const std::string& share : SplitList(mix.getValue())) {
    options.mix.push_back(std::stod(share));
  }
  if (options.entries.empty() || options.workspaces.empty() || options.mix.size() != 3) {
    throw Error(ErrorKind::kInvalidArgument,
                "an entry, a workspace and three shares of --mix are needed");
  }
  options.seed = static_cast<std::uint64_t>(seed.getValue());
  options.length = Duration::Seconds(seconds.getValue());
  options.rate = rate.getValue();
  options.gang_percent = gang.getValue();
  options.non_idempotent_percent = once.getValue();
  options.cancel_percent = cancel.getValue();
  options.repeat_percent = repeat.getValue();
  options.record_path = record.getValue();
  return Load(options).Run() ? 0 : 1;
}

}  // namespace basilspring::standin
