#include "basilspring/fleet/prefix_watch.h"

#include <algorithm>
#include <utility>

#include "basilspring/process/log.h"

namespace basilspring::fleet {
namespace {

// A connection can stop delivering answers without being closed. The watch is therefore renewed
// often enough to notice this within the time in which a change must take effect.
constexpr Duration kWatchWait(1200);
constexpr Duration kWatchTimeout(500);
constexpr Duration kReadTimeout(500);
constexpr Duration kInitialRetryDelay(50);
constexpr Duration kMaxRetryDelay(500);

}  // namespace

PrefixWatch::PrefixWatch(StoreAccess& store, Executor executor, std::string prefix, Handler handler)
    : store_(store),
      executor_(std::move(executor)),
      prefix_(std::move(prefix)),
      handler_(std::move(handler)) {}

PrefixWatch::~PrefixWatch() { *alive_ = false; }

void PrefixWatch::Start() {
  Stop();
  started_ = true;
  alive_ = std::make_shared<bool>(true);
  Load();
}

void PrefixWatch::Refresh() {
  if (!started_ || !loaded_) return;
  *alive_ = false;
  alive_ = std::make_shared<bool>(true);
  Watch(Duration(0));
}

void PrefixWatch::Stop() {
  *alive_ = false;
  started_ = false;
  idle_ = true;
  retry_delay_ = Duration();
}

void PrefixWatch::Tick(TimePoint now) {
  if (started_ && idle_ && now >= retry_at_) LoadPage();
}

void PrefixWatch::Load() {
  pages_ = Pages();
  LoadPage();
}

void PrefixWatch::LoadPage() {
  idle_ = false;
  StoreCall call = StoreCall::Range(prefix_, pages_.after_key);
  call.after_revision = std::max(revision_, pages_.revision);
  call.timeout = kReadTimeout;
  store_.Call(call, [this, alive = alive_](StoreReply reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kOk && IsUnfinishedPage(reply)) {
      reply.message = "an empty page, although more keys follow";
      ScheduleRetry(reply);
      return;
    }
    if (reply.status != StoreStatus::kOk) {
      ScheduleRetry(reply);
      return;
    }
    // Pages are read at different revisions. Watching from that of the first page repeats some
    // changes and misses none.
    if (pages_.revision == 0) pages_.revision = reply.revision;
    std::move(reply.items.begin(), reply.items.end(), std::back_inserter(pages_.items));
    if (reply.more) {
      pages_.after_key = pages_.items.back().key;
      LoadPage();
      return;
    }
    Pages read = std::exchange(pages_, Pages());
    loaded_ = true;
    revision_ = read.revision;
    current_at_ = Clock::Now();
    retry_delay_ = kInitialRetryDelay;
    handler_(std::move(read.items), true);
    if (*alive) Watch(kWatchWait);
  });
}

void PrefixWatch::Watch(Duration wait) {
  idle_ = false;
  StoreCall call = StoreCall::Watch(prefix_, revision_, wait);
  call.timeout = kWatchTimeout;
  store_.Call(call, [this, alive = alive_](StoreReply reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kHistoryLost) {
      Log(EventId::kFleetStore, "prefix={} revision={} history lost; reading all keys again",
          prefix_, revision_);
      Load();
      return;
    }
    if (reply.status == StoreStatus::kUnknown) {
      // The connection may have stopped delivering answers, or changes may be held back. Reading
      // all keys shows the current state.
      Log(EventId::kFleetStore, "prefix={} revision={} age_ms={} watch: {}; reading all keys",
          prefix_, revision_, (Clock::Now() - current_at_).milliseconds(), reply.message);
      Load();
      return;
    }
    if (reply.status != StoreStatus::kOk) {
      ScheduleRetry(reply);
      return;
    }
    revision_ = std::max(revision_, reply.revision);
    current_at_ = Clock::Now();
    retry_delay_ = kInitialRetryDelay;
    if (!reply.items.empty()) handler_(std::move(reply.items), false);
    if (*alive) Watch(kWatchWait);
  });
}

void PrefixWatch::ScheduleRetry(const StoreReply& reply) {
  Log(EventId::kFleetStore, "prefix={} revision={} age_ms={} status={} {}", prefix_, revision_,
      (Clock::Now() - current_at_).milliseconds(), StoreStatusName(reply.status), reply.message);
  idle_ = true;
  retry_delay_ = std::min(std::max(retry_delay_, kInitialRetryDelay) * 2, kMaxRetryDelay);
  retry_at_ = Clock::Now() + retry_delay_;
}

}  // namespace basilspring::fleet
