#ifndef BASILSPRING_FLEET_SCHEDULER_DRIVER_H_
#define BASILSPRING_FLEET_SCHEDULER_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilspring/error.h"
#include "basilspring/fleet/fleet_config.h"
#include "basilspring/fleet/pass_pacing.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/fleet/prefix_watch.h"
#include "basilspring/fleet/scheduler_core.h"
#include "basilspring/fleet/store_access.h"
#include "basilspring/process/metrics.h"

namespace basilspring::fleet {

/// Keys and key prefixes of the persistent state in the store.
struct StoreKeys {
  /// Prefix of what entries write for the scheduler: accepted jobs and cancellations.
  static constexpr const char* kInbox = "basilspring/in/";
  static constexpr const char* kJobs = "basilspring/in/job/";
  static constexpr const char* kCancels = "basilspring/in/cancel/";
  /// Prefix of the scheduler's records of the jobs' progress, one for each job.
  static constexpr const char* kProgress = "basilspring/progress/";
  /// Key of the list of agents that may have runs.
  static constexpr const char* kAgents = "basilspring/members";

  static std::string Job(const JobId& id) { return kJobs + id.value(); }
  static std::string Cancel(const JobId& id) { return kCancels + id.value(); }
  static std::string Progress(const JobId& id) { return kProgress + id.value(); }
};

/// An agent in the stored list of agents that may have runs.
struct ListedAgent {
  NodeId node;
  Address address;
  BASILSPRING_SERIALIZE(node, address)
};

/// Drives the SchedulerCore in one term of the lease: reads the stored jobs and records, passes
/// events to the core, and carries out the core's decisions. Used only on the thread that owns the
/// process's state.
class SchedulerDriver {
 public:
  struct Context {
    StoreAccess& store;
    PeerClient& peers;
    MetricRegistry& metrics;
    Executor executor;
    /// Runs a function on the same thread after a delay.
    std::function<void(Duration, std::function<void()>)> run_later;
    Address own_address;
    SchedulerOptions options;
    /// Returns the time until which the lease is valid.
    std::function<TimePoint()> valid_until;
    /// Called with the reason when a store conflict or an agent shows that this scheduler was
    /// superseded by a newer holder of the lease.
    std::function<void(const std::string&)> superseded;
  };

  /// `leader_revision` is the revision of the leader key. Each transaction is conditional on it and
  /// so fails once this process no longer holds the lease in the store.
  SchedulerDriver(Context context, Term term, std::int64_t leader_revision);
  ~SchedulerDriver();
  SchedulerDriver(const SchedulerDriver&) = delete;
  SchedulerDriver& operator=(const SchedulerDriver&) = delete;

  /// Sets the operators' configuration. The first call must pass one that was read after the lease
  /// was acquired; the scheduler is not active before.
  void SetOperatorState(std::shared_ptr<const OperatorState> state);
  /// Starts loading again after a failure and runs a scheduling pass if one is due; call it
  /// periodically.
  void Tick(TimePoint now);

  /// Handles an agent's report. Answers once the ends of runs that the report lists are recorded in
  /// the store, or after a short time even if they are not.
  void OnReport(const AgentReport& report, std::function<void(AgentReportReply)> answer);
  JobQueryReply OnQuery(const JobQuery& query) const;
  /// Asks the store for changes of the inbox if the watch has not delivered the item shortly after
  /// the notice, because its connection may have stopped delivering answers.
  void OnInboxNotice(const InboxNotice& notice);
  /// Answers an entry's query for the queues, the worker shapes and the peers, and adds the entry
  /// to the peers through which other processes can relay store calls.
  SummaryReply OnSummary(const SummaryQuery& query);

  const SchedulerCore& core() const { return core_; }
  /// Whether the scheduler has read all jobs and the configuration and holds a valid lease, so that
  /// its state is current.
  bool IsActive() const { return ready_ && IsLeaseValid(Clock::Now()); }
  Term term() const { return term_; }

 private:
  /// A report whose answer is delayed until the ends in it are recorded.
  struct WaitingReport {
    NodeId node;
    TimePoint until;
    AgentReportReply reply;
    std::function<void(AgentReportReply)> answer;
  };

  /// Reads the jobs' records that follow `progress_after_key_`, page by page.
  void LoadProgress();
  void LoadAgents();
  /// Announces the scheduler to the agents and starts scheduling, once everything is loaded.
  void BecomeReadyIfLoaded();
  /// Handles items of the inbox: all that exist if `snapshot` is true, otherwise changes.
  void OnInbox(const std::vector<StoreItem>& items, bool snapshot);
  /// Adds an accepted job from the store.
  void AddJob(const JobId& id, const StoreItem& item);
  /// Logs and counts a stored item that can't be read; `kind` is the label of the counter.
  void ReportUnreadable(const std::string& kind, const std::string& key, const Error& error);
  /// Whether the item was read before the job's keys were deleted.
  bool IsOlderThanRemoval(const JobId& job, const StoreItem& item) const;
  /// Lets the core decide and carries out its decisions.
  void RunPass(TimePoint now);
  void RecordPass(TimePoint began, TimePoint ended);
  /// Runs a pass now, or as soon as the pacing of passes allows.
  void RequestPass();
  void SendOrders(OutgoingOrders orders);
  /// Writes queued records to the store, as many as fit in one transaction.
  void Save();
  /// Return the known revision of the job's record, and of the accepted job; 0 if none is known.
  std::int64_t RecordRevision(const JobId& job) const;
  std::int64_t JobRevision(const JobId& job) const;
  /// Forgets the job whose keys were deleted at or before `revision`, unless a job that was
  /// accepted anew under its id has been read.
  void ForgetRemovedJob(const JobId& job, std::int64_t revision);
  /// Forgets the former job or cancellation of this id if a job that was accepted at `revision`
  /// shows that the deletion of its keys was carried out without an answer.
  void ForgetFormerJob(const JobId& job, std::int64_t revision);
  /// Handles a refused deletion. Returns whether to send it again, with the revisions that are
  /// then set in `save`.
  bool PrepareRepeatedRemoval(ProgressSave& save, const StoreReply& reply);
  /// Logs what was stored or removed for one job.
  void LogSaved(const ProgressSave& save, std::int64_t revision) const;
  /// Logs a batch that was not stored. If the outcome is unknown, each job gets a line, because the
  /// store may still carry out the write.
  void LogNotSaved(const std::vector<ProgressSave>& batch, const StoreReply& reply) const;
  /// Handles a transaction that failed on a condition. Either this process no longer holds the
  /// lease, or a record has a newer revision because an earlier write was applied without an
  /// answer, or a job whose keys were to be deleted was cancelled again or accepted anew. In the
  /// last cases the batch is written again, without such deletions.
  void OnSaveRefused(const std::vector<ProgressSave>& batch, const StoreReply& reply);
  /// Handles a transaction whose content the store does not accept. The records of a batch are
  /// written again, each by itself; a single record is set aside, so that it stops no others.
  void OnSaveRejected(const std::vector<ProgressSave>& batch, const StoreReply& reply);
  void CountRejectedWrite(const std::string& kind);
  /// Writes the list of agents if the stored list lacks an agent.
  void SaveAgents();
  /// Whether a refused transaction shows that this process no longer holds the lease.
  bool ShowsNewLeader(const StoreReply& reply) const;
  /// Answers the reports whose listed ends are recorded, or which have waited long enough.
  void AnswerWaitingReports(TimePoint now);
  bool IsLeaseValid(TimePoint now) const;

  Context context_;
  Term term_;
  std::int64_t leader_revision_;
  SchedulerCore core_;
  std::unique_ptr<PrefixWatch> inbox_;
  /// Progress records that were read at the start of the term. Once all jobs are loaded, only those
  /// are kept whose jobs have not been read.
  std::map<JobId, JobProgress> loaded_progress_;
  /// Jobs whose record can't be read.
  std::set<JobId> unreadable_records_;
  /// Jobs whose specification can't be read.
  std::set<JobId> unreadable_jobs_;
  /// Revision of each job's record. Each write is conditional on it, so that a write whose answer
  /// was lost can't replace a later one if the store applies it late.
  std::map<JobId, std::int64_t> progress_revisions_;
  /// Revision at which each job was accepted. The deletion of a job's keys is conditional on it and
  /// on that of the record, so that it deletes no job that was accepted anew under the same id.
  std::map<JobId, std::int64_t> job_revisions_;
  /// Jobs and cancellations whose deletion was sent to the store and may have been carried out.
  std::set<JobId> removals_sent_;
  /// Revisions at which the keys of jobs were deleted, until the inbox is known up to them.
  std::map<JobId, std::int64_t> removal_revisions_;
  /// Revision of each job's cancellation, as far as the inbox has shown it. The deletion of a job's
  /// keys is conditional on it, so that it deletes no cancellation that was acknowledged later.
  std::map<JobId, std::int64_t> cancel_revisions_;
  /// Version of the operators' configuration that the scheduler uses; 0 if it knows none.
  std::int64_t config_version_ = 0;
  std::int64_t agents_revision_ = 0;
  /// Highest revision of the inbox of which an entry has sent a notice, and whether a check of it
  /// is pending.
  std::int64_t noticed_revision_ = 0;
  bool notice_check_pending_ = false;
  bool inbox_loaded_ = false;
  bool progress_loaded_ = false;
  bool agents_loaded_ = false;
  bool config_loaded_ = false;
  bool ready_ = false;
  bool pass_scheduled_ = false;
  PassPacing pass_pacing_;
  TimePoint slow_pass_logged_at_;
  TimePoint load_retry_at_;
  /// Last key of the jobs' records read; after a failure, reading continues behind it.
  std::string progress_after_key_;
  /// Whether a read of the jobs' records is in flight.
  bool loading_progress_ = false;
  /// Agents that may have runs, and those of them that the stored list contains.
  std::map<NodeId, Address> agents_;
  std::set<NodeId> stored_agents_;
  bool saving_agents_ = false;
  TimePoint save_agents_not_before_;
  std::map<NodeId, Address> entries_;
  std::vector<ProgressSave> save_queue_;
  bool saving_ = false;
  /// Jobs whose records are written in transactions of their own, because the store has rejected a
  /// batch that contained them.
  std::set<JobId> save_alone_;
  TimePoint save_not_before_;
  std::vector<WaitingReport> waiting_reports_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_SCHEDULER_DRIVER_H_
