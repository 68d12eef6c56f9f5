#ifndef BASILSPRING_FLEET_PEER_MESSAGES_H_
#define BASILSPRING_FLEET_PEER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/fleet/admission.h"
#include "basilspring/fleet/backend.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/store.h"

/// Requests between processes of the system, and their answers. Each request is sent as the cereal
/// body of an HTTP POST to its `kPath`. The order of the fields is the wire format.
namespace basilspring::fleet {

/// An agent's report to the scheduler about its backend server and the runs there.
struct AgentReport {
  static constexpr const char* kPath = "/fleet/report";
  NodeId node;
  Address address;
  /// Random number drawn when the agent's process started; identifies the process until it ends.
  std::uint64_t incarnation = 0;
  /// Increases with each report of the agent's incarnation.
  std::uint64_t number = 0;
  /// Highest term that the agent has heard of.
  Term term;
  /// Last announcement of the backend server; empty if there was none.
  std::vector<BackendAnnouncement> backend;
  /// Nothing listens at the backend server's address any more, so nothing runs there.
  bool backend_gone = false;
  /// Number of the poll that the rows come from; 0 while the backend server has not answered a poll
  /// that shows what the orders of earlier terms have done.
  std::uint64_t poll = 0;
  /// Time since the backend server last answered a poll.
  Duration poll_age;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  /// Whether there may be more ends than `ended` lists, so that a run that is in neither list may
  /// have ended.
  bool more_ends = false;
  /// The last session that a scheduler offered to this agent process; 0 if none did.
  std::uint64_t session = 0;
  BASILSPRING_SERIALIZE(node, address, incarnation, number, term, backend, backend_gone, poll,
                        poll_age, running, ended, more_ends, session)
};

struct AgentReportReply {
  /// False if the process asked is not the scheduler or can't accept the report at present.
  bool accepted = false;
  /// Term and address of the scheduler, as far as the process asked knows them.
  Term term;
  Address scheduler;
  /// How long runs may continue, counted from the time at which the agent sent its report. If the
  /// report does not extend the lease, for example because the backend server answers no polls,
  /// this is the rest of the last extension.
  Duration lease;
  /// Ends up to this number are recorded in the store.
  std::int64_t acknowledged = 0;
  /// Start time of the backend server's incarnation that `acknowledged` refers to.
  std::int64_t started_unix_ms = 0;
  /// The services of the operators' configuration; empty if the scheduler has none.
  std::vector<ServiceId> services;
  /// If not 0, the scheduler knows another process of this agent and accepts reports of this one
  /// only with this session. A process that has ended can't send it.
  std::uint64_t session = 0;
  BASILSPRING_SERIALIZE(accepted, term, scheduler, lease, acknowledged, started_unix_ms, services,
                        session)
};

/// Whether a task may be started again after one of its runs has ended as done.
enum class RepeatRule : std::uint8_t {
  kMayRepeat,
  /// Not after a run of the task itself.
  kOncePerTask,
  /// Not after a run of any member of its gang.
  kOncePerGang,
};

/// An order to start or stop a run.
struct Order {
  /// Starts the run if true, stops it if false.
  bool start = false;
  TaskId task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  /// Only for a start. Not part of the body; see TargetOf().
  RepeatRule repeat = RepeatRule::kMayRepeat;
  BASILSPRING_SERIALIZE(start, task, run, payload, checkpoint)
};

/// Orders of the scheduler to one agent. A batch without orders only announces the scheduler.
struct OrderBatch {
  static constexpr const char* kPath = "/fleet/orders";
  Term term;
  Address scheduler;
  /// Incarnation of the agent.
  std::uint64_t incarnation = 0;
  /// Number of the report that the orders are based on; the agent refuses starts based on an old
  /// report.
  std::uint64_t report = 0;
  BackendId backend;
  std::int64_t started_unix_ms = 0;
  std::vector<Order> orders;
  /// How old an end as done may be for a start to be refused because of it; see
  /// MaxDoneEvidenceAge(). Not part of the body; see TargetOf().
  Duration max_evidence_age;
  BASILSPRING_SERIALIZE(term, scheduler, incarnation, report, backend, started_unix_ms, orders)
};

/// Returns the target of the request that carries the batch: kPath, and in its query the fields
/// that are not part of the body. A process of an earlier version refuses a body with further
/// fields, but ignores the query, and without the query no start is refused as kAlreadyDone, which
/// an earlier version doesn't know.
std::string TargetOf(const OrderBatch& batch);
/// Sets the fields of a received batch that its query contains. Values that can't be read leave the
/// orders repeatable.
void ReadTarget(const std::map<std::string, std::string>& query, OrderBatch& batch);

struct OrderBatchReply {
  Term term;
  /// For each order a BackendStatus.
  std::vector<std::uint8_t> statuses;
  /// Number of the first poll whose rows show the results of the orders.
  std::uint64_t visible_from_poll = 0;
  BASILSPRING_SERIALIZE(term, statuses, visible_from_poll)
};

/// An entry's query for the phase of a job.
struct JobQuery {
  static constexpr const char* kPath = "/fleet/job";
  JobId job;
  BASILSPRING_SERIALIZE(job)
};

struct JobQueryReply {
  /// False if the process asked can't answer as the scheduler.
  bool accepted = false;
  bool known = false;
  /// A JobPhase.
  std::uint8_t phase = 0;
  BASILSPRING_SERIALIZE(accepted, known, phase)
};

/// An entry's query, about once a second, for what it needs to answer callers without the
/// scheduler.
struct SummaryQuery {
  static constexpr const char* kPath = "/fleet/summary";
  NodeId node;
  Address address;
  Term term;
  BASILSPRING_SERIALIZE(node, address, term)
};

struct QueueSummary {
  QueueId queue;
  /// Number of accepted jobs of which no task has started; repeated jobs are not counted.
  std::int64_t pending = 0;
  BASILSPRING_SERIALIZE(queue, pending)
};

struct SummaryReply {
  bool accepted = false;
  Term term;
  Address scheduler;
  std::vector<QueueSummary> queues;
  /// The kinds of workers; empty until the scheduler's term has lasted long enough for all of them
  /// to be known.
  std::vector<WorkerShape> shapes;
  /// Processes that the scheduler knows, through which calls to the store can be relayed.
  std::vector<Address> peers;
  BASILSPRING_SERIALIZE(accepted, term, scheduler, queues, shapes, peers)
};

/// An entry's notice to the scheduler that it has stored a submission or a cancellation. It carries
/// no content: the scheduler asks the store for changes if its watch does not deliver them.
struct InboxNotice {
  static constexpr const char* kPath = "/fleet/inbox-notice";
  /// Revision of the store at which the item was written.
  std::int64_t revision = 0;
  BASILSPRING_SERIALIZE(revision)
};

struct InboxNoticeReply {
  /// False if the process asked is not the scheduler.
  bool accepted = false;
  BASILSPRING_SERIALIZE(accepted)
};

/// A call to the store that a process without a direct connection asks a peer to make.
struct RelayedStoreCall {
  static constexpr const char* kPath = "/fleet/store";
  StoreCall call;
  BASILSPRING_SERIALIZE(call)
};

/// A StoreReply in transferable form.
struct RelayedStoreReply {
  /// A StoreStatus.
  std::uint8_t status = 0;
  std::vector<StoreItem> items;
  std::int64_t revision = 0;
  bool more = false;
  std::int64_t lease = 0;
  Duration lease_time;
  std::string message;
  BASILSPRING_SERIALIZE(status, items, revision, more, lease, lease_time, message)
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_PEER_MESSAGES_H_
