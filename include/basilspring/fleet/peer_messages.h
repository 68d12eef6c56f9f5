#ifndef BASILSPRING_FLEET_PEER_MESSAGES_H_
#define BASILSPRING_FLEET_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/fleet/admission.h"
#include "basilspring/fleet/backend.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/store.h"

/// Requests between the system's own processes and their answers; each is the cereal body of an
/// HTTP POST, whose path is the `kPath` of the request.
namespace basilspring::fleet {

/// An agent tells the scheduler about its backend server and what runs there.
struct AgentReport {
  static constexpr const char* kPath = "/fleet/report";
  NodeId node;
  Address address;
  /// Drawn when the agent's process started.
  std::uint64_t incarnation = 0;
  /// Rises with each report of an incarnation.
  std::uint64_t number = 0;
  /// Highest term that the agent has heard of.
  Term term;
  /// The backend server's life; none while it has not announced itself or has left.
  std::vector<BackendAnnouncement> backend;
  /// Nothing listens at the backend server's address any more, so nothing runs there.
  bool backend_gone = false;
  /// Number of the poll that the rows come from; 0 while the backend server has not answered one.
  std::uint64_t poll = 0;
  /// Time since the backend server last answered a poll.
  Duration poll_age;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  BASILSPRING_SERIALIZE(node, address, incarnation, number, term, backend, backend_gone, poll,
                        poll_age, running, ended)
};

struct AgentReportReply {
  /// False when the process asked does not hold the scheduler's lease.
  bool accepted = false;
  /// The scheduler, as far as it is known.
  Term term;
  Address scheduler;
  /// How long what runs may go on, counted from when the agent sent its report.
  Duration lease;
  /// Ends up to this number are recorded.
  std::int64_t acknowledged = 0;
  /// The life that `acknowledged` refers to.
  std::int64_t born_unix_ms = 0;
  BASILSPRING_SERIALIZE(accepted, term, scheduler, lease, acknowledged, born_unix_ms)
};

struct Order {
  bool start = false;
  TaskId task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  BASILSPRING_SERIALIZE(start, task, run, payload, checkpoint)
};

/// Orders of the scheduler to one agent. Without orders it announces the scheduler.
struct OrderBatch {
  static constexpr const char* kPath = "/fleet/orders";
  Term term;
  Address scheduler;
  std::uint64_t incarnation = 0;
  /// The report that the orders are based on; the agent refuses starts based on an old one.
  std::uint64_t report = 0;
  BackendId backend;
  std::int64_t born_unix_ms = 0;
  std::vector<Order> orders;
  BASILSPRING_SERIALIZE(term, scheduler, incarnation, report, backend, born_unix_ms, orders)
};

struct OrderBatchReply {
  Term term;
  /// For each order a BackendStatus.
  std::vector<std::uint8_t> statuses;
  /// From this poll on the rows show what the orders did.
  std::uint64_t visible_from_poll = 0;
  BASILSPRING_SERIALIZE(term, statuses, visible_from_poll)
};

/// An entry asks the scheduler for the phase of a job.
struct JobQuery {
  static constexpr const char* kPath = "/fleet/job";
  JobId job;
  BASILSPRING_SERIALIZE(job)
};

struct JobQueryReply {
  bool accepted = false;
  bool known = false;
  std::uint8_t phase = 0;
  BASILSPRING_SERIALIZE(accepted, known, phase)
};

/// An entry asks the scheduler once a second for what it needs to answer callers itself.
struct SummaryQuery {
  static constexpr const char* kPath = "/fleet/summary";
  NodeId node;
  Address address;
  Term term;
  BASILSPRING_SERIALIZE(node, address, term)
};

struct QueueSummary {
  QueueId queue;
  /// Accepted jobs of which no task has started; repeated jobs don't count.
  std::int64_t pending = 0;
  BASILSPRING_SERIALIZE(queue, pending)
};

struct SummaryReply {
  bool accepted = false;
  Term term;
  Address scheduler;
  std::vector<QueueSummary> queues;
  /// The kinds of workers, once the scheduler has been in office long enough to know all of them.
  std::vector<WorkerShape> shapes;
  /// Processes that the scheduler knows, to reach the store through when the own way is cut.
  std::vector<Address> peers;
  BASILSPRING_SERIALIZE(accepted, term, scheduler, queues, shapes, peers)
};

/// A process without a way to the store asks a peer to make a call for it.
struct RelayedStoreCall {
  static constexpr const char* kPath = "/fleet/store";
  StoreCall call;
  BASILSPRING_SERIALIZE(call)
};

struct RelayedStoreReply {
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
