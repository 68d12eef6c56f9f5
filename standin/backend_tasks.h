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

struct BackendTask {
  std::string id;
  std::string job;
  std::uint32_t rank = 0;
  BackendTaskState state = BackendTaskState::kRunning;
  /// Output, or the reason of a failure.
  std::string text;
  std::string fail;
  bool resume = false;
  /// Work in milliseconds: all of it, and the part that an earlier attempt had done.
  std::int64_t work = 0;
  std::int64_t resumed = 0;
  /// Part of the work that the counters already contain.
  std::int64_t counted = 0;
  TimePoint started;
  TimePoint ends;
  TimePoint lease_until;

  std::int64_t Progress(TimePoint now) const;
};

/// The tasks and counters of a stand-in backend server, without I/O.
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

  /// The running task, which is a new one or the one with this id; or a status and a reason.
  struct StartOutcome {
    BackendTask* task = nullptr;
    bool is_new = false;
    int status = 0;
    std::string reason;
  };
  StartOutcome Start(TimePoint now, const StartRequest& request, const BackendFault& fault);
  BackendTask* Find(const std::string& id);
  /// Ends the task when its work is done or its lease has lapsed by now.
  void Advance(TimePoint now, BackendTask& task);
  /// Saves the progress and returns it.
  std::int64_t Checkpoint(TimePoint now, BackendTask& task);
  void Stop(TimePoint now, BackendTask& task, const std::string& reason);

  std::string StatsJson() const;
  /// Lines for the record file since the last call.
  std::vector<std::string> TakeRecords() { return std::exchange(records_, {}); }

 private:
  void End(TimePoint now, BackendTask& task, BackendTaskState state, const std::string& reason);
  void Record(TimePoint now, const char* event, const std::string& task, const std::string& detail);

  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  std::map<std::string, BackendTask> tasks_;
  /// Ended tasks, oldest first.
  std::deque<std::string> ended_;
  /// Saved progress by job and rank.
  std::map<std::pair<std::string, std::uint32_t>, std::int64_t> checkpoints_;
  std::deque<std::pair<std::int64_t, std::string>> starts_;
  std::int64_t completed_work_ = 0;
  std::int64_t lost_work_ = 0;
  std::uint64_t refused_late_ = 0;
  std::uint64_t refused_full_ = 0;
  std::vector<std::string> records_;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_BACKEND_TASKS_H_
