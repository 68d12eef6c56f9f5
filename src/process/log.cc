#include "basilspring/process/log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <ctime>
#include <mutex>

#include "basilspring/clock.h"
#include "basilspring/error.h"

namespace basilspring {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

std::atomic<int> lowest_level{static_cast<int>(LogLevel::kInfo)};

// Lines that a process writes per second on average, and in one burst. Further lines are dropped
// and counted.
constexpr std::int64_t kLinesPerSecond = 1000;
constexpr std::int64_t kBurstLines = 4000;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

/// Limits the rate of log lines with a token bucket. Not thread-safe.
class LineRateLimiter {
 public:
  /// Takes a token for one line; returns false if none is left.
  bool TryTakeToken(TimePoint now) {
    const std::int64_t elapsed = (now - last_refill_).milliseconds();
    const std::int64_t refill = elapsed * kLinesPerSecond / kMillisecondsPerSecond;
    if (refill > 0) {
      tokens_ = std::min(kBurstLines, tokens_ + refill);
      last_refill_ = now;
    }
    if (tokens_ == 0) return false;
    --tokens_;
    return true;
  }

 private:
  std::int64_t tokens_ = kBurstLines;
  TimePoint last_refill_;
};

struct Output {
  std::mutex mutex;
  LineRateLimiter rate_limiter;
  /// Lines dropped since the last line that was written.
  std::uint64_t dropped_lines = 0;
  /// Standard output for daemons. Standard error for commands, whose standard output is the result.
  int descriptor = STDERR_FILENO;
};

Output& SharedOutput() {
  static Output output;
  return output;
}

/// Whether a write to the descriptor would not block.
bool IsWritable(int descriptor) {
  pollfd poll_entry{descriptor, POLLOUT, 0};
  return ::poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
}

std::string& ProcessName() {
  static std::string name = "-";
  return name;
}

}  // namespace

LogLevel LogLevelFromName(std::string_view name) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) return static_cast<LogLevel>(i);
  }
  throw Error(ErrorKind::kInvalidArgument,
              fmt::format("log level is \"{}\"; allowed: debug, info, warning, error", name));
}

void ConfigureLog(LogLevel lowest, std::string process) {
  lowest_level.store(static_cast<int>(lowest));
  ProcessName() = std::move(process);
  SharedOutput().descriptor = STDOUT_FILENO;
}

void SetLogLevel(LogLevel lowest) { lowest_level.store(static_cast<int>(lowest)); }

bool LogEnabled(EventId event) { return EventLevel(event) >= lowest_level.load(); }

namespace {

std::string FormatLine(EventId event, std::string_view message) {
  const std::int64_t now = Clock::WallMilliseconds();
  const auto level = static_cast<std::size_t>(EventLevel(event));
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} [{} {}] process={} {}\n",
                     fmt::gmtime(static_cast<std::time_t>(now / kMillisecondsPerSecond)),
                     now % kMillisecondsPerSecond, kLevelNames[level], static_cast<int>(event),
                     EventName(event), ProcessName(), message);
}

}  // namespace

void WriteLog(EventId event, std::string_view message) {
  Output& output = SharedOutput();
  const std::lock_guard<std::mutex> lock(output.mutex);
  if (!output.rate_limiter.TryTakeToken(Clock::Now()) || !IsWritable(output.descriptor)) {
    ++output.dropped_lines;
    return;
  }
  std::string line;
  if (output.dropped_lines > 0) {
    line = FormatLine(EventId::kLogLinesLeftOut, fmt::format("lines={}", output.dropped_lines));
    output.dropped_lines = 0;
  }
  line += FormatLine(event, message);
  // A single write call keeps the line in one piece. A failed write can't be reported anywhere.
  const ssize_t written = ::write(output.descriptor, line.data(), line.size());
  static_cast<void>(written);
}

}  // namespace basilspring
