#include "standin/backend_tasks.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

namespace basilspring::standin {
namespace {

// Memory bounds; when one is exceeded, the oldest entries are dropped.
constexpr std::size_t kMaxEndedTasks = 4096;
constexpr std::size_t kMaxStartsKept = 100000;
// Bytes of the output that are recorded with a start; the history checker identifies the request by
// them.
constexpr std::size_t kMaxRecordedOutput = 64;

std::string StringField(const boost::json::object& object, const char* field) {
  const boost::json::value* value = object.if_contains(field);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Sets the work and the result of the task from its payload.
void ParsePayload(const std::string& payload, BackendTask& task) {
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(payload, error);
  const boost::json::object* object = error ? nullptr : value.if_object();
  const boost::json::value* work_ms = object == nullptr ? nullptr : object->if_contains("work_ms");
  const std::int64_t milliseconds =
      work_ms == nullptr ? std::int64_t{-1} : work_ms->to_number<std::int64_t>(error);
  if (error || milliseconds < 0) {
    task.text = payload;
    return;
  }
  task.work_ms = milliseconds;
  task.text = StringField(*object, "output");
  task.fail_reason = StringField(*object, "fail");
  const boost::json::value* resume = object->if_contains("resume");
  task.resume = resume != nullptr && resume->is_bool() && resume->get_bool();
}

}  // namespace

std::int64_t BackendTask::Progress(TimePoint now) const {
  return std::min(work_ms, resumed_ms + (now - started_at).milliseconds());
}

BackendTasks::StartOutcome BackendTasks::Start(TimePoint now, const StartRequest& request,
                                               const BackendFault& fault) {
  if (BackendTask* known = Find(request.id)) return {known, false, 0, ""};
  if (now > request.not_after) {
    ++refused_late_;
    Record(now, "refused", request.id, "late");
    return {nullptr, false, 410, "the start came after not_after"};
  }
  if (running_ >= slots_) {
    ++refused_full_;
    Record(now, "refused", request.id, "full");
    return {nullptr, false, 503, "all slots are in use"};
  }
  BackendTask& task = tasks_[request.id];
  task.id = request.id;
  task.job = request.id.substr(0, request.id.find('#'));
  task.rank = request.rank;
  ParsePayload(request.payload, task);
  task.work_ms += fault.slow.milliseconds();
  const auto saved = checkpoints_.find({task.job, task.rank});
  if (task.resume && saved != checkpoints_.end()) {
    task.resumed_ms = std::min(saved->second, task.work_ms);
    task.counted_work_ms = task.resumed_ms;
  }
  task.started_at = now;
  task.ends_at = now + Duration(task.work_ms - task.resumed_ms);
  task.lease_until = now + request.lease;
  ++running_;
  starts_.emplace_back(now.milliseconds(), task.id);
  if (starts_.size() > kMaxStartsKept) starts_.pop_front();
  Record(now, "start", task.id, task.text.substr(0, kMaxRecordedOutput));
  if (fault.fail_all) {
    End(now, task, BackendTaskState::kFailed, "the stand-in fails all tasks");
  } else {
    Advance(now, task);
  }
  return {&task, true, 0, ""};
}

BackendTask* BackendTasks::Find(const std::string& id) {
  const auto task = tasks_.find(id);
  return task == tasks_.end() ? nullptr : &task->second;
}

void BackendTasks::Advance(TimePoint now, BackendTask& task) {
  if (task.state != BackendTaskState::kRunning) return;
  // During a freeze both the end of the work and the lease may pass; the earlier one decides.
  if (now >= task.ends_at && task.ends_at <= task.lease_until) {
    const bool failed = !task.fail_reason.empty();
    End(now, task, failed ? BackendTaskState::kFailed : BackendTaskState::kDone, task.fail_reason);
  } else if (now >= task.lease_until) {
    Stop(now, task, "the lease has lapsed");
  }
}

std::int64_t BackendTasks::Checkpoint(TimePoint now, BackendTask& task) {
  const std::int64_t progress = task.Progress(now);
  if (task.resume && task.state == BackendTaskState::kRunning) {
    checkpoints_[{task.job, task.rank}] = progress;
    completed_work_ms_ += progress - task.counted_work_ms;
    task.counted_work_ms = progress;
  }
  return progress;
}

void BackendTasks::Stop(TimePoint now, BackendTask& task, const std::string& reason) {
  if (task.state == BackendTaskState::kRunning) End(now, task, BackendTaskState::kStopped, reason);
}

void BackendTasks::End(TimePoint now, BackendTask& task, BackendTaskState state,
                       const std::string& reason) {
  const std::int64_t progress = task.Progress(now);
  if (state == BackendTaskState::kDone) {
    completed_work_ms_ += task.work_ms - task.counted_work_ms;
    checkpoints_.erase({task.job, task.rank});
  } else {
    lost_work_ms_ += progress - task.counted_work_ms;
    task.text = reason;
  }
  task.state = state;
  --running_;
  constexpr const char* kStateNames[] = {"running", "done", "failed", "stopped"};
  Record(now, "end", task.id, kStateNames[static_cast<std::size_t>(state)]);
  ended_.push_back(task.id);
  if (ended_.size() > kMaxEndedTasks) {
    tasks_.erase(ended_.front());
    ended_.pop_front();
  }
}

std::string BackendTasks::StatsJson() const {
  boost::json::array starts;
  for (const auto& [time, task] : starts_) {
    starts.push_back(boost::json::object{{"time_ms", time}, {"task", task}});
  }
  return boost::json::serialize(boost::json::object{{"started", std::move(starts)},
                                                    {"running", running_},
                                                    {"completed_work_ms", completed_work_ms_},
                                                    {"lost_work_ms", lost_work_ms_},
                                                    {"refused_late", refused_late_},
                                                    {"refused_full", refused_full_}});
}

void BackendTasks::Record(TimePoint now, const char* event, const std::string& task,
                          const std::string& detail) {
  records_.push_back(boost::json::serialize(boost::json::object{
      {"ms", now.milliseconds()}, {"event", event}, {"task", task}, {"detail", detail}}));
}

}  // namespace basilspring::standin
