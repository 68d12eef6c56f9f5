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

/// Where a request stands.
enum class RequestPhase : std::uint8_t {
  /// No cell has a ready scheduler; nothing has been written or sent.
  kParked,
  /// Its records are being created.
  kCreating,
  /// Its records are being moved to another cell.
  kMoving,
  /// A cell scheduler has it.
  kSubmitted,
  /// Submitted by another entry: its state is polled and its answer is read from the store.
  kObserved,
  /// Refused; its records are being fenced or removed before the refusal goes out.
  kSettling,
  kFinished,
};

struct RequestWaiter {
  CallerId caller;
  /// When the caller gets the state instead of the answer.
  TimePoint until;
  bool streams_progress = false;
};

struct EntryRequest {
  JobSpec spec;
  RequestPhase phase = RequestPhase::kParked;
  TimePoint received;
  std::optional<TimePoint> deadline;
  /// XXH64 of the payload, which is dropped at the end of the job.
  std::uint64_t payload_hash = 0;
  CellId cell;
  /// Cell to which the records are being moved.
  CellId target;
  /// The scheduler to which it was sent last; only its refusals count.
  Address scheduler;
  /// Whether any scheduler may have it.
  bool sent = false;
  bool accepted = false;
  bool records_created = false;
  /// Current value of the request record, for non-idempotent requests.
  std::string record;
  std::uint64_t operation = 0;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  bool cancel_requested = false;
  /// A caller was told "accepted" and can come back, so a disconnect no longer cancels the job.
  bool acknowledged = false;
  std::set<CellId> tried;
  std::vector<RequestWaiter> waiters;
  std::vector<std::string> routing;
  /// Result, or the refusal that waits for its records to be settled.
  JobResult result;
  TimePoint finished;
  TimePoint next_poll;
  /// Observed jobs: until when unsuccessful look-ups go on.
  TimePoint lookup_until;
  bool known = false;
  std::uint32_t damaged_answers = 0;
  std::uint32_t lost_reports = 0;
};

struct KnownCell {
  CellId id;
  Address holder;
  Epoch epoch;
  std::optional<CellSummary> summary;
  TimePoint heard;
  std::uint32_t tasks_sent = 0;
};

struct PendingExplain {
  CallerId caller;
  JobId job;
  TimePoint until;
};

enum class OperationKind : std::uint8_t {
  kCreate,
  kMove,
  kFence,
  /// Creates a fenced record where a create of unknown outcome may still arrive.
  kBlock,
  kReadJob,
  kRetract,
  kReadAnswer,
};

struct PendingOperation {
  OperationKind kind = OperationKind::kCreate;
  JobId job;
};

using KeyedRequest = std::pair<WorkspaceId, RequestKey>;

}  // namespace internal

struct EntryCore::Impl {
  explicit Impl(EntryOptions entry_options)
      : options(std::move(entry_options)), link(0), retries(RoutingConfiguration{}.retry_percent) {}

  EntryOptions options;
  RoutingConfiguration configuration;
  LinkBudget link;
  RetryBudget retries;
  std::map<CellId, internal::KnownCell> cells;
  std::unordered_map<JobId, internal::EntryRequest> requests;
  std::map<internal::KeyedRequest, JobId> keys;
  std::unordered_map<CallerId, JobId> callers;
  std::map<std::uint64_t, internal::PendingOperation> operations;
  std::map<std::uint64_t, internal::PendingExplain> explains;
  /// Finished jobs, oldest first, for eviction.
  std::deque<JobId> retained;
  std::size_t retained_bytes = 0;
  std::size_t payload_bytes = 0;
  std::size_t unfinished = 0;
  std::uint64_t next_operation = 1;
  std::uint64_t next_explain = 1;
  bool stopping = false;
  bool store_reachable = true;

  // The event and where its effects go, while it is handled.
  TimePoint now;
  EntryEffects* out = nullptr;

  // entry_core.cc
  internal::EntryRequest* Find(const JobId& job);
  void Send(const Address& to, Message message);
  void LogLine(EventId event, std::string text);
  void Reply(CallerId caller, std::variant<JobEndReply, StateReply, ExplainReply, ListReply> body,
             bool last = true);
  void ReplyError(CallerId caller, const JobId& job, ErrorKind kind, const std::string& message);
  StateReply StateOf(const internal::EntryRequest& request) const;

  // entry_core_submit.cc
  void On(const SubmitRequest& event);
  bool AttachToFirst(const SubmitRequest& event);
  bool RefuseEarly(const SubmitRequest& event);
  void Start(internal::EntryRequest& request);
  void StartIn(internal::EntryRequest& request, const Routed& routed, bool refused = false);
  RoutingResult Route(const internal::EntryRequest& request);
  void Submit(internal::EntryRequest& request);
  void AddWaiter(internal::EntryRequest& request, CallerId caller, Duration wait,
                 bool streams_progress = false);
  Duration Remaining(const internal::EntryRequest& request) const;

  // entry_core_records.cc
  void On(const StoreCompleted& event);
  void BeginOperation(internal::EntryRequest& request, internal::OperationKind kind,
                      EntryStoreOperation operation);
  /// `replaced` is the value of a fenced record that the new one replaces, or empty.
  void CreateRecords(internal::EntryRequest& request, const std::string& replaced);
  /// `refused`: the job was refused by its cell; otherwise the cell is silent.
  void MoveRecords(internal::EntryRequest& request, const CellId& to, bool refused);
  void Fence(internal::EntryRequest& request);
  void BlockRecord(internal::EntryRequest& request);
  void ReadJob(internal::EntryRequest& request);
  void JobRead(internal::EntryRequest& request, const StoreCompleted& event);
  void ReadAnswer(internal::EntryRequest& request);
  void Created(internal::EntryRequest& request, const StoreCompleted& event);
  void FoundRecord(internal::EntryRequest& request, const StoreKeyValue& pair);
  void Adopt(internal::EntryRequest& request, const RequestRecord& record,
             const std::string& value);
  void Moved(internal::EntryRequest& request, const StoreCompleted& event);
  void Fenced(internal::EntryRequest& request, internal::OperationKind kind,
              const StoreCompleted& event);
  void Retracted(internal::EntryRequest& request, const StoreCompleted& event);
  void AnswerRead(internal::EntryRequest& request, const StoreCompleted& event);

  // entry_core_messages.cc
  void On(const ProcessMessage& event);
  void OnMessage(const Address& from, const JobAccepted& message);
  void OnMessage(const Address& from, const JobProgress& message);
  void OnMessage(const Address& from, const JobFinished& message);
  void OnMessage(const Address& from, const JobReport& message);
  void OnMessage(const Address& from, const CellSummary& message);
  void On(const CellChanged& event);
  void SchedulerChanged(internal::KnownCell& cell);
  void UpdateState(internal::EntryRequest& request, JobState state, std::uint32_t attempts);
  void DamagedAnswer(internal::EntryRequest& request, const JobResult& result);

  // entry_core_finish.cc
  void Refused(internal::EntryRequest& request, JobResult result);
  bool TryElsewhere(internal::EntryRequest& request, ErrorKind kind);
  void Settle(internal::EntryRequest& request, JobResult result);
  void Finish(internal::EntryRequest& request, JobResult result);
  void Retain(internal::EntryRequest& request);
  void Evict();
  void Erase(const JobId& job);

  // entry_core_queries.cc
  void On(const ResultRequest& event);
  void On(const ProgressRequest& event);
  void On(const ExplainRequest& event);
  void On(const ListRequest& event);
  void On(const CancelRequest& event);
  void On(const CallerGone& event);
  internal::EntryRequest& Observe(const JobId& job);
  void QueryEverywhere(const JobId& job, std::uint64_t query);
  void RequestCancel(internal::EntryRequest& request);
  void ExplainWith(const internal::PendingExplain& pending, const JobReport* report);

  // entry_core_tick.cc
  void On(const RoutingConfiguration& event);
  void On(const StoreState& event);
  void On(const TickEvent& event);
  void On(const StopEvent& event);
  void TickRequest(internal::EntryRequest& request);
  bool PassDeadline(internal::EntryRequest& request);
  void Poll(internal::EntryRequest& request);
  void LeaveSilentCell(internal::EntryRequest& request);
  void ExpireWaiters(internal::EntryRequest& request);
  void ExpireExplains();
};

}  // namespace basilspring

#endif  // BASILSPRING_SRC_PROCESS_ENTRY_CORE_INTERNAL_H_
