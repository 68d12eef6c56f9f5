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

// Lines a second that a process writes on average, and in one burst; more are left out and counted.
constexpr std::int64_t kLinesPerSecond = 1000;
constexpr std::int64_t kBurstLines = 4000;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

/// Bounds the lines of a process. One thread at a time.
class LineBudget {
 public:
  bool Take(TimePoint now) {
    const std::int64_t elapsed = (now - refilled_).milliseconds();
    const std::int64_t earned = elapsed * kLinesPerSecond / kMillisecondsPerSecond;
    if (earned > 0) {
      left_ = std::min(kBurstLines, left_ + earned);
      refilled_ = now;
    }
    if (left_ == 0) return false;
    --left_;
    return true;
  }

 private:
  std::int64_t left_ = kBurstLines;
  TimePoint refilled_;
};

struct Output {
  std::mutex mutex;
  LineBudget budget;
  std::uint64_t left_out = 0;
  /// Standard output of daemons; of commands, whose output is their answer, standard error.
  int descriptor = STDERR_FILENO;
};

Output& TheOutput() {
  static Output output;
  return output;
}

/// Whether a line can be written without waiting for the reader.
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
  TheOutput().descriptor = STDOUT_FILENO;
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
  Output& output = TheOutput();
  const std::lock_guard<std::mutex> lock(output.mutex);
  if (!output.budget.Take(Clock::Now()) || !IsWritable(output.descriptor)) {
    ++output.left_out;
    return;
  }
  std::string line;
  if (output.left_out > 0) {
    line = FormatLine(EventId::kLogLinesLeftOut, fmt::format("lines={}", output.left_out));
    output.left_out = 0;
  }
  line += FormatLine(event, message);
  // One write call keeps the line whole; a failed write can't be reported anywhere.
  const ssize_t written = ::write(output.descriptor, line.data(), line.size());
  static_cast<void>(written);
}

}  // namespace basilspring
