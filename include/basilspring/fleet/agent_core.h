#ifndef BASILSPRING_FLEET_AGENT_CORE_H_
#define BASILSPRING_FLEET_AGENT_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/fleet/backend.h"
#include "basilspring/fleet/done_tasks.h"
#include "basilspring/fleet/peer_messages.h"

namespace basilspring::fleet {

/// Identity and timing of an agent.
struct FleetAgentOptions {
  NodeId node;
  Address address;
  /// Random number drawn when the agent's process starts; see AgentReport::incarnation.
  std::uint64_t incarnation = 0;
  /// Epoch of the first calls. Higher than those of earlier processes of this agent, as far as the
  /// time of day allows; see Fence.
  std::uint32_t first_epoch = 0;
  /// Longest lease that a scheduler grants, and how long after its end runs have certainly ended;
  /// see SchedulerOptions.
  Duration lease = Duration(5000);
  /// See SchedulerOptions.
  Duration longest_lease = Duration(10000);
  Duration lease_expiry_margin = Duration(1350);
  /// Longest time between two reports when nothing has changed; a fifth of the lease.
  Duration report_interval = Duration(800);
  /// How long the backend server may hold back the answer to one poll until a run ends.
  Duration poll_wait = Duration(1000);
  /// An order to start a run is refused if the report that it is based on was sent longer ago than
  /// this, because the scheduler that sent the order may have been replaced since.
  Duration max_order_report_age = Duration(3000);
  /// Shortest time between two polls while the scheduler has not yet recorded some reported ends.
  Duration unacknowledged_poll_interval = Duration(250);
  /// Shortest time until the next report after one that was not answered or not accepted.
  Duration report_retry_delay = Duration(250);
};

/// One call to the backend server. The caller passes `token` to OnOrderDone with the answer.
struct BackendOrder {
  std::uint64_t token = 0;
  /// Selects `start_run` if true, `stop_run` if false.
  bool start = false;
  StartRun start_run;
  StopRun stop_run;
  /// An earlier call for the same order was not answered, so this one should use a new connection.
  bool repeated = false;
};

/// A poll that finds out whether an announced backend server listens at the host's address.
struct BackendProbe {
  /// The caller passes this number to OnProbed with the answer.
  std::uint64_t number = 0;
  /// The announced backend server; a different one refuses the poll.
  BackendAnnouncement backend;
  PollRuns poll;
};

/// What the caller of FleetAgentCore::Tick has to do.
struct AgentEffects {
  /// Poll to send to the backend server; std::nullopt if none is due.
  std::optional<PollRuns> poll;
  /// The caller passes this number to OnPolled with the poll's answer.
  std::uint64_t poll_number = 0;
  std::optional<BackendProbe> probe;
  std::vector<BackendOrder> orders;
  /// Reports to send to `report_to`.
  std::vector<AgentReport> reports;
  Address report_to;
  /// Answers to order batches, each with the token that was passed to OnOrders.
  std::vector<std::pair<std::uint64_t, OrderBatchReply>> answers;
  /// The scheduler's address is unknown, or the scheduler has stopped answering: look it up.
  bool find_scheduler = false;
  /// Decisions to log.
  std::vector<std::string> decisions;
};

/// State machine of an agent, which controls the backend server of its host: it extends the backend
/// server's lease as far as the scheduler allows, carries out the scheduler's orders and reports
/// what runs. It does no I/O and reads no clock; the caller passes in the time and carries out the
/// effects that Tick returns.
class FleetAgentCore {
 public:
  explicit FleetAgentCore(FleetAgentOptions options);

  /// Handles an announcement. If it comes from the registered backend server, it updates the
  /// registration. Any other one is only a claim, because it may come from a foreign writer or from
  /// an incarnation that has ended: its sender is registered once it has answered a probe. One that
  /// started earlier than the registered backend server is probed only if that one may have ended.
  /// Returns false if the announcement is ignored.
  bool OnAnnouncement(TimePoint now, const BackendAnnouncement& announcement);
  /// Handles the backend server's notice that it leaves permanently. The notice names an id, so it
  /// may be a late one of a former incarnation. It counts only if the registered incarnation has
  /// announced that it drains, and the time that it stays at least is over.
  void OnLeave(TimePoint now, const BackendId& id);
  /// Handles news of the scheduler; ignored if `term` is older than the known one.
  void OnScheduler(TimePoint now, Term term, const Address& scheduler);
  /// Handles the answer to report `number`; `reply` is std::nullopt if no usable answer came.
  void OnReportAnswered(TimePoint now, std::uint64_t number,
                        const std::optional<AgentReportReply>& reply);
  /// Checks the orders of a batch and issues calls for those that are not refused. The answer to
  /// the batch follows in AgentEffects::answers under `token`.
  void OnOrders(TimePoint now, std::uint64_t token, const OrderBatch& batch);
  /// Handles the answer to poll `number`; ignored unless it is the last poll sent.
  void OnPolled(TimePoint now, std::uint64_t number, const BackendReply& reply);
  /// Handles the answer to probe `number`.
  void OnProbed(TimePoint now, std::uint64_t number, const BackendReply& reply);
  /// Handles the answer to the BackendOrder with this token.
  void OnOrderDone(TimePoint now, std::uint64_t token, const BackendReply& reply);

  /// Returns what is to be done now and clears it. Call it after each event and periodically.
  AgentEffects Tick(TimePoint now);

  /// Last announcement of the registered backend server; std::nullopt if none is registered.
  const std::optional<BackendAnnouncement>& backend() const { return backend_; }
  /// Highest term that the agent has heard of.
  Term term() const { return term_; }
  const Address& scheduler() const { return scheduler_; }
  /// When the scheduler last accepted a report.
  TimePoint last_contact() const { return last_contact_; }
  /// Whether the process should not stop yet: calls for orders to the backend server are
  /// unanswered, or the backend server leaves and the scheduler has not recorded all of its listed
  /// ends, which no other process can read later.
  bool busy() const;
  /// Until when the scheduler has allowed runs to continue.
  TimePoint lease_until() const { return lease_until_; }

 private:
  /// A batch of orders that is not answered yet.
  struct Batch {
    /// For each order a BackendStatus.
    std::vector<std::uint8_t> statuses;
    /// Number of orders whose outcome is still unknown.
    std::size_t open = 0;
    std::uint64_t visible_from = 0;
  };
  /// An order that was sent to the backend server and is not answered yet.
  struct Call {
    /// Token of the batch that the order belongs to, and the order's index in it.
    std::uint64_t batch = 0;
    std::size_t index = 0;
    BackendOrder order;
    int attempts = 0;
    /// An attempt was not answered, so the backend server may still carry it out.
    bool in_doubt = false;
    /// The start was not confirmed, and the call stops the run so that the backend server refuses a
    /// start that arrives late.
    bool fencing = false;
    /// Term that was known when the order arrived.
    Term term;
    /// Incarnation of the backend server that the order is meant for.
    BackendId backend;
    std::int64_t started_unix_ms = 0;
    /// What its clock showed at least when the order arrived; 0 if it had not been read.
    std::int64_t clock_ms = 0;
  };

  /// An announcement whose sender has not answered a probe yet.
  struct Claim {
    BackendAnnouncement announcement;
    /// When it was last announced.
    TimePoint announced_at;
  };

  /// An end that is listed but can't be decoded, and that the scheduler can't record.
  struct UnreadableEnd {
    std::int64_t number = 0;
    TimePoint first_listed;
    /// It is acknowledged although it is not recorded.
    bool given_up = false;
  };

  /// Whether `other` comes from the incarnation of the backend server that is registered.
  bool SameBackendIncarnation(const BackendAnnouncement& other) const;
  /// Returns false if the scheduler has said which services there are, and this is none of them.
  bool IsServiceKnown(const ServiceId& service) const;
  /// Applies a newer announcement of the registered backend server. Returns false if it is ignored.
  bool UpdateBackend(TimePoint now, const BackendAnnouncement& announcement);
  /// Sets the registered announcement, and until when its backend server stays if it drains.
  void SetBackend(TimePoint announced_at, const BackendAnnouncement& announcement);
  void AddClaim(TimePoint now, const BackendAnnouncement& announcement);
  /// Whether `other` started before the registered backend server, by the time of day.
  bool StartedEarlier(const BackendAnnouncement& other) const;
  /// Probes the next claim if no probe is in flight, and drops claims that are not repeated.
  void ProbeClaims(TimePoint now);
  /// Replaces the registered backend server.
  void Register(TimePoint now, const Claim& claim);
  /// Returns whether nothing runs on the registered backend server any more, given that it refuses
  /// connections: it has left, or the lease of its runs has certainly expired. A refused connection
  /// alone is no proof, because the network may refuse it for a host that works on.
  bool RunsHaveEnded(TimePoint now) const;
  void LogIgnored(const BackendAnnouncement& announcement, std::string_view reason);
  /// Returns kOk if an order of the batch may be sent to the backend server, otherwise the reason
  /// for refusing it.
  BackendStatus CheckOrder(TimePoint now, const OrderBatch& batch, bool start) const;
  /// Returns kAlreadyDone if the agent has read that the task has ended as done, and the order does
  /// not say that it may be started again. The scheduler's record may lack an end that was
  /// acknowledged.
  BackendStatus CheckNotDone(TimePoint now, const OrderBatch& batch, const Order& order);
  /// Whether the last reading of the backend server's clock is recent enough for a lease.
  bool IsClockRecent(TimePoint now) const;
  /// Converts a time to milliseconds on the backend server's clock.
  std::int64_t ToBackendClock(TimePoint moment) const;
  /// Returns the least that the backend server's clock shows now, in milliseconds.
  std::int64_t LeastBackendClock(TimePoint now) const;
  /// Sends the order of a call, for the first time or again, under a new token.
  void IssueCall(Call call);
  /// Stores the outcome of an order in its batch, and answers the batch if it was the last one.
  void RecordStatus(const Call& call, BackendStatus status);
  /// Handles the rows of a poll's answer that can't be decoded, if there are any.
  void OnSkippedRows(TimePoint now, const BackendReply& reply);
  /// Number up to which ends may be acknowledged to the backend server.
  std::int64_t AcknowledgeableEnd() const;
  /// Discards what was read from the former incarnation of the backend server.
  void ResetBackendState();
  /// Switches to a higher term; ignores any other.
  void AdoptTerm(Term term);
  /// Whether calls of earlier terms, or for former incarnations of the backend server, are open.
  bool HasOpenEarlierCalls() const;
  bool IsForRegisteredIncarnation(const Call& call) const;
  /// Reports no rows until a poll is answered that is sent from now on.
  void RequireNewListing();
  /// Begins a new epoch if another incarnation may have taken the place of the registered one.
  void UpdateEpoch();
  /// Raises the epoch after the backend server has seen a higher fence.
  void CatchUpEpoch();
  /// Handles proof that another incarnation answers under the id of the registered one.
  void OnOtherIncarnation(std::string_view evidence);
  AgentReport MakeReport(TimePoint now);
  /// Returns the next poll. It carries a lease or an acknowledgement only if the registered
  /// incarnation has answered the last one.
  PollRuns MakePoll(TimePoint now);
  /// Whether a poll or probe is brief after this many in a row that were not answered; see
  /// StartRun::brief. Some are not, because the backend server may be slow.
  static bool IsBriefAfter(int unanswered);
  /// Whether the lease that the backend server has confirmed ends soon and can be extended.
  bool IsLeaseUrgent(TimePoint now) const;
  void LogDecision(std::string text) { effects_.decisions.push_back(std::move(text)); }

  FleetAgentOptions options_;
  std::optional<BackendAnnouncement> backend_;
  /// Claims in the order in which they are probed.
  std::deque<Claim> claims_;
  std::uint64_t probes_sent_ = 0;
  bool probe_in_flight_ = false;
  TimePoint probe_sent_at_;
  /// Number of probes and of polls in a row that were not answered.
  int unanswered_probes_ = 0;
  int unanswered_polls_ = 0;
  /// The announcement that the last probe was sent for.
  BackendAnnouncement probed_;
  TimePoint probe_not_before_;
  /// The services of the operators' configuration, as last told by the scheduler; empty if unknown.
  std::vector<ServiceId> services_;
  Term term_;
  /// See Fence. Calls for one incarnation of the backend server have lower epochs than those for
  /// the next one, so that this refuses them once it has answered a poll.
  std::uint32_t epoch_ = 0;
  /// Whether the registered incarnation has been identified in this epoch, so that calls of the
  /// epoch may be open that must not reach the next one.
  bool epoch_used_ = false;
  /// Whether a former process of this agent may have sent calls with this epoch.
  bool epoch_shared_ = true;
  /// By how much the epoch rises if it turns out to be too low.
  std::uint32_t epoch_step_ = 1;
  Address scheduler_;
  TimePoint last_contact_;
  TimePoint lease_until_;
  /// The backend server's clock as last read, and the local time of that reading.
  std::int64_t clock_ms_ = 0;
  TimePoint clock_read_at_;
  bool clock_known_ = false;

  /// Number of the last poll sent, when it was sent, and number of the last one answered.
  std::uint64_t polls_sent_ = 0;
  TimePoint poll_sent_at_;
  std::uint64_t poll_answered_ = 0;
  /// Number of the first poll whose rows count: only this one and later ones show the results of
  /// the orders of earlier terms, and of those for former incarnations of the backend server.
  std::uint64_t first_listing_poll_ = 0;
  bool poll_in_flight_ = false;
  /// Since when connections to the backend server have been refused; std::nullopt if they are not.
  std::optional<TimePoint> gone_since_;
  /// Whether the backend server is considered to have ended.
  bool gone_ = false;
  /// Whether the backend server has said that it leaves and has not announced itself since.
  bool left_ = false;
  /// Until when the draining backend server stays at least; std::nullopt if it does not drain.
  std::optional<TimePoint> drains_until_;
  /// The latest end of the lease that an earlier call may have set at the backend server, and that
  /// of the last poll, which it has not got if it refused the connection.
  TimePoint lease_granted_until_;
  TimePoint poll_lease_until_;
  /// End of the lease that the backend server has confirmed by its answers to polls.
  TimePoint lease_confirmed_until_;
  /// Whether the last poll waits for an end, and whether the last one that did not was answered
  /// soon.
  bool poll_waits_ = false;
  bool answers_soon_ = false;
  TimePoint poll_not_before_;
  /// When the backend server last answered a poll.
  TimePoint last_polled_;
  /// Number of the last end that the scheduler has recorded or the agent has given up, and of the
  /// last one of which the backend server has confirmed the acknowledgement.
  std::int64_t acknowledged_ = 0;
  std::int64_t confirmed_acknowledgement_ = 0;
  /// Acknowledgement that the last poll carried.
  std::int64_t poll_acknowledgement_ = 0;
  /// Whether the registered incarnation has answered the last poll. Calls are addressed by id, so
  /// after a failure they may reach another incarnation.
  bool identified_ = false;
  /// Whether the last poll has failed since the registration, so that the registered incarnation
  /// may have ended. Unlike `identified_`, this is false before the first poll is answered.
  bool in_question_ = false;
  /// The last poll before another incarnation answered under the id of the registered one;
  /// std::nullopt if none did.
  std::optional<std::uint64_t> superseded_after_poll_;
  /// Whether the last poll was to be sent on an open connection only, and whether the last such
  /// poll has failed.
  bool poll_on_open_connection_ = false;
  bool open_connection_failed_ = false;
  /// Whether an earlier poll may still use the open connection when the next one is sent.
  bool poll_abandoned_ = false;
  /// Status of the last answer to a poll.
  BackendStatus last_poll_status_ = BackendStatus::kOk;
  std::vector<RunningRow> running_;
  std::vector<EndedRow> ended_;
  /// See AgentReport::more_ends.
  bool more_ends_ = false;
  /// Outlasts the incarnations of the backend server.
  DoneTasks done_tasks_;
  /// The first one in the list.
  std::optional<UnreadableEnd> unreadable_end_;
  /// Description of the rows that the last answer to a poll lacks.
  std::string skipped_rows_;

  std::uint64_t report_number_ = 0;
  /// See AgentReport::session.
  std::uint64_t session_ = 0;
  /// Numbers and send times of the last reports.
  std::deque<std::pair<std::uint64_t, TimePoint>> reports_sent_;
  int reports_in_flight_ = 0;
  bool report_due_ = true;
  TimePoint last_report_;
  TimePoint report_not_before_;
  TimePoint last_lookup_;

  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::uint64_t, Batch> batches_;
  AgentEffects effects_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_AGENT_CORE_H_
