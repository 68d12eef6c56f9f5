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

/// Identifies one pending HTTP request at an entry. The driver assigns each request its own number.
using CallerId = NumberId<struct CallerIdTag>;

struct EntryOptions {
  RegionId region;
  /// Maximum number of unfinished jobs; further ones are refused with kOverloaded.
  std::size_t max_requests = 10000;
  /// Maximum total payload size of the unfinished jobs in bytes. 64 MiB leaves enough memory for
  /// everything else within the 128 MB of a node.
  std::size_t max_payload_bytes = 64 * 1024 * 1024;
  /// Maximum total size in bytes of the answers that are retained for later queries and repeated
  /// requests.
  std::size_t max_retained_bytes = 16 * 1024 * 1024;
  /// How long an answer is retained.
  Duration answer_retention = Duration(3600000);
  /// Routing ignores cells of this region whose last summary is older than this.
  Duration max_summary_age = Duration(5000);
  /// The same limit for cells of other regions, which send fewer summaries.
  Duration max_remote_summary_age = Duration(15000);
  /// Jobs that have not started are moved to another cell when their cell has sent nothing for this
  /// long.
  Duration cell_silence_timeout = Duration(10000);
  /// How long a request waits for a cell with a ready scheduler before it is refused. The default
  /// covers a scheduler failover: 4 s lease, 1.5 s election, 1 s rebuild.
  Duration cell_wait_timeout = Duration(7000);
};

// Events: input of the core from callers, other processes, the store and the driver.

struct SubmitRequest {
  CallerId caller;
  /// Its id must be unique in the deployment. Its deadline is relative to the time of the event.
  JobSpec spec;
  /// How long the caller waits for the answer before it gets the job's state instead ("accepted").
  Duration wait;
};

struct ResultRequest {
  CallerId caller;
  JobId job;
  /// How long to wait for the end of the job before the caller gets its state.
  Duration wait;
};

/// Requests a reply for each change of the job's state until the job ends.
struct ProgressRequest {
  CallerId caller;
  JobId job;
};

/// Requests the routing and placement decisions of a job.
struct ExplainRequest {
  CallerId caller;
  JobId job;
};

/// Requests the states of the jobs that were submitted at this entry.
struct ListRequest {
  CallerId caller;
  /// Empty for the jobs of all workspaces.
  WorkspaceId workspace;
};

struct CancelRequest {
  CallerId caller;
  JobId job;
  /// How long to wait for the end of the job before the caller gets its state.
  Duration wait;
};

/// The caller's connection closed before the final reply was sent.
struct CallerDisconnected {
  CallerId caller;
};

/// A message from another process. `from` is the address that replies go to.
struct ProcessMessage {
  Address from;
  Message message;
};

/// The result of an EntryStoreOperation.
struct StoreOperationCompleted {
  std::uint64_t operation = 0;
  /// kNone, kStoreUnavailable or kStoreOutcomeUnknown.
  ErrorKind error = ErrorKind::kNone;
  /// For transactions: whether all conditions were true, so that the writes were applied.
  bool succeeded = false;
  std::int64_t revision = 0;
  std::vector<StoreKeyValue> found;
};

/// The key that names a cell's scheduler changed in the store. An empty holder means that the cell
/// is vacant.
struct CellChanged {
  CellId cell;
  Address holder;
  Epoch epoch;
};

/// The settings that routing depends on.
struct RoutingConfiguration {
  std::set<DataCentreId> out_of_service;
  /// This entry's share of the bandwidth between regions, in kilobits per second.
  std::uint32_t link_kbps = 0;
  /// Retry budget in percent of the successful requests.
  std::uint32_t retry_percent = 20;
};

/// Whether the store responds. The core assumes that it does until it is told otherwise.
struct StoreReachability {
  bool reachable = true;
};

struct TickEvent {};

/// Starts a graceful stop: new requests are refused, requests in flight continue.
struct StopEvent {};

using EntryEvent =
    std::variant<SubmitRequest, ResultRequest, ProgressRequest, ExplainRequest, ListRequest,
                 CancelRequest, CallerDisconnected, ProcessMessage, StoreOperationCompleted,
                 CellChanged, RoutingConfiguration, StoreReachability, TickEvent, StopEvent>;

// Effects: actions that the driver performs, in this order.

struct SendMessage {
  Address to;
  Message message;
};

/// A transaction if there are writes, otherwise a read of the keys in `reads`. Completes with a
/// StoreOperationCompleted event.
struct EntryStoreOperation {
  std::uint64_t id = 0;
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  /// Keys to read. A transaction reads them only if one of its conditions is false.
  std::vector<std::string> reads;
};

/// The last known state of a job.
struct StateReply {
  JobId job;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  CellId cell;
  /// Empty if another entry accepted the job.
  WorkspaceId workspace;
  JobClass job_class = JobClass::kBatch;
};

/// The result of a job, or a refusal. `job.job` is empty if no job was created.
struct JobEndReply {
  StateReply job;
  JobResult result;
};

/// The reply to an ExplainRequest.
struct ExplainReply {
  StateReply job;
  std::vector<WorkerId> workers;
  /// One line for each cell that the routing decision of this entry considered.
  std::vector<std::string> routing;
  /// One line for each reason that the cell scheduler gave for its placement decision.
  std::vector<std::string> placement;
};

/// The reply to a ListRequest.
struct ListReply {
  std::vector<StateReply> jobs;
};

/// A reply to one caller.
struct CallerReply {
  CallerId caller;
  std::variant<JobEndReply, StateReply, ExplainReply, ListReply> body;
  /// False for a progress reply, which is followed by further replies.
  bool last = true;
};

/// A log line for the driver to write.
struct EntryLogLine {
  EventId event = EventId::kInternalError;
  std::string text;
};

/// The actions that result from one event.
struct EntryEffects {
  std::vector<SendMessage> messages;
  std::vector<EntryStoreOperation> operations;
  std::vector<CallerReply> replies;
  std::vector<EntryLogLine> logs;
};

/// The decision logic of an entry. It routes the requests of callers to cells, maintains their
/// records in the store, resubmits jobs when a cell's scheduler changes, and returns to each caller
/// the complete answer to its own request. It performs no I/O and reads no clock: time, messages
/// and store results are passed in.
class EntryCore {
 public:
  explicit EntryCore(EntryOptions options);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// Processes one event and appends the resulting actions to `effects`.
  void Handle(TimePoint now, const EntryEvent& event, EntryEffects& effects);

  /// Whether no caller is waiting and no urgent job and no store operation is in flight.
  bool Drained() const;
  /// Returns the number of unfinished jobs.
  std::size_t in_flight() const;
  /// Returns the latest summary of each cell.
  std::vector<CellSummary> Summaries() const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_ENTRY_CORE_H_
