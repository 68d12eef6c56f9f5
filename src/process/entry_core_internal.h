#ifndef BASILSPRING_SRC_PROCESS_ENTRY_CORE_INTERNAL_H_
#define BASILSPRING_SRC_PROCESS_ENTRY_CORE_INTERNAL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilspring/process/entry_core.h"
#include "basilspring/request/request_record.h"
#include "basilspring/request/retry_budget.h"

namespace basilspring {
namespace internal {

/// The processing phase of a request.
enum class RequestPhase : std::uint8_t {
  /// Waits because no cell has a ready scheduler. Nothing has been written or sent.
  kWaitingForCell,
  /// Its records are being created in the store.
  kCreating,
  /// Its records are being moved to another cell.
  kMoving,
  /// Assigned to a cell and sent to its scheduler as soon as one is known.
  kSubmitted,
  /// Submitted by another entry. The state is polled and the answer is read from the store.
  kObserved,
  /// Refused. Before the refusal is sent, its records are fenced or deleted, or the store is read
  /// for an answer.
  kCleaningUp,
  kFinished,
};

/// A caller that waits for the end of a request's job.
struct RequestWaiter {
  CallerId caller;
  /// When the caller gets the job's state instead of its answer.
  TimePoint until;
  bool streams_progress = false;
};

/// A request for a job, with its state at this entry.
struct EntryRequest {
  JobSpec spec;
  RequestPhase phase = RequestPhase::kWaitingForCell;
  TimePoint received;
  std::optional<TimePoint> deadline;
  /// XXH64 of the payload; the payload itself is freed at the end of the job.
  std::uint64_t payload_hash = 0;
  CellId cell;
  /// Cell to which the records are being moved.
  CellId target;
  /// The scheduler that the job was last sent to. Refusals by any other scheduler are ignored.
  Address scheduler;
  /// Whether the job was sent to any scheduler.
  bool sent = false;
  /// Whether the scheduler has confirmed that it has the job.
  bool accepted = false;
  /// Submissions to `scheduler` that it has not answered. It answers them in order, so a refusal is
  /// not final as long as there is a later one.
  std::uint32_t unanswered_submissions = 0;
  /// Whether the cell has returned the job, and no other cell has been found yet.
  bool returned = false;
  /// Cells in service that have returned the job; other cells are preferred.
  std::set<CellId> returned_by;
  /// Whether a task of the job has run, or may have run, under a scheduler that returned the job.
  bool ran = false;
  bool records_created = false;
  /// Value of the request record in the store; empty for idempotent requests.
  std::string record;
  /// The pending store operation; 0 if there is none.
  std::uint64_t operation = 0;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  bool cancel_requested = false;
  /// Whether a caller was told "accepted". Because it can query the job later, a disconnect no
  /// longer cancels the job.
  bool acknowledged = false;
  /// Cells that refused the job or were silent.
  std::set<CellId> tried;
  std::vector<RequestWaiter> waiters;
  /// One line for each cell that the last routing decision considered.
  std::vector<std::string> routing;
  /// The result, or the refusal that is sent once the records are cleaned up.
  JobResult result;
  TimePoint finished;
  TimePoint next_poll;
  /// For observed jobs: when look-ups of an unknown job end.
  TimePoint lookup_until;
  /// For observed jobs: whether a scheduler or the store has confirmed that the job exists.
  bool confirmed = false;
  std::uint32_t damaged_answers = 0;
  /// For observed jobs: consecutive reports that the job has ended or is unknown, while no answer
  /// has been found.
  std::uint32_t reports_without_answer = 0;
};

/// What the entry knows about a cell.
struct KnownCell {
  CellId id;
  /// Address of the cell's scheduler; empty if the cell is vacant.
  Address holder;
  Epoch epoch;
  std::optional<CellSummary> summary;
  TimePoint last_heard;
  /// Tasks sent to the cell since its last summary, which does not include them.
  std::uint32_t tasks_sent = 0;
};

/// An ExplainRequest that waits for the reports of cell schedulers.
struct PendingExplain {
  CallerId caller;
  JobId job;
  /// When the reply is sent without a report.
  TimePoint until;
};

enum class OperationKind : std::uint8_t {
  kCreate,
  kMove,
  kFence,
  /// Creates a fenced request record, so that a pending creation of unknown outcome fails.
  kCreateFenced,
  kReadJobRecord,
  kDeleteJobRecord,
  kReadAnswer,
};

struct PendingOperation {
  OperationKind kind = OperationKind::kCreate;
  JobId job;
};

/// Identifies a request by its workspace and idempotency key.
using KeyedRequest = std::pair<WorkspaceId, RequestKey>;

}  // namespace internal

struct EntryCore::Impl {
  explicit Impl(EntryOptions entry_options)
      : options(std::move(entry_options)),
        link_budget(0),
        retry_budget(RoutingConfiguration{}.retry_percent) {}

  EntryOptions options;
  RoutingConfiguration configuration;
  LinkBudget link_budget;
  RetryBudget retry_budget;
  std::map<CellId, internal::KnownCell> cells;
  std::unordered_map<JobId, internal::EntryRequest> requests;
  std::map<internal::KeyedRequest, JobId> jobs_by_key;
  std::unordered_map<CallerId, JobId> jobs_by_caller;
  std::map<std::uint64_t, internal::PendingOperation> pending_operations;
  std::map<std::uint64_t, internal::PendingExplain> pending_explains;
  /// Finished jobs in the order of their end; the oldest are evicted first.
  std::deque<JobId> retained;
  std::size_t retained_bytes = 0;
  std::size_t payload_bytes = 0;
  std::size_t unfinished = 0;
  std::uint64_t next_operation = 1;
  std::uint64_t next_explain = 1;
  bool stopping = false;
  bool store_reachable = true;

  // Time and effects of the event that is being handled.
  TimePoint now;
  EntryEffects* effects = nullptr;

  // entry_core.cc
  internal::EntryRequest* FindRequest(const JobId& job);
  void Send(const Address& to, Message message);
  void LogLine(EventId event, std::string text);
  void Reply(CallerId caller, std::variant<JobEndReply, StateReply, ExplainReply, ListReply> body,
             bool last = true);
  void ReplyWithError(CallerId caller, const JobId& job, ErrorKind kind,
                      const std::string& message);
  StateReply StateOf(const internal::EntryRequest& request) const;

  // entry_core_submit.cc
  void OnEvent(const SubmitRequest& event);
  /// Attaches the caller to an unfinished or retained request with the same key, or refuses the
  /// event if that request differs. Returns false if there is no such request.
  bool AttachDuplicate(const SubmitRequest& event);
  /// Replies with a refusal and returns true if the entry can't take the request.
  bool RefuseAtAdmission(const SubmitRequest& event);
  /// Assigns the request to a cell; without a suitable cell it waits or is refused.
  void RouteRequest(internal::EntryRequest& request);
  /// Sends the job to the routed cell, after creating its records or moving them there. `refused`
  /// has the meaning described at MoveRecords.
  void AssignToCell(internal::EntryRequest& request, const Routed& routed, bool refused = false);
  /// Chooses a cell that has not refused the job and is not in `avoid`.
  RoutingResult ChooseCell(const internal::EntryRequest& request,
                           const std::set<CellId>& avoid = {});
  /// Sends the job to the scheduler of its cell. If the cell is vacant, the job is sent once the
  /// next scheduler is known.
  void Submit(internal::EntryRequest& request);
  void AddWaiter(internal::EntryRequest& request, CallerId caller, Duration wait,
                 bool streams_progress = false);
  /// Returns the time left until the deadline, at least 1 ms; zero if there is no deadline.
  Duration TimeToDeadline(const internal::EntryRequest& request) const;

  // entry_core_records.cc
  void OnEvent(const StoreOperationCompleted& event);
  void BeginOperation(internal::EntryRequest& request, internal::OperationKind kind,
                      EntryStoreOperation operation);
  /// Creates the job record and, for a non-idempotent request, the request record. `replaced` is
  /// the value of the fenced request record to replace, or empty.
  void CreateRecords(internal::EntryRequest& request, const std::string& replaced);
  /// Moves the records to another cell. `refused` says whether the current cell refused the job;
  /// otherwise the cell is silent or has returned the job.
  void MoveRecords(internal::EntryRequest& request, const CellId& to, bool refused);
  /// Sets the request record to fenced, so that no cell scheduler can claim the job, and deletes
  /// the job record.
  void FenceRecord(internal::EntryRequest& request);
  /// Creates the request record as fenced.
  void CreateFencedRecord(internal::EntryRequest& request);
  /// Reads the job record; OnJobRecordRead deletes it.
  void ReadJobRecord(internal::EntryRequest& request);
  void OnJobRecordRead(internal::EntryRequest& request, const StoreOperationCompleted& event);
  void ReadAnswer(internal::EntryRequest& request);
  void OnRecordsCreated(internal::EntryRequest& request, const StoreOperationCompleted& event);
  /// Handles a request record that existed before the creation.
  void OnExistingRecord(internal::EntryRequest& request, const StoreKeyValue& pair);
  /// Continues with the job that an earlier request with the same key created.
  void AdoptExistingJob(internal::EntryRequest& request, const RequestRecord& record,
                        const std::string& value);
  void OnRecordsMoved(internal::EntryRequest& request, const StoreOperationCompleted& event);
  void OnFenceResult(internal::EntryRequest& request, internal::OperationKind kind,
                     const StoreOperationCompleted& event);
  void OnJobRecordDeleted(internal::EntryRequest& request, const StoreOperationCompleted& event);
  void OnAnswerRead(internal::EntryRequest& request, const StoreOperationCompleted& event);

  // entry_core_messages.cc
  void OnEvent(const ProcessMessage& event);
  void OnMessage(const Address& from, const JobAccepted& message);
  void OnMessage(const Address& from, const JobProgress& message);
  void OnMessage(const Address& from, const JobFinished& message);
  void OnMessage(const Address& from, const JobReport& message);
  void OnMessage(const Address& from, const JobReturned& message);
  bool InService(const CellId& cell) const;
  /// Sends a returned job to a cell in service, if possible to one that has not returned it;
  /// without a cell in service it is tried again later.
  void RerouteReturnedJob(internal::EntryRequest& request);
  void OnMessage(const Address& from, const CellSummary& message);
  void OnEvent(const CellChanged& event);
  /// Resubmits the jobs of the cell to its new scheduler.
  void OnSchedulerChanged(internal::KnownCell& cell);
  void UpdateState(internal::EntryRequest& request, JobState state, std::uint32_t attempts);
  /// Requests the answer again, up to a limit.
  void HandleDamagedAnswer(internal::EntryRequest& request, const JobResult& result);

  // entry_core_finish.cc
  void HandleRefusal(internal::EntryRequest& request, JobResult result);
  /// Assigns a refused request to another cell. Returns false if that is not allowed or not
  /// possible.
  bool TryAnotherCell(internal::EntryRequest& request, ErrorKind kind);
  /// Finishes the request with a refusal. For a durable job the records are fenced or deleted
  /// first, so that no scheduler runs the job after the refusal.
  void CleanUpAndFinish(internal::EntryRequest& request, JobResult result);
  /// Ends the request and replies to all waiting callers.
  void Finish(internal::EntryRequest& request, JobResult result);
  void Retain(internal::EntryRequest& request);
  /// Removes retained results that have expired or exceed the limits.
  void Evict();
  void Erase(const JobId& job);

  // entry_core_queries.cc
  void OnEvent(const ResultRequest& event);
  void OnEvent(const ProgressRequest& event);
  void OnEvent(const ExplainRequest& event);
  void OnEvent(const ListRequest& event);
  void OnEvent(const CancelRequest& event);
  void OnEvent(const CallerDisconnected& event);
  /// Starts to look up a job that another entry may have submitted.
  internal::EntryRequest& Observe(const JobId& job);
  void QueryAllCells(const JobId& job, std::uint64_t query);
  void RequestCancel(internal::EntryRequest& request);
  /// `report` is null if no cell scheduler reported the job.
  void ReplyWithExplanation(const internal::PendingExplain& pending, const JobReport* report);

  // entry_core_tick.cc
  void OnEvent(const RoutingConfiguration& event);
  void OnEvent(const StoreReachability& event);
  void OnEvent(const TickEvent& event);
  void OnEvent(const StopEvent& event);
  void TickRequest(internal::EntryRequest& request);
  /// Ends a request whose deadline has passed. Returns true if the request has ended or its records
  /// are being cleaned up.
  bool EnforceDeadline(internal::EntryRequest& request);
  void Poll(internal::EntryRequest& request);
  /// Moves the job to another cell if its cell is silent and a second run is acceptable.
  void RerouteFromSilentCell(internal::EntryRequest& request);
  /// Replies with the state to callers whose wait has ended.
  void ExpireWaiters(internal::EntryRequest& request);
  void ExpireExplains();
};

}  // namespace basilspring

#endif  // BASILSPRING_SRC_PROCESS_ENTRY_CORE_INTERNAL_H_
