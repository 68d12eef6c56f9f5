#include "basilspring/fleet/scheduler_driver.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/leadership.h"
#include "basilspring/process/log.h"
#include "fleet/peer_call.h"

namespace basilspring::fleet {
namespace {

// Time before the end of the lease in which no run is started.
constexpr Duration kStartMargin(400);
// Longest time for which the answer to a report waits for the report's ends to be recorded.
constexpr Duration kReportWait(300);
// Covers all attempts that an agent makes at its backend server before it answers a batch.
constexpr Duration kOrderTimeout(2500);
constexpr Duration kAnnouncementTimeout(1000);
constexpr Duration kLoadRetry(100);
// Time in which the watch delivers an item of which an entry has sent a notice. Both travel at the
// same time, and a call to the store in another region takes about 30 ms.
constexpr Duration kNoticeGrace(60);
// A pass that takes longer is logged, at most once in this interval.
constexpr Duration kSlowPass(100);
constexpr Duration kSlowPassLogInterval(3000);

}  // namespace

SchedulerDriver::SchedulerDriver(Context context, Term term, std::int64_t leader_revision)
    : context_(std::move(context)),
      term_(term),
      leader_revision_(leader_revision),
      core_(context_.options, term, Clock::Now()) {
  LoadProgress();
  LoadAgents();
  inbox_ = std::make_unique<PrefixWatch>(
      context_.store, context_.executor, StoreKeys::kInbox,
      [this](const std::vector<StoreItem>& items, bool snapshot) { OnInbox(items, snapshot); });
}

SchedulerDriver::~SchedulerDriver() {
  *alive_ = false;
  for (WaitingReport& waiting : waiting_reports_) waiting.answer(waiting.reply);
}

bool SchedulerDriver::IsLeaseValid(TimePoint now) const { return now < context_.valid_until(); }

void SchedulerDriver::SetOperatorState(std::shared_ptr<const OperatorState> state) {
  config_version_ = state->config.version;
  core_.SetOperatorState(std::move(state));
  config_loaded_ = true;
  BecomeReadyIfLoaded();
}

void SchedulerDriver::LoadProgress() {
  loading_progress_ = true;
  const std::string prefix = StoreKeys::kProgress;
  const StoreCall call = StoreCall::Range(prefix, progress_after_key_);
  context_.store.Call(call, [this, alive = alive_, prefix](const StoreReply& reply) {
    if (!*alive) return;
    loading_progress_ = false;
    if (reply.status != StoreStatus::kOk || IsUnfinishedPage(reply)) {
      Log(EventId::kFleetStore, "prefix={} after={} status={} page not read: {}", prefix,
          progress_after_key_, StoreStatusName(reply.status), reply.message);
      load_retry_at_ = Clock::Now() + kLoadRetry;
      return;
    }
    if (!reply.items.empty()) progress_after_key_ = reply.items.back().key;
    for (const StoreItem& item : reply.items) {
      const JobId id(item.key.substr(prefix.size()));
      progress_revisions_[id] = item.revision;
      try {
        loaded_progress_[id] = DecodeJobProgress(item.value);
      } catch (const Error& error) {
        if (unreadable_records_.insert(id).second) {
          ReportUnreadable("record", item.key, error);
        }
      }
    }
    if (reply.more) {
      LoadProgress();
      return;
    }
    progress_loaded_ = true;
    // Jobs are read after the progress records, so a job without a record has no progress.
    inbox_->Start();
  });
}

void SchedulerDriver::LoadAgents() {
  StoreCall call = StoreCall::Get(StoreKeys::kAgents);
  call.AllowLargeAnswer();
  context_.store.Call(call, [this, alive = alive_](const StoreReply& reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kOk && !reply.items.empty()) {
      agents_revision_ = reply.items.front().revision;
      try {
        const auto rows =
            internal::DecodePeerBody<std::vector<ListedAgent>>(reply.items.front().value);
        for (const ListedAgent& row : rows) {
          agents_[row.node] = row.address;
          stored_agents_.insert(row.node);
          core_.ExpectAgent(row.node, row.address);
        }
      } catch (const Error& error) {
        core_.SetAgentsIncomplete();
        ReportUnreadable("agents", StoreKeys::kAgents, error);
      }
    } else if (reply.status != StoreStatus::kNotFound) {
      load_retry_at_ = Clock::Now() + kLoadRetry;
      return;
    }
    agents_loaded_ = true;
    BecomeReadyIfLoaded();
  });
}

void SchedulerDriver::BecomeReadyIfLoaded() {
  if (ready_ || !progress_loaded_ || !agents_loaded_ || !inbox_loaded_ || !config_loaded_) return;
  ready_ = true;
  // The records also name agents that may have runs. The list lacks them if it can't be read, or if
  // an earlier scheduler could not read it and wrote it anew.
  for (const auto& [id, progress] : loaded_progress_) {
    for (const StepProgress& step : progress.steps) {
      for (const NodeId& node : step.agents) {
        if (agents_.count(node) == 0) core_.ExpectAgent(node, Address());
      }
    }
  }
  std::erase_if(loaded_progress_,
                [this](const auto& row) { return job_revisions_.count(row.first) != 0; });
  Log(EventId::kFleetScheduler, "term={} ready members={} jobs_revision={} config={}",
      term_.value(), agents_.size(), inbox_->revision(), config_version_);
  // Once agents know the new scheduler, they report to it at once and refuse the orders of older
  // ones.
  for (const auto& [node, address] : agents_) {
    OrderBatch announcement;
    announcement.term = term_;
    announcement.scheduler = context_.own_address;
    internal::CallPeer<OrderBatchReply>(context_.peers, address, announcement, kAnnouncementTimeout,
                                        [](const std::optional<OrderBatchReply>&) {});
  }
  RunPass(Clock::Now());
}

void SchedulerDriver::OnInbox(const std::vector<StoreItem>& items, bool snapshot) {
  const std::string jobs = StoreKeys::kJobs;
  const std::string cancels = StoreKeys::kCancels;
  for (const StoreItem& item : items) {
    if (item.removed) continue;
    if (item.key.rfind(cancels, 0) == 0) {
      const JobId id(item.key.substr(cancels.size()));
      if (IsOlderThanRemoval(id, item)) continue;
      std::int64_t& known = cancel_revisions_[id];
      // Reading the inbox again is not a repeated cancellation.
      if (item.revision > std::exchange(known, std::max(known, item.revision))) {
        core_.CancelJob(id);
      }
    } else if (item.key.rfind(jobs, 0) == 0) {
      const JobId id(item.key.substr(jobs.size()));
      if (IsOlderThanRemoval(id, item)) continue;
      ForgetFormerJob(id, item.revision);
      AddJob(id, item);
    }
  }
  std::erase_if(removal_revisions_,
                [this](const auto& row) { return row.second <= inbox_->revision(); });
  if (snapshot) inbox_loaded_ = true;
  BecomeReadyIfLoaded();
  if (ready_) RequestPass();
}

void SchedulerDriver::OnInboxNotice(const InboxNotice& notice) {
  if (!inbox_loaded_ || notice.revision <= inbox_->revision()) return;
  noticed_revision_ = std::max(noticed_revision_, notice.revision);
  if (notice_check_pending_) return;
  notice_check_pending_ = true;
  context_.run_later(kNoticeGrace, [this, alive = alive_] {
    if (!*alive) return;
    notice_check_pending_ = false;
    if (inbox_->revision() >= noticed_revision_) return;
    Log(EventId::kFleetStore,
        "term={} inbox_revision={} noticed_revision={} age_ms={} the watch lacks a stored item; "
        "asking for changes",
        term_.value(), inbox_->revision(), noticed_revision_,
        (Clock::Now() - inbox_->current_at()).milliseconds());
    context_.metrics
        .GetCounter("basilspring_inbox_notices_ahead_total", "",
                    "Times when entries had stored an item that the watch did not deliver.")
        .Add();
    inbox_->Refresh();
  });
}

void SchedulerDriver::AddJob(const JobId& id, const StoreItem& item) {
  const TimePoint now = Clock::Now();
  const std::int64_t wall_ms = Clock::WallMilliseconds();
  const std::int64_t record_revision = RecordRevision(id);
  // A job that is known already keeps its revision.
  job_revisions_.emplace(id, item.revision);
  try {
    JobSpec spec = DecodeJobSpec(item.value);
    if (unreadable_records_.count(id) != 0) {
      core_.AddUnreadableJob(now, wall_ms, std::move(spec), record_revision);
      return;
    }
    const auto found = loaded_progress_.find(id);
    std::optional<JobProgress> progress;
    if (found != loaded_progress_.end()) progress = found->second;
    core_.AddJob(now, wall_ms, std::move(spec), progress, record_revision);
  } catch (const Error& error) {
    if (unreadable_jobs_.insert(id).second) ReportUnreadable("job", item.key, error);
    const auto found = loaded_progress_.find(id);
    JobSpec unknown;
    unknown.id = id;
    if (found != loaded_progress_.end() && IsFinal(static_cast<JobPhase>(found->second.phase))) {
      core_.AddJob(now, wall_ms, std::move(unknown), found->second, record_revision);
    } else {
      core_.AddUnreadableJob(now, wall_ms, std::move(unknown), record_revision);
    }
  }
}

void SchedulerDriver::ReportUnreadable(const std::string& kind, const std::string& key,
                                       const Error& error) {
  context_.metrics
      .GetCounter("basilspring_unreadable_items_total", fmt::format("kind=\"{}\"", kind),
                  "Items of the scheduler in the store that could not be read.")
      .Add();
  Log(EventId::kFleetStore, "term={} key={} can't be decoded: {}", term_.value(), key,
      error.what());
}

bool SchedulerDriver::IsOlderThanRemoval(const JobId& job, const StoreItem& item) const {
  const auto found = removal_revisions_.find(job);
  return found != removal_revisions_.end() && item.revision < found->second;
}

void SchedulerDriver::Tick(TimePoint now) {
  if (inbox_ && progress_loaded_) inbox_->Tick(now);
  if (!ready_) {
    if (load_retry_at_ != TimePoint() && now >= load_retry_at_) {
      load_retry_at_ = TimePoint();
      if (!progress_loaded_ && !loading_progress_) LoadProgress();
      if (!agents_loaded_) LoadAgents();
    }
    return;
  }
  if (now >= pass_pacing_.NextWithoutEvent()) RunPass(now);
}

void SchedulerDriver::RequestPass() {
  if (pass_scheduled_) return;
  const TimePoint now = Clock::Now();
  const TimePoint earliest = pass_pacing_.EarliestAfterEvent();
  if (now >= earliest) {
    RunPass(now);
    return;
  }
  pass_scheduled_ = true;
  context_.run_later(earliest - now, [this, alive = alive_] {
    if (!*alive) return;
    pass_scheduled_ = false;
    RunPass(Clock::Now());
  });
}

void SchedulerDriver::RunPass(TimePoint now) {
  if (!ready_) return;
  const bool may_start = now < context_.valid_until() - kStartMargin;
  SchedulerOutput out = core_.Tick(now, Clock::WallMilliseconds(), may_start);
  for (const Decision& decision : out.decisions) {
    Log(EventId::kFleetDecision, "term={} {}", term_.value(), decision.text);
  }
  for (OutgoingOrders& orders : out.orders) SendOrders(std::move(orders));
  for (ProgressSave& save : out.saves) {
    if (!save.remove) continue;
    const auto cancel = cancel_revisions_.find(save.job);
    if (cancel != cancel_revisions_.end()) save.cancel_revision = cancel->second;
    save.job_revision = JobRevision(save.job);
    save.record_revision = RecordRevision(save.job);
  }
  std::move(out.saves.begin(), out.saves.end(), std::back_inserter(save_queue_));
  Save();
  SaveAgents();
  AnswerWaitingReports(now);
  RecordPass(now, Clock::Now());
}

void SchedulerDriver::RecordPass(TimePoint began, TimePoint ended) {
  pass_pacing_.OnPass(began, ended);
  context_.metrics.GetHistogram("basilspring_pass_ms", "", "Time of a scheduling pass.")
      .Observe(ended - began);
  if (ended - began < kSlowPass || ended - slow_pass_logged_at_ < kSlowPassLogInterval) return;
  slow_pass_logged_at_ = ended;
  Log(EventId::kFleetDecision, "term={} pass_ms={} steps_ready={} slow scheduling pass",
      term_.value(), (ended - began).milliseconds(), core_.counts().steps_ready);
}

void SchedulerDriver::SendOrders(OutgoingOrders orders) {
  orders.message.scheduler = context_.own_address;
  const std::uint64_t batch = orders.batch;
  internal::CallPeer<OrderBatchReply>(
      context_.peers, orders.agent, orders.message, kOrderTimeout,
      [this, alive = alive_, batch,
       sent = Clock::Now()](const std::optional<OrderBatchReply>& reply) {
        if (!*alive) return;
        const TimePoint now = Clock::Now();
        context_.metrics
            .GetHistogram("basilspring_order_ms", reply ? "answered=\"yes\"" : "answered=\"no\"",
                          "Time from sending a batch of orders to its answer.")
            .Observe(now - sent);
        if (reply && reply->term > term_) {
          context_.superseded("an agent knows a newer term");
          return;
        }
        core_.OnOrdersAnswered(now, batch, reply);
        RequestPass();
      },
      TargetOf(orders.message));
}

void SchedulerDriver::OnReport(const AgentReport& report,
                               std::function<void(AgentReportReply)> answer) {
  const TimePoint now = Clock::Now();
  AgentReportReply refusal;
  refusal.term = term_;
  refusal.scheduler = context_.own_address;
  if (report.term > term_) {
    answer(refusal);
    context_.superseded("an agent knows a newer term");
    return;
  }
  if (!ready_ || !IsLeaseValid(now)) {
    answer(refusal);
    return;
  }
  // The address of a late report may be outdated.
  agents_.try_emplace(report.node, report.address);
  if (stored_agents_.count(report.node) == 0) {
    // An agent must be in the stored list before it gets runs, so that a successor knows it.
    SaveAgents();
    answer(refusal);
    return;
  }
  AgentReportReply reply = core_.OnReport(now, report);
  reply.scheduler = context_.own_address;
  if (!reply.accepted) {
    answer(reply);
    return;
  }
  agents_[report.node] = report.address;
  if (report.ended.empty() || !core_.HasUnsavedEnds(report.node)) {
    answer(reply);
  } else {
    waiting_reports_.push_back({report.node, now + kReportWait, reply, std::move(answer)});
  }
  RequestPass();
}

void SchedulerDriver::AnswerWaitingReports(TimePoint now) {
  for (auto it = waiting_reports_.begin(); it != waiting_reports_.end();) {
    if (core_.HasUnsavedEnds(it->node) && now < it->until) {
      ++it;
      continue;
    }
    it->reply.acknowledged = core_.AcknowledgedEnd(it->node);
    it->answer(it->reply);
    it = waiting_reports_.erase(it);
  }
}

JobQueryReply SchedulerDriver::OnQuery(const JobQuery& query) const {
  return ready_ ? core_.AnswerQuery(query.job, IsLeaseValid(Clock::Now())) : JobQueryReply();
}

SummaryReply SchedulerDriver::OnSummary(const SummaryQuery& query) {
  SummaryReply reply;
  reply.accepted = IsActive();
  reply.term = term_;
  reply.scheduler = context_.own_address;
  reply.queues = core_.Summaries();
  reply.shapes = core_.Shapes(Clock::Now());
  entries_[query.node] = query.address;
  for (const auto& [node, address] : entries_) reply.peers.push_back(address);
  reply.peers.push_back(context_.own_address);
  return reply;
}

}  // namespace basilspring::fleet
