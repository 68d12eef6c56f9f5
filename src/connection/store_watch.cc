#include "connection/store_watch.h"

#include <cstddef>
#include <mutex>
#include <utility>

#include "basilspring/error.h"
#include "basilspring/process/log.h"
#include "connection/store_json.h"

namespace basilspring::internal {
namespace {

// A line of a watch stream holds at most a few values of one megabyte; a longer one means that the
// stream is corrupt.
constexpr std::size_t kMaxLineBytes = 16 * 1024 * 1024;

// State of one watch. All members except `mutex_` and `stopped_`, which it guards, are used only on
// the I/O thread.
class WatchSession : public std::enable_shared_from_this<WatchSession> {
 public:
  WatchSession(IoThread& io, HttpClient& http, WatchOptions options, WatchEventsHandler on_events,
               std::function<void()> on_reset)
      : io_(io),
        http_(http),
        options_(std::move(options)),
        on_events_(std::move(on_events)),
        on_reset_(std::move(on_reset)),
        next_revision_(options_.from_revision) {}

  void Start() {
    io_.Post([self = shared_from_this()] {
      self->Open();
      self->CheckSilence();
    });
  }

  // No handler runs after Stop has returned, because the mutex is held while a handler runs.
  void Stop() {
    {
      const std::lock_guard<std::recursive_mutex> lock(mutex_);
      stopped_ = true;
    }
    io_.Post([self = shared_from_this()] { self->stream_.reset(); });
  }

 private:
  void Open() {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (stopped_) return;
    const std::uint64_t generation = ++generation_;
    buffer_.clear();
    last_message_ = Clock::Now();
    HttpClientRequest request;
    request.server = options_.servers[generation % options_.servers.size()];
    request.method = "POST";
    request.target = "/v3/watch";
    request.headers["content-type"] = "application/json";
    request.body = WatchRequestJson(options_.prefix, next_revision_);
    request.fresh_connection = true;
    stream_ = http_.OpenStream(
        std::move(request),
        [self = shared_from_this(), generation](const std::string& data) {
          self->OnData(generation, data);
        },
        [self = shared_from_this(), generation](const HttpResult& result) {
          self->OnEnd(generation, result);
        });
  }

  void OnData(std::uint64_t generation, const std::string& data) {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (stopped_ || generation != generation_) return;
    last_message_ = Clock::Now();
    buffer_ += data;
    std::size_t begin = 0;
    for (std::size_t end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n', begin)) {
      const std::string line = buffer_.substr(begin, end - begin);
      begin = end + 1;
      if (!line.empty() && !OnLine(line)) return;
    }
    buffer_.erase(0, begin);
    if (buffer_.size() > kMaxLineBytes) Reopen("a message exceeds the limit");
  }

  // Returns false if the stream was replaced or stopped, so that the rest of the buffer is to be
  // ignored.
  bool OnLine(const std::string& line) {
    try {
      WatchMessage message = ParseWatchMessage(line);
      if (message.canceled) {
        Log(EventId::kWatchRestarted, "prefix={} reason=\"revision {} was compacted\"",
            options_.prefix, next_revision_);
        stopped_ = true;
        on_reset_();
        return false;
      }
      if (!message.events.empty()) {
        next_revision_ = message.revision + 1;
        on_events_(std::move(message.events), message.revision);
      }
      return !stopped_;
    } catch (const Error& error) {
      Reopen(error.what());
      return false;
    }
  }

  void OnEnd(std::uint64_t generation, const HttpResult& result) {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (stopped_ || generation != generation_) return;
    Reopen(result.message);
  }

  void Reopen(const std::string& reason) {
    if (!restart_logged_) {
      Log(EventId::kWatchRestarted, "prefix={} reason=\"{}\"", options_.prefix, reason);
    }
    // Logs one line for each outage, because a line for each attempt would fill the log.
    restart_logged_ = true;
    ++generation_;
    io_.PostAfter(options_.reopen_delay, [self = shared_from_this()] { self->Open(); });
  }

  void CheckSilence() {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (stopped_) return;
    const Duration silence = Clock::Now() - last_message_;
    if (silence < options_.silence_limit / 2) restart_logged_ = false;
    if (silence > options_.silence_limit) Reopen("the stream is silent");
    io_.PostAfter(options_.silence_limit / 4,
                  [self = shared_from_this()] { self->CheckSilence(); });
  }

  IoThread& io_;
  HttpClient& http_;
  WatchOptions options_;
  WatchEventsHandler on_events_;
  std::function<void()> on_reset_;
  std::int64_t next_revision_;
  std::uint64_t generation_ = 0;
  std::string buffer_;
  TimePoint last_message_;
  bool restart_logged_ = false;
  std::unique_ptr<HttpStream> stream_;
  // Recursive, because a handler may destroy the watch.
  std::recursive_mutex mutex_;
  bool stopped_ = false;
};

class WatchHandle : public StoreWatch {
 public:
  explicit WatchHandle(std::shared_ptr<WatchSession> session) : session_(std::move(session)) {}
  ~WatchHandle() override { session_->Stop(); }

 private:
  std::shared_ptr<WatchSession> session_;
};

}  // namespace

std::unique_ptr<StoreWatch> OpenWatch(IoThread& io, HttpClient& http, WatchOptions options,
                                      WatchEventsHandler on_events,
                                      std::function<void()> on_reset) {
  auto session = std::make_shared<WatchSession>(io, http, std::move(options), std::move(on_events),
                                                std::move(on_reset));
  session->Start();
  return std::make_unique<WatchHandle>(std::move(session));
}

}  // namespace basilspring::internal
