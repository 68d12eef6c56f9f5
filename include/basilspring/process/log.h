#ifndef BASILSPRING_PROCESS_LOG_H_
#define BASILSPRING_PROCESS_LOG_H_

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>

#include "basilspring/process/log_events.h"

namespace basilspring {

enum class LogLevel : int { kDebug = 0, kInfo = 1, kWarning = 2, kError = 3 };

/// Returns the level named debug, info, warning or error. Throws Error(kInvalidArgument) for any
/// other name.
LogLevel LogLevelFromName(std::string_view name);

/// Sets the lowest level that is written and the process name that each line contains. From then
/// on, lines go to standard output instead of standard error.
void ConfigureLog(LogLevel lowest, std::string process);

/// Changes the lowest level that is written. Callable from any thread.
void SetLogLevel(LogLevel lowest);

/// Writes one line with time, level, event number and name, process name and message, with a single
/// system call, so that lines of several threads don't interleave. Never waits for the reader of
/// the output: lines beyond the rate limit, and lines that the output can't currently accept, are
/// dropped and counted. The same system call that writes the next line writes a line with that
/// count before it.
void WriteLog(EventId event, std::string_view message);

/// Whether lines of the event's level are written.
bool LogEnabled(EventId event);

/// Formats and writes one line. Skips the formatting if the event's level is not written.
template <typename... Args>
void Log(EventId event, fmt::format_string<Args...> format, Args&&... args) {
  if (LogEnabled(event)) WriteLog(event, fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_LOG_H_
