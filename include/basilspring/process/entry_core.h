#ifndef BASILSPRING_PROCESS_ENTRY_CORE_H_
#define BASILSPRING_PROCESS_ENTRY_CORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/ids.h"
#include "basilspring/process/log_events.h"
#include "basilspring/request/job.h"
#include "basilspring/request/routing.h"

namespace basilspring {

/// One waiting HTTP request at an entry. The driver gives each one its own number.
using CallerId = NumberId<struct CallerIdTag>;

struct EntryOptions {
  RegionId region;
  /// Jobs that have not ended; further ones are refused with kOverloaded.
  std::size_t max_requests = 10000;
  /// Payload bytes of these jobs. 64 MiB leaves room for the rest within the 128 MB of a node.
  std::size_t max_payload_bytes = 64 * 1024 * 1024;
  /// Answers that are kept for later queries and repeated requests.
  std::size_t max_retained_bytes = 16 * 1024 * 1024;
  Duration answer_retention = Duration(3600000);
  /// A summary of a cell that is older than this no longer counts for routing.
  Duration summary_age = Duration(5000);
  /// The same for other regions, whose cells send fewer summaries.
  Duration remote_summary_age = Duration(15000);
  /// Jobs that have not started are taken to another cell when theirs is silent for this long.
  Duration cell_silence = Duration(10000);
  /// How long a request waits for a cell with a ready scheduler before it is refused. Covers the
  /// change of a scheduler: 4 s lease, 1.5 s election, 1 s rebuild.
  Duration cell_wait = Duration(7000);
};

// Events: what callers, other processes and the store tell the core.

struct SubmitRequest {
  CallerId caller;
  /// With an id that is unique in the deployment; its deadline counts from now.
  JobSpec spec;
  /// How long the caller waits for the answer before it is told "accepted".
  Duration wait;
};

struct ResultRequest {
  CallerId caller;
  JobId job;
  /// How long to wait for the end of the job before its state is given.
  Duration wait;
};

/// Progress until the end of the job.
struct ProgressRequest {
  CallerId caller;
  JobId job;
};

struct ExplainRequest {
  CallerId caller;
  JobId job;
};

struct ListRequest {
  CallerId caller;
  /// Empty for all.
  WorkspaceId workspace;
};

struct CancelRequest {
  CallerId caller;
  JobId job;
  Duration wait;
};

/// The caller's connection broke before its answer was out.
struct CallerGone {
  CallerId caller;
};

struct ProcessMessage {
  Address from;
  Message message;
};

/// End of a EntryStoreOperation.
struct StoreCompleted {
  std::uint64_t operation = 0;
  /// kNone, kStoreUnavailable or kStoreOutcomeUnknown.
  ErrorKind error = ErrorKind::kNone;
  /// For transactions: whether the conditions held.
  bool succeeded = false;
  std::int64_t revision = 0;
  std::vector<StoreKeyValue> found;
};

/// The store's key of a cell changed; without a holder the cell is vacant.
struct CellChanged {
  CellId cell;
  Address holder;
  Epoch epoch;
};

/// What the configuration says about routing.
struct RoutingConfiguration {
  std::set<DataCentreId> out_of_service;
  /// This entry's share of the link between regions.
  std::uint32_t link_kbps = 0;
  std::uint32_t retry_percent = 20;
};

/// Whether the store answers; true at the start.
struct StoreState {
  bool reachable = true;
};

struct TickEvent {};

/// Graceful stop: refuses new requests, goes on with those in flight.
struct StopEvent {};

using EntryEvent =
    std::variant<SubmitRequest, ResultRequest, ProgressRequest, ExplainRequest, ListRequest,
                 CancelRequest, CallerGone, ProcessMessage, StoreCompleted, CellChanged,
                 RoutingConfiguration, StoreState, TickEvent, StopEvent>;

// Effects: what the driver has to do, in this order.

struct SendMessage {
  Address to;
  Message message;
};

/// A transaction when there are writes, otherwise a read of the keys in `reads`. Ends with a
/// StoreCompleted event.
struct EntryStoreOperation {
  std::uint64_t id = 0;
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  /// Keys to read; in a transaction, when a condition does not hold.
  std::vector<std::string> reads;
};

/// What is known of a job.
struct StateReply {
  JobId job;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  CellId cell;
  /// Empty when another entry accepted the job.
  WorkspaceId workspace;
  JobClass job_class = JobClass::kBatch;
};

/// The end of a job, or a refusal; `job.job` is empty when no job was made.
struct JobEndReply {
  StateReply job;
  JobResult result;
};

struct ExplainReply {
  StateReply job;
  std::vector<WorkerId> workers;
  /// Candidates of the routing decision of this entry.
  std::vector<std::string> routing;
  /// Candidates of the placement decision of the cell scheduler.
  std::vector<std::string> placement;
};

struct ListReply {
  std::vector<StateReply> jobs;
};

struct CallerReply {
  CallerId caller;
  std::variant<JobEndReply, StateReply, ExplainReply, ListReply> body;
  /// False for progress, after which more follows.
  bool last = true;
};

struct EntryLogLine {
  EventId event = EventId::kInternalError;
  std::string text;
};

struct EntryEffects {
  std::vector<SendMessage> messages;
  std::vector<EntryStoreOperation> operations;
  std::vector<CallerReply> replies;
  std::vector<EntryLogLine> logs;
};

/// Decides what an entry does with the requests of callers: routes them, keeps their records in the
/// store, follows changes of the cell schedulers, and gives each caller the whole answer to its own
/// request. Pure: time, messages and store results are passed in.
class EntryCore {
 public:
  explicit EntryCore(EntryOptions options);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// Appends to `effects`.
  void Handle(TimePoint now, const EntryEvent& event, EntryEffects& effects);

  /// Whether no caller waits and no urgent job and no store operation is in flight.
  bool Drained() const;
  /// Jobs that have not ended.
  std::size_t in_flight() const;
  /// What was last heard of each cell.
  std::vector<CellSummary> Summaries() const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_ENTRY_CORE_H_
