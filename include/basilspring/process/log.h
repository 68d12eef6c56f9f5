#ifndef BASILSPRING_PROCESS_LOG_H_
#define BASILSPRING_PROCESS_LOG_H_

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>

#include "basilspring/process/log_events.h"

namespace basilspring {

enum class LogLevel : int { kDebug = 0, kInfo = 1, kWarning = 2, kError = 3 };

/// Throws Error(kInvalidArgument) when no level has this name (debug, info, warning, error).
LogLevel LogLevelFromName(std::string_view name);

/// Sets the lowest level that is written and the process name that stands in each line. From then
/// on lines go to standard output instead of standard error.
void ConfigureLog(LogLevel lowest, std::string process);

/// Changes the lowest level that is written; from any thread.
void SetLogLevel(LogLevel lowest);

/// Writes one line: time, level, event number and name, process, message. One write call a line, so
/// that lines of several threads don't mix. Never waits: lines beyond a rate, and lines that the
/// reader does not take, are left out, and the next line that is written tells how many.
void WriteLog(EventId event, std::string_view message);

/// Whether the event's level is written at all; skips formatting when it is not.
bool LogEnabled(EventId event);

template <typename... Args>
void Log(EventId event, fmt::format_string<Args...> format, Args&&... args) {
  if (LogEnabled(event)) WriteLog(event, fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_LOG_H_
