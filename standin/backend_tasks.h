#ifndef BASILSPRING_STANDIN_BACKEND_TASKS_H_
#define BASILSPRING_STANDIN_BACKEND_TASKS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "standin/backend_server.h"

namespace basilspring::standin {

enum class BackendTaskState : std::uint8_t { kRunning = 0, kDone, kFailed, kStopped };

/// A task as the stand-in backend server runs it.
struct BackendTask {
  std::string id;
  std::string job;
  std::uint32_t rank = 0;
  BackendTaskState state = BackendTaskState::kRunning;
  /// Output, or the reason of a failure or stop.
  std::string text;
  /// Reason with which the task fails when its work is done; empty if it succeeds.
  std::string fail_reason;
  bool resume = false;
  /// Total work, and the part that a checkpoint of an earlier attempt covers.
  std::int64_t work_ms = 0;
  std::int64_t resumed_ms = 0;
  /// Part of the work that the counters already include.
  std::int64_t counted_work_ms = 0;
  TimePoint started_at;
  TimePoint ends_at;
  TimePoint lease_until;

  /// Returns the milliseconds of work done by `now`, including the resumed part.
  std::int64_t Progress(TimePoint now) const;
};

/// Holds the tasks and counters of a stand-in backend server; performs no I/O.
class BackendTasks {
 public:
  struct StartRequest {
    std::string id;
    std::uint32_t rank = 0;
    Duration lease;
    TimePoint not_after;
    std::string payload;
  };

  explicit BackendTasks(std::uint32_t slots) : slots_(slots) {}

  /// The task with the requested id, which Start created if `is_new`; or, if `task` is null, the
  /// HTTP status and reason of the refusal.
  struct StartOutcome {
    BackendTask* task = nullptr;
    bool is_new = false;
    int status = 0;
    std::string reason;
  };
  StartOutcome Start(TimePoint now, const StartRequest& request, const BackendFault& fault);
  BackendTask* Find(const std::string& id);
  /// Ends the task if its work is done or its lease has expired at `now`.
  void Advance(TimePoint now, BackendTask& task);
  /// Returns the progress in milliseconds, and saves it if the task is running and resumable.
  std::int64_t Checkpoint(TimePoint now, BackendTask& task);
  void Stop(TimePoint now, BackendTask& task, const std::string& reason);

  std::string StatsJson() const;
  /// Returns the lines for the record file that were added since the last call.
  std::vector<std::string> TakeRecords() { return std::exchange(records_, {}); }

 private:
  void End(TimePoint now, BackendTask& task, BackendTaskState state, const std::string& reason);
  void Record(TimePoint now, const char* event, const std::string& task, const std::string& detail);

  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  std::map<std::string, BackendTask> tasks_;
  /// Ids of ended tasks, oldest first.
  std::deque<std::string> ended_;
  /// Saved progress by job and rank.
  std::map<std::pair<std::string, std::uint32_t>, std::int64_t> checkpoints_;
  /// Time in milliseconds and id of each started task, oldest first.
  std::deque<std::pair<std::int64_t, std::string>> starts_;
  std::int64_t completed_work_ms_ = 0;
  std::int64_t lost_work_ms_ = 0;
  std::uint64_t refused_late_ = 0;
  std::uint64_t refused_full_ = 0;
  std::vector<std::string> records_;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_BACKEND_TASKS_H_
