#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/leadership.h"
#include "basilspring/fleet/scheduler_driver.h"
#include "basilspring/process/log.h"
#include "fleet/peer_call.h"

// Writes of the scheduler to the store: job records and the list of agents.
namespace basilspring::fleet {
namespace {

// A transaction of the store may have 32 entries: the condition on the leader key, and for each
// record a condition and a write, or three conditions and three removals.
constexpr std::size_t kMaxTransactionEntries = 31;
constexpr std::size_t kEntriesPerSave = 2;
constexpr std::size_t kEntriesPerRemoval = 6;
constexpr Duration kSaveTimeout(1000);
constexpr Duration kSaveRetry(100);
// Time until a list of agents that the store rejected is written again.
constexpr Duration kRejectedAgentsRetry(5000);

/// Returns the revision that a refused transaction shows for the key; 0 if the key does not exist.
std::int64_t RevisionIn(const StoreReply& reply, const std::string& key) {
  const auto found = std::find_if(reply.items.begin(), reply.items.end(),
                                  [&](const StoreItem& item) { return item.key == key; });
  return found == reply.items.end() ? 0 : found->revision;
}

}  // namespace

void SchedulerDriver::Save() {
  if (saving_ || save_queue_.empty() || Clock::Now() < save_not_before_) return;
  StoreCall call = StoreCall::Transaction().If(Leadership::LeaderKey(), leader_revision_);
  call.timeout = kSaveTimeout;
  auto batch = std::make_shared<std::vector<ProgressSave>>();
  std::size_t entries = 0;
  while (!save_queue_.empty()) {
    const bool alone = save_alone_.count(save_queue_.front().job) != 0;
    if (alone && !batch->empty()) break;
    const bool remove = save_queue_.front().remove;
    entries += remove ? kEntriesPerRemoval : kEntriesPerSave;
    if (entries > kMaxTransactionEntries) break;
    ProgressSave save = std::move(save_queue_.front());
    save_queue_.erase(save_queue_.begin());
    const std::string key = StoreKeys::Progress(save.job);
    if (remove) {
      // What was acknowledged after the decision must outlast the removal, also if the store
      // carries it out late: a cancellation, and a job that was accepted anew under the same id.
      const std::string job = StoreKeys::Job(save.job);
      const std::string cancel = StoreKeys::Cancel(save.job);
      call.If(cancel, save.cancel_revision).If(job, save.job_revision);
      call.If(key, save.record_revision).Remove(job).Remove(cancel).Remove(key);
      removals_sent_.insert(save.job);
    } else {
      save.record_revision = RecordRevision(save.job);
      call.If(key, save.record_revision).Set(key, save.bytes);
    }
    batch->push_back(std::move(save));
    if (alone) break;
  }
  saving_ = true;
  context_.store.Call(
      call, [this, alive = alive_, batch, sent = Clock::Now()](const StoreReply& reply) {
        if (!*alive) return;
        saving_ = false;
        context_.metrics
            .GetHistogram("basilspring_record_write_ms",
                          fmt::format("status=\"{}\"", StoreStatusName(reply.status)),
                          "Time to write a batch of job records to the store.")
            .Observe(Clock::Now() - sent);
        if (reply.status == StoreStatus::kConflict) {
          OnSaveRefused(*batch, reply);
          return;
        }
        if (reply.status == StoreStatus::kRejected) {
          OnSaveRejected(*batch, reply);
          return;
        }
        if (reply.status != StoreStatus::kOk) {
          LogNotSaved(*batch, reply);
          // The inbox may have shown meanwhile that a removal was carried out.
          std::erase_if(*batch, [this](const ProgressSave& save) {
            return save.remove && removals_sent_.count(save.job) == 0;
          });
          // Repeating the write is safe, because only the holder of the lease writes these keys.
          save_queue_.insert(save_queue_.begin(), batch->begin(), batch->end());
          save_not_before_ = Clock::Now() + kSaveRetry;
          return;
        }
        for (const ProgressSave& save : *batch) {
          save_alone_.erase(save.job);
          LogSaved(save, reply.revision);
          if (save.remove) {
            ForgetRemovedJob(save.job, reply.revision);
          } else {
            progress_revisions_[save.job] = reply.revision;
            core_.OnSaved(save.job, save.version);
          }
        }
        AnswerWaitingReports(Clock::Now());
        RequestPass();
      });
}

std::int64_t SchedulerDriver::RecordRevision(const JobId& job) const {
  const auto known = progress_revisions_.find(job);
  return known == progress_revisions_.end() ? 0 : known->second;
}

void SchedulerDriver::LogSaved(const ProgressSave& save, std::int64_t revision) const {
  if (save.remove) {
    Log(EventId::kFleetStore, "term={} job={} revision={} keys removed", term_.value(),
        save.job.value(), revision);
  } else {
    Log(EventId::kFleetStore,
        "term={} job={} version={} revision={} phase={} done={} record stored", term_.value(),
        save.job.value(), save.version, revision, JobPhaseName(save.phase), save.done_tasks);
  }
}

void SchedulerDriver::LogNotSaved(const std::vector<ProgressSave>& batch,
                                  const StoreReply& reply) const {
  Log(EventId::kFleetStore, "records={} not saved: {} {}", batch.size(),
      StoreStatusName(reply.status), reply.message);
  if (reply.status != StoreStatus::kUnknown) return;
  for (const ProgressSave& save : batch) {
    if (save.remove) {
      Log(EventId::kFleetStore,
          "term={} job={} job_revision={} cancel_revision={} record_revision={} removal not "
          "answered",
          term_.value(), save.job.value(), save.job_revision, save.cancel_revision,
          save.record_revision);
    } else {
      Log(EventId::kFleetStore,
          "term={} job={} version={} known_revision={} phase={} done={} record write not "
          "answered",
          term_.value(), save.job.value(), save.version, save.record_revision,
          JobPhaseName(save.phase), save.done_tasks);
    }
  }
}

std::int64_t SchedulerDriver::JobRevision(const JobId& job) const {
  const auto known = job_revisions_.find(job);
  return known == job_revisions_.end() ? 0 : known->second;
}

void SchedulerDriver::ForgetRemovedJob(const JobId& job, std::int64_t revision) {
  removals_sent_.erase(job);
  std::erase_if(save_queue_,
                [&](const ProgressSave& save) { return save.remove && save.job == job; });
  if (JobRevision(job) >= revision) return;
  job_revisions_.erase(job);
  progress_revisions_.erase(job);
  loaded_progress_.erase(job);
  unreadable_records_.erase(job);
  unreadable_jobs_.erase(job);
  removal_revisions_[job] = revision;
  core_.OnRemoved(job);
  const auto cancel = cancel_revisions_.find(job);
  if (cancel != cancel_revisions_.end() && cancel->second > revision) {
    // The inbox has shown a cancellation that is later than the deletion.
    core_.CancelJob(job);
  } else {
    cancel_revisions_.erase(job);
  }
}

void SchedulerDriver::ForgetFormerJob(const JobId& job, std::int64_t revision) {
  if (removals_sent_.count(job) == 0) return;
  // An entry stores a job only if neither the job nor a cancellation of it exists.
  const std::int64_t known = JobRevision(job);
  const auto cancel = cancel_revisions_.find(job);
  const bool job_removed = known != 0 && known < revision;
  const bool cancel_removed =
      known == 0 && cancel != cancel_revisions_.end() && cancel->second < revision;
  if (!job_removed && !cancel_removed) return;
  Log(EventId::kFleetStore, "term={} job={} revision={} former_revision={} accepted anew",
      term_.value(), job.value(), revision, known);
  ForgetRemovedJob(job, revision);
}

bool SchedulerDriver::PrepareRepeatedRemoval(ProgressSave& save, const StoreReply& reply) {
  const std::int64_t job = RevisionIn(reply, StoreKeys::Job(save.job));
  const std::int64_t cancel = RevisionIn(reply, StoreKeys::Cancel(save.job));
  const std::int64_t record = RevisionIn(reply, StoreKeys::Progress(save.job));
  if (job != 0 && job != save.job_revision) {
    Log(EventId::kFleetStore,
        "term={} job={} revision={} former_revision={} was accepted anew; its keys are kept",
        term_.value(), save.job.value(), job, save.job_revision);
    ForgetRemovedJob(save.job, job);
    return false;
  }
  if (cancel != 0 && cancel != save.cancel_revision) {
    Log(EventId::kFleetStore, "job={} was cancelled again; its keys are kept", save.job.value());
    core_.OnRemovalRefused(save.job);
    return false;
  }
  // Keys that are gone were removed by an earlier attempt that was not answered.
  save.cancel_revision = cancel;
  save.job_revision = job;
  save.record_revision = record;
  return true;
}

bool SchedulerDriver::ShowsNewLeader(const StoreReply& reply) const {
  return RevisionIn(reply, Leadership::LeaderKey()) != leader_revision_;
}

void SchedulerDriver::OnSaveRefused(const std::vector<ProgressSave>& batch,
                                    const StoreReply& reply) {
  if (ShowsNewLeader(reply)) {
    context_.superseded("another process holds the leader key");
    return;
  }
  // The store has applied an earlier write that it did not answer. Overwrite it on condition of
  // the revision that the reply shows.
  std::vector<ProgressSave> repeated;
  for (ProgressSave save : batch) {
    if (save.remove) {
      if (PrepareRepeatedRemoval(save, reply)) repeated.push_back(std::move(save));
      continue;
    }
    progress_revisions_[save.job] = RevisionIn(reply, StoreKeys::Progress(save.job));
    Log(EventId::kFleetStore, "job={} record was at another revision; retrying with revision {}",
        save.job.value(), progress_revisions_[save.job]);
    repeated.push_back(std::move(save));
  }
  save_queue_.insert(save_queue_.begin(), repeated.begin(), repeated.end());
  Save();
}

void SchedulerDriver::OnSaveRejected(const std::vector<ProgressSave>& batch,
                                     const StoreReply& reply) {
  CountRejectedWrite("record");
  for (const ProgressSave& save : batch) {
    Log(EventId::kFleetStore, "term={} job={} bytes={} records={} the store rejects the record: {}",
        term_.value(), save.job.value(), save.bytes.size(), batch.size(), reply.message);
    save_alone_.insert(save.job);
  }
  if (batch.size() > 1) {
    // Each record by itself shows which of them the store rejects.
    save_queue_.insert(save_queue_.begin(), batch.begin(), batch.end());
  } else {
    core_.OnSaveRejected(Clock::Now(), batch.front().job);
  }
  Save();
  AnswerWaitingReports(Clock::Now());
  RequestPass();
}

void SchedulerDriver::CountRejectedWrite(const std::string& kind) {
  context_.metrics
      .GetCounter("basilspring_rejected_writes_total", fmt::format("kind=\"{}\"", kind),
                  "Writes of the scheduler whose content the store did not accept.")
      .Add();
}

void SchedulerDriver::SaveAgents() {
  const bool missing = std::any_of(agents_.begin(), agents_.end(), [&](const auto& row) {
    return stored_agents_.count(row.first) == 0;
  });
  if (!missing || saving_agents_ || Clock::Now() < save_agents_not_before_) return;
  saving_agents_ = true;
  std::vector<ListedAgent> rows;
  auto written = std::make_shared<std::set<NodeId>>();
  for (const auto& [node, address] : agents_) {
    rows.push_back({node, address});
    written->insert(node);
  }
  StoreCall call = StoreCall::Transaction()
                       .If(Leadership::LeaderKey(), leader_revision_)
                       .If(StoreKeys::kAgents, agents_revision_)
                       .Set(StoreKeys::kAgents, internal::EncodePeerBody(rows));
  call.timeout = kSaveTimeout;
  context_.store.Call(call, [this, alive = alive_, written](const StoreReply& reply) {
    if (!*alive) return;
    saving_agents_ = false;
    if (reply.status == StoreStatus::kRejected) {
      CountRejectedWrite("agents");
      Log(EventId::kFleetStore, "term={} agents={} the store rejects the list of agents: {}",
          term_.value(), written->size(), reply.message);
      save_agents_not_before_ = Clock::Now() + kRejectedAgentsRetry;
    } else if (reply.status == StoreStatus::kOk) {
      stored_agents_ = *written;
      agents_revision_ = reply.revision;
    } else if (reply.status == StoreStatus::kConflict && ShowsNewLeader(reply)) {
      context_.superseded("another process holds the leader key");
    } else if (reply.status == StoreStatus::kConflict) {
      agents_revision_ = RevisionIn(reply, StoreKeys::kAgents);
    }
  });
}

}  // namespace basilspring::fleet
