#include <fmt/format.h>

#include <utility>

#include "basilspring/connection/frame.h"
#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::OperationKind;
using internal::PendingOperation;
using internal::RequestPhase;

namespace {

std::string EncodeOpenRecord(const EntryRequest& request, const CellId& cell) {
  return EncodeRequestRecord({RequestRecordState::kOpen, request.spec.id, cell, ""});
}

std::string RequestRecordKeyOf(const EntryRequest& request) {
  return RequestRecordKey(request.spec.workspace, request.spec.request_key);
}

JobResult MakeFailure(ErrorKind kind, std::string message) {
  JobResult result;
  result.error = kind;
  result.message = std::move(message);
  if (ErrorInfo(kind).retryable) result.retry_after = Duration(1000);
  return result;
}

// The result of a request of which nothing was written, because the store is unavailable. For a
// non-idempotent request it can't be "not run", because an earlier request with the same key may
// have run, which only the store shows.
JobResult StoreUnavailableResult(const EntryRequest& request) {
  if (request.spec.idempotent) {
    return MakeFailure(ErrorKind::kStoreUnavailable,
                       "the store does not answer, nothing was written");
  }
  JobResult result = MakeFailure(ErrorKind::kKeyUnverified,
                                 "the store does not answer; repeat the request with the same key");
  result.retry_after = Duration(1000);
  return result;
}

}  // namespace

void EntryCore::Impl::BeginOperation(EntryRequest& request, OperationKind kind,
                                     EntryStoreOperation operation) {
  operation.id = next_operation++;
  request.operation = operation.id;
  pending_operations[operation.id] = PendingOperation{kind, request.spec.id};
  effects->operations.push_back(std::move(operation));
}

void EntryCore::Impl::OnEvent(const StoreOperationCompleted& event) {
  const auto found = pending_operations.find(event.operation);
  if (found == pending_operations.end()) return;
  const PendingOperation operation = found->second;
  pending_operations.erase(found);
  EntryRequest* const request = FindRequest(operation.job);
  // The result of an operation that the request no longer waits for is ignored.
  if (request == nullptr || request->operation != event.operation) return;
  request->operation = 0;
  if (request->phase == RequestPhase::kFinished) return;
  switch (operation.kind) {
    case OperationKind::kCreate:
      return OnRecordsCreated(*request, event);
    case OperationKind::kMove:
      return OnRecordsMoved(*request, event);
    case OperationKind::kFence:
    case OperationKind::kCreateFenced:
      return OnFenceResult(*request, operation.kind, event);
    case OperationKind::kReadJobRecord:
      return OnJobRecordRead(*request, event);
    case OperationKind::kDeleteJobRecord:
      return OnJobRecordDeleted(*request, event);
    case OperationKind::kReadAnswer:
      return OnAnswerRead(*request, event);
  }
}

void EntryCore::Impl::CreateRecords(EntryRequest& request, const std::string& replaced) {
  // A write to a store that hangs would have an unknown outcome. Without the write, "not run" is
  // certain.
  if (!store_reachable) {
    return Finish(request, StoreUnavailableResult(request));
  }
  request.phase = RequestPhase::kCreating;
  EntryStoreOperation operation;
  const std::string job_key = JobRecordKey(request.cell, request.spec.id);
  operation.conditions.push_back(KeyAbsent{job_key});
  operation.writes.push_back(PutKey{job_key, EncodeJobSpec(request.spec)});
  if (!request.spec.idempotent) {
    const std::string key = RequestRecordKeyOf(request);
    request.record = EncodeOpenRecord(request, request.cell);
    if (replaced.empty()) {
      operation.conditions.push_back(KeyAbsent{key});
    } else {
      operation.conditions.push_back(ValueIs{key, replaced});
    }
    operation.writes.push_back(PutKey{key, request.record});
    operation.reads.push_back(key);
  }
  BeginOperation(request, OperationKind::kCreate, std::move(operation));
}

void EntryCore::Impl::OnRecordsCreated(EntryRequest& request,
                                       const StoreOperationCompleted& event) {
  if (event.error == ErrorKind::kStoreUnavailable) {
    return Finish(request, StoreUnavailableResult(request));
  }
  if (event.error != ErrorKind::kNone) {
    request.result = MakeFailure(ErrorKind::kStoreUnavailable,
                                 "the store did not confirm the records of the job");
    // The write may still reach the store, so "not run" is certain only once the record is fenced.
    if (!request.spec.idempotent) {
      request.phase = RequestPhase::kCleaningUp;
      return FenceRecord(request);
    }
    return Finish(request, MakeFailure(ErrorKind::kStoreOutcomeUnknown,
                                       "the store did not say whether the job was recorded"));
  }
  if (event.succeeded) {
    request.records_created = true;
    if (request.cancel_requested) {
      return CleanUpAndFinish(
          request, MakeFailure(ErrorKind::kCancelled, "cancelled before it was submitted"));
    }
    return Submit(request);
  }
  const std::string key = RequestRecordKeyOf(request);
  for (const StoreKeyValue& pair : event.found) {
    if (pair.key == key) return OnExistingRecord(request, pair);
  }
  Finish(request, MakeFailure(ErrorKind::kConflict, "a job with this id has a record already"));
}

void EntryCore::Impl::OnExistingRecord(EntryRequest& request, const StoreKeyValue& pair) {
  RequestRecord record;
  try {
    record = DecodeRequestRecord(pair.value);
  } catch (const Error& error) {
    return Finish(request, MakeFailure(ErrorKind::kOutcomeUnknown, error.what()));
  }
  const bool same_job = record.job == request.spec.id;
  if (same_job && record.state == RequestRecordState::kOpen) {
    request.records_created = true;
    request.record = pair.value;
    return Submit(request);
  }
  // A fenced job was reported as "not run" and can't be claimed, so its key can be reused.
  if (record.state == RequestRecordState::kFenced) return CreateRecords(request, pair.value);
  AdoptExistingJob(request, record, pair.value);
}

void EntryCore::Impl::AdoptExistingJob(EntryRequest& request, const RequestRecord& record,
                                       const std::string& value) {
  const JobId own = request.spec.id;
  LogLine(EventId::kRequestRouted,
          fmt::format("job={} cell={} reason=\"request {} was accepted before as this job\"",
                      record.job.value(), record.cell.value(), request.spec.request_key.value()));
  if (EntryRequest* const first = FindRequest(record.job)) {
    for (const internal::RequestWaiter& waiter : request.waiters) {
      AddWaiter(*first, waiter.caller, waiter.until - now, waiter.streams_progress);
    }
    request.waiters.clear();
    jobs_by_key[{request.spec.workspace, request.spec.request_key}] = record.job;
    return Erase(own);
  }
  auto node = requests.extract(own);
  node.key() = record.job;
  EntryRequest& adopted = requests.insert(std::move(node)).position->second;
  adopted.spec.id = record.job;
  jobs_by_key[{adopted.spec.workspace, adopted.spec.request_key}] = record.job;
  for (const internal::RequestWaiter& waiter : adopted.waiters) {
    jobs_by_caller[waiter.caller] = record.job;
  }
  adopted.cell = record.cell;
  adopted.record = value;
  adopted.records_created = true;
  // Resubmitting an open job is harmless, and necessary if the first entry failed before it
  // submitted the job.
  if (record.state == RequestRecordState::kOpen) return Submit(adopted);
  adopted.phase = RequestPhase::kObserved;
  adopted.confirmed = true;
  adopted.next_poll = now;
  ReadAnswer(adopted);
}

void EntryCore::Impl::MoveRecords(EntryRequest& request, const CellId& to, bool refused) {
  request.phase = RequestPhase::kMoving;
  request.target = to;
  EntryStoreOperation operation;
  const std::string job_key = JobRecordKey(to, request.spec.id);
  const std::string answer_key = AnswerKey(request.spec.id);
  operation.conditions.push_back(KeyAbsent{job_key});
  operation.writes.push_back(PutKey{job_key, EncodeJobSpec(request.spec)});
  if (!request.spec.idempotent) {
    // A cell scheduler fences the record before it refuses, so nothing in its cell can claim the
    // job.
    const std::string key = RequestRecordKeyOf(request);
    const std::string fenced =
        EncodeRequestRecord({RequestRecordState::kFenced, request.spec.id, request.cell, ""});
    operation.conditions.push_back(ValueIs{key, fenced});
    operation.writes.push_back(PutKey{key, EncodeOpenRecord(request, to)});
    operation.reads.push_back(key);
  }
  operation.writes.push_back(DeleteKey{JobRecordKey(request.cell, request.spec.id)});
  if (refused) {
    // The scheduler that refused has stored the refusal as the job's answer.
    operation.writes.push_back(DeleteKey{answer_key});
  } else {
    operation.conditions.push_back(KeyAbsent{answer_key});
  }
  BeginOperation(request, OperationKind::kMove, std::move(operation));
}

void EntryCore::Impl::OnRecordsMoved(EntryRequest& request, const StoreOperationCompleted& event) {
  if (event.error == ErrorKind::kNone && event.succeeded) {
    request.cell = request.target;
    if (!request.spec.idempotent) request.record = EncodeOpenRecord(request, request.cell);
    request.result = JobResult{};
    return Submit(request);
  }
  // Unless the job was refused, it stays in its cell.
  if (request.result.error == ErrorKind::kNone) return Submit(request);
  CleanUpAndFinish(request, std::move(request.result));
}

void EntryCore::Impl::FenceRecord(EntryRequest& request) {
  EntryStoreOperation operation;
  const std::string key = RequestRecordKeyOf(request);
  operation.conditions.push_back(ValueIs{key, request.record});
  operation.writes.push_back(PutKey{
      key, EncodeRequestRecord({RequestRecordState::kFenced, request.spec.id, request.cell, ""})});
  operation.writes.push_back(DeleteKey{JobRecordKey(request.cell, request.spec.id)});
  operation.reads.push_back(key);
  BeginOperation(request, OperationKind::kFence, std::move(operation));
}

void EntryCore::Impl::CreateFencedRecord(EntryRequest& request) {
  EntryStoreOperation operation;
  const std::string key = RequestRecordKeyOf(request);
  operation.conditions.push_back(KeyAbsent{key});
  operation.writes.push_back(PutKey{
      key, EncodeRequestRecord({RequestRecordState::kFenced, request.spec.id, request.cell, ""})});
  operation.reads.push_back(key);
  BeginOperation(request, OperationKind::kCreateFenced, std::move(operation));
}

void EntryCore::Impl::OnFenceResult(EntryRequest& request, OperationKind kind,
                                    const StoreOperationCompleted& event) {
  JobResult refusal = request.result;
  const JobResult unknown =
      MakeFailure(ErrorKind::kOutcomeUnknown,
                  fmt::format("{}, but its request record could not be fenced", refusal.message));
  if (event.error != ErrorKind::kNone) return Finish(request, unknown);
  if (event.succeeded) return Finish(request, std::move(refusal));
  if (event.found.empty()) {
    if (kind == OperationKind::kFence && !request.records_created) {
      return CreateFencedRecord(request);
    }
    return Finish(request, unknown);
  }
  RequestRecord record;
  try {
    record = DecodeRequestRecord(event.found.front().value);
  } catch (const Error&) {
    return Finish(request, unknown);
  }
  const bool same_job = record.job == request.spec.id;
  if (record.state == RequestRecordState::kFenced && same_job) {
    return Finish(request, std::move(refusal));
  }
  if (!same_job) {
    // Another request used the key before the record of this job was created, so this job has not
    // run.
    return Finish(request, request.records_created ? unknown : refusal);
  }
  if (record.state == RequestRecordState::kOpen && event.found.front().value != request.record) {
    // An earlier move of unknown outcome was applied.
    request.record = event.found.front().value;
    request.cell = record.cell;
    request.records_created = true;
    return FenceRecord(request);
  }
  // The job is claimed or done, so its answer may be in the store.
  request.result = unknown;
  ReadAnswer(request);
}

void EntryCore::Impl::ReadJobRecord(EntryRequest& request) {
  EntryStoreOperation operation;
  operation.reads.push_back(JobRecordKey(request.cell, request.spec.id));
  BeginOperation(request, OperationKind::kReadJobRecord, std::move(operation));
}

void EntryCore::Impl::OnJobRecordRead(EntryRequest& request, const StoreOperationCompleted& event) {
  if (event.error != ErrorKind::kNone) return OnJobRecordDeleted(request, event);
  if (event.found.empty()) return Finish(request, std::move(request.result));
  EntryStoreOperation operation;
  const StoreKeyValue& pair = event.found.front();
  operation.conditions.push_back(ModRevisionIs{pair.key, pair.mod_revision});
  operation.writes.push_back(DeleteKey{pair.key});
  operation.reads.push_back(pair.key);
  BeginOperation(request, OperationKind::kDeleteJobRecord, std::move(operation));
}

void EntryCore::Impl::OnJobRecordDeleted(EntryRequest& request,
                                         const StoreOperationCompleted& event) {
  const bool gone = event.succeeded || event.found.empty();
  if (event.error == ErrorKind::kNone && gone) return Finish(request, std::move(request.result));
  // The next scheduler of the cell would run a job whose record remains.
  Finish(request, MakeFailure(ErrorKind::kOutcomeUnknown,
                              fmt::format("{}, but its job record could not be removed",
                                          request.result.message)));
}

void EntryCore::Impl::ReadAnswer(EntryRequest& request) {
  EntryStoreOperation operation;
  operation.reads.push_back(AnswerKey(request.spec.id));
  BeginOperation(request, OperationKind::kReadAnswer, std::move(operation));
}

void EntryCore::Impl::OnAnswerRead(EntryRequest& request, const StoreOperationCompleted& event) {
  if (event.error == ErrorKind::kNone && !event.found.empty()) {
    JobResult result;
    try {
      result = DecodeJobResult(event.found.front().value);
    } catch (const Error& error) {
      result = MakeFailure(ErrorKind::kInternal, error.what());
    }
    // The shape of a job that another entry submitted is unknown to this entry.
    const bool complete = request.phase == RequestPhase::kObserved ||
                          result.answer.outputs.size() == request.spec.shape.tasks;
    if (result.error == ErrorKind::kNone && !(complete && HasValidChecksum(result.answer))) {
      result = MakeFailure(ErrorKind::kInternal, "the answer in the store is damaged");
    }
    return Finish(request, std::move(result));
  }
  if (request.phase == RequestPhase::kCleaningUp) return Finish(request, std::move(request.result));
  if (event.error != ErrorKind::kNone) return;
  if (request.phase == RequestPhase::kSubmitted) return Submit(request);
  if (request.reports_without_answer < 3) return;
  if (!request.record.empty()) {
    return Finish(request,
                  MakeFailure(ErrorKind::kOutcomeUnknown,
                              "the job was claimed, and neither its cell nor the store has "
                              "its answer"));
  }
  Finish(request,
         MakeFailure(ErrorKind::kNotFound,
                     "the job has ended, and its answer is not in the store; the answer of an "
                     "urgent job is kept only by the entry that accepted it"));
}

}  // namespace basilspring
