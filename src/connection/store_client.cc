#include "basilspring/connection/store_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <mutex>
#include <random>
#include <utility>

#include "basilspring/connection/http_client.h"
#include "basilspring/error.h"
#include "basilspring/process/log.h"
#include "connection/store_json.h"
#include "connection/store_watch.h"

namespace basilspring {
namespace {

enum class CallKind { kRead, kWrite };

// Number of retries that are allowed before any call has succeeded, and the maximum that successful
// calls can accumulate.
constexpr int kRetryBurst = 20;

struct CallOutcome {
  std::string body;
  /// Whether an earlier attempt of the call may have taken effect although its response was lost.
  bool retried_after_unknown = false;
};

/// Parses the answer to a call that the store has answered. An answer that can't be read does not
/// show what the store has done.
template <typename Result>
Result ParseAnswer(Result (*parse)(const std::string&), const CallOutcome& outcome, CallKind kind) {
  try {
    return parse(outcome.body);
  } catch (const Error& error) {
    throw Error(
        kind == CallKind::kWrite ? ErrorKind::kStoreOutcomeUnknown : ErrorKind::kStoreUnavailable,
        error.what());
  }
}

}  // namespace

class StoreClient::Impl {
 public:
  Impl(IoThread& io, HttpClient& http, StoreOptions options)
      : io_(io), http_(http), options_(std::move(options)), random_(options_.seed) {
    if (options_.servers.empty()) {
      throw Error(ErrorKind::kInvalidArgument, "the store client needs at least one server");
    }
  }

  CallOutcome Call(const std::string& path, const std::string& body, CallKind kind, bool retry);

  IoThread& io() { return io_; }
  HttpClient& http() { return http_; }
  const StoreOptions& options() const { return options_; }
  Address CurrentServer() const {
    return options_.servers[server_.load() % options_.servers.size()];
  }

  std::atomic<std::uint64_t> calls{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> failures{0};
  std::atomic<std::uint64_t> read_backs{0};

 private:
  bool TakeRetryToken();
  void OnSuccess();
  Duration Backoff(int attempt);
  [[noreturn]] void Fail(const std::string& path, const HttpResult& last, bool outcome_unknown);

  IoThread& io_;
  HttpClient& http_;
  StoreOptions options_;
  std::atomic<std::size_t> server_{0};
  std::atomic<bool> reachable_{true};

  std::mutex mutex_;
  std::mt19937_64 random_;
  /// Retries that are currently allowed, in hundredths.
  int retry_tokens_ = kRetryBurst * 100;
};

bool StoreClient::Impl::TakeRetryToken() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (retry_tokens_ < 100) return false;
  retry_tokens_ -= 100;
  return true;
}

void StoreClient::Impl::OnSuccess() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    retry_tokens_ = std::min(retry_tokens_ + options_.retry_percent, kRetryBurst * 100);
  }
  if (!reachable_.exchange(true)) {
    Log(EventId::kStoreRecovered, "store={}", CurrentServer().ToString());
  }
}

Duration StoreClient::Impl::Backoff(int attempt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::int64_t limit = options_.max_first_retry_pause.milliseconds() << std::min(attempt, 5);
  return Duration(std::uniform_int_distribution<std::int64_t>(limit / 2, limit)(random_));
}

void StoreClient::Impl::Fail(const std::string& path, const HttpResult& last,
                             bool outcome_unknown) {
  failures.fetch_add(1);
  const std::string reason =
      last.error == ErrorKind::kNone ? fmt::format("status {}", last.status) : last.message;
  if (reachable_.exchange(false)) {
    Log(EventId::kStoreCallFailed, "call={} reason=\"{}\"", path, reason);
  }
  throw Error(outcome_unknown ? ErrorKind::kStoreOutcomeUnknown : ErrorKind::kStoreUnavailable,
              fmt::format("store call {}: {}", path, reason));
}

CallOutcome StoreClient::Impl::Call(const std::string& path, const std::string& body, CallKind kind,
                                    bool retry) {
  const TimePoint deadline = Clock::Now() + options_.call_deadline;
  bool outcome_unknown = false;
  for (int attempt = 0;; ++attempt) {
    calls.fetch_add(1);
    HttpClientRequest request;
    request.server = CurrentServer();
    request.method = "POST";
    request.target = path;
    request.headers["content-type"] = "application/json";
    request.body = body;
    request.timeout = std::min(options_.attempt_timeout, deadline - Clock::Now());
    request.fresh_connection = attempt > 0;
    HttpResult result = http_.Fetch(std::move(request));
    if (result.error == ErrorKind::kNone && result.status == 200) {
      OnSuccess();
      return {std::move(result.body), outcome_unknown};
    }
    // An error status does not prove that a write had no effect, since the server may have failed
    // after it.
    outcome_unknown =
        outcome_unknown || (kind == CallKind::kWrite && result.error != ErrorKind::kConnectionLost);
    server_.fetch_add(1);
    const Duration pause = Backoff(attempt);
    const bool in_time = Clock::Now() + pause < deadline;
    if (!retry || !in_time || !TakeRetryToken()) Fail(path, result, outcome_unknown);
    retries.fetch_add(1);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(pause.milliseconds()));
  }
}

StoreClient::StoreClient(IoThread& io, HttpClient& http, StoreOptions options)
    : impl_(std::make_shared<Impl>(io, http, std::move(options))) {}

StoreClient::~StoreClient() = default;

RangeResult StoreClient::Get(const std::string& key) {
  const std::string body = internal::RangeRequestJson(key, "", 0);
  return ParseAnswer(internal::ParseRangeResponse,
                     impl_->Call("/v3/kv/range", body, CallKind::kRead, true), CallKind::kRead);
}

RangeResult StoreClient::List(const std::string& prefix, std::size_t limit,
                              const std::string& from) {
  const std::string body =
      internal::RangeRequestJson(from.empty() ? prefix : from, internal::PrefixEnd(prefix), limit);
  return ParseAnswer(internal::ParseRangeResponse,
                     impl_->Call("/v3/kv/range", body, CallKind::kRead, true), CallKind::kRead);
}

TxnResult StoreClient::Txn(const std::vector<StoreCondition>& conditions,
                           const std::vector<StoreWrite>& writes,
                           const std::vector<std::string>& read_on_failure) {
  const PutKey* first_put = nullptr;
  for (const StoreWrite& write : writes) {
    if (first_put == nullptr) first_put = std::get_if<PutKey>(&write);
  }
  std::vector<std::string> reads = read_on_failure;
  // Read last, so that it can be distinguished from the keys that the caller asked for.
  if (first_put != nullptr) reads.push_back(first_put->key);
  const CallOutcome outcome = impl_->Call(
      "/v3/kv/txn", internal::TxnRequestJson(conditions, writes, reads), CallKind::kWrite, true);
  TxnResult result = ParseAnswer(internal::ParseTxnResponse, outcome, CallKind::kWrite);
  if (result.succeeded || first_put == nullptr) return result;
  if (!result.found.empty() && result.found.back().key == first_put->key) {
    const StoreKeyValue stored = std::move(result.found.back());
    result.found.pop_back();
    if (outcome.retried_after_unknown && stored.value == first_put->value) {
      impl_->read_backs.fetch_add(1);
      Log(EventId::kStoreReadBack, "key={} revision={}", stored.key, stored.mod_revision);
      result.succeeded = true;
      result.revision = stored.mod_revision;
    }
  }
  return result;
}

std::int64_t StoreClient::GrantLease(Duration time_to_live) {
  // The API takes whole seconds; rounded up, because a lease must not be shorter than requested.
  const std::int64_t seconds =
      std::max<std::int64_t>(1, (time_to_live.milliseconds() + 999) / 1000);
  // If the response to a grant is lost, the store keeps a lease that nothing refers to; it expires
  // by itself.
  return ParseAnswer(
      internal::ParseLeaseGrant,
      impl_->Call("/v3/lease/grant", internal::LeaseGrantJson(seconds), CallKind::kWrite, true),
      CallKind::kWrite);
}

bool StoreClient::KeepAlive(std::int64_t lease) {
  const std::string body = internal::LeaseIdJson(lease);
  return ParseAnswer(internal::ParseKeepAlive,
                     impl_->Call("/v3/lease/keepalive", body, CallKind::kWrite, false),
                     CallKind::kWrite) > 0;
}

void StoreClient::RevokeLease(std::int64_t lease) {
  impl_->Call("/v3/lease/revoke", internal::LeaseIdJson(lease), CallKind::kWrite, true);
}

std::unique_ptr<StoreWatch> StoreClient::Watch(
    const std::string& prefix, std::int64_t from_revision,
    std::function<void(std::vector<StoreEvent>, std::int64_t revision)> on_events,
    std::function<void()> on_reset) {
  internal::WatchOptions options;
  options.servers = impl_->options().servers;
  options.prefix = prefix;
  options.from_revision = from_revision;
  return internal::OpenWatch(impl_->io(), impl_->http(), std::move(options), std::move(on_events),
                             std::move(on_reset));
}

StoreCounters StoreClient::counters() const {
  return {impl_->calls.load(), impl_->retries.load(), impl_->failures.load(),
          impl_->read_backs.load()};
}

}  // namespace basilspring
