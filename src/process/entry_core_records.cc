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

std::string OpenRecord(const EntryRequest& request, const CellId& cell) {
  return EncodeRequestRecord({RequestRecordState::kOpen, request.spec.id, cell, ""});
}

std::string KeyOf(const EntryRequest& request) {
  return RequestRecordKey(request.spec.workspace, request.spec.request_key);
}

JobResult Failure(ErrorKind kind, std::string message) {
  JobResult result;
  result.error = kind;
  result.message = std::move(message);
  if (ErrorInfo(kind).retryable) result.retry_after = Duration(1000);
  return result;
}

// Nothing of this request was written. An earlier one with the same key may have run all the same,
// which only the store knows, so of a non-idempotent request "not run" can't be said.
JobResult NothingWritten(const EntryRequest& request) {
  if (request.spec.idempotent) {
    return Failure(ErrorKind::kStoreUnavailable, "the store does not answer, nothing was written");
  }
  JobResult result = Failure(ErrorKind::kKeyUnverified,
                             "the store does not answer; repeat the request with the same key");
  result.retry_after = Duration(1000);
  return result;
}

}  // namespace

void EntryCore::Impl::BeginOperation(EntryRequest& request, OperationKind kind,
                                     EntryStoreOperation operation) {
  operation.id = next_operation++;
  request.operation = operation.id;
  operations[operation.id] = PendingOperation{kind, request.spec.id};
  out->operations.push_back(std::move(operation));
}

void EntryCore::Impl::On(const StoreCompleted& event) {
  const auto found = operations.find(event.operation);
  if (found == operations.end()) return;
  const PendingOperation operation = found->second;
  operations.erase(found);
  EntryRequest* const request = Find(operation.job);
  // An operation that the request no longer waits for has nothing left to decide.
  if (request == nullptr || request->operation != event.operation) return;
  request->operation = 0;
  if (request->phase == RequestPhase::kFinished) return;
  switch (operation.kind) {
    case OperationKind::kCreate:
      return Created(*request, event);
    case OperationKind::kMove:
      return Moved(*request, event);
    case OperationKind::kFence:
    case OperationKind::kBlock:
      return Fenced(*request, operation.kind, event);
    case OperationKind::kReadJob:
      return JobRead(*request, event);
    case OperationKind::kRetract:
      return Retracted(*request, event);
    case OperationKind::kReadAnswer:
      return AnswerRead(*request, event);
  }
}

void EntryCore::Impl::CreateRecords(EntryRequest& request, const std::string& replaced) {
  // A write to a store that hangs would end with an unknown outcome; not to try is a true "not
  // run".
  if (!store_reachable) {
    return Finish(request, NothingWritten(request));
  }
  request.phase = RequestPhase::kCreating;
  EntryStoreOperation operation;
  const std::string job_key = JobRecordKey(request.cell, request.spec.id);
  operation.conditions.push_back(KeyAbsent{job_key});
  operation.writes.push_back(PutKey{job_key, EncodeJobSpec(request.spec)});
  if (!request.spec.idempotent) {
    const std::string key = KeyOf(request);
    request.record = OpenRecord(request, request.cell);
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

void EntryCore::Impl::Created(EntryRequest& request, const StoreCompleted& event) {
  if (event.error == ErrorKind::kStoreUnavailable) {
    return Finish(request, NothingWritten(request));
  }
  if (event.error != ErrorKind::kNone) {
    request.result =
        Failure(ErrorKind::kStoreUnavailable, "the store did not confirm the records of the job");
    // The write may still arrive, so the refusal is "not run" only once the record is fenced.
    if (!request.spec.idempotent) {
      request.phase = RequestPhase::kSettling;
      return Fence(request);
    }
    return Finish(request, Failure(ErrorKind::kStoreOutcomeUnknown,
                                   "the store did not say whether the job was recorded"));
  }
  if (event.succeeded) {
    request.records_created = true;
    if (request.cancel_requested) {
      return Settle(request, Failure(ErrorKind::kCancelled, "cancelled before it was submitted"));
    }
    return Submit(request);
  }
  const std::string key = KeyOf(request);
  for (const StoreKeyValue& pair : event.found) {
    if (pair.key == key) return FoundRecord(request, pair);
  }
  Finish(request, Failure(ErrorKind::kConflict, "a job with this id has a record already"));
}

void EntryCore::Impl::FoundRecord(EntryRequest& request, const StoreKeyValue& pair) {
  RequestRecord record;
  try {
    record = DecodeRequestRecord(pair.value);
  } catch (const Error& error) {
    return Finish(request, Failure(ErrorKind::kOutcomeUnknown, error.what()));
  }
  const bool ours = record.job == request.spec.id;
  if (ours && record.state == RequestRecordState::kOpen) {
    request.records_created = true;
    request.record = pair.value;
    return Submit(request);
  }
  // A fenced job was refused as "not run" and can't be claimed, so its key can be used again.
  if (record.state == RequestRecordState::kFenced) return CreateRecords(request, pair.value);
  Adopt(request, record, pair.value);
}

void EntryCore::Impl::Adopt(EntryRequest& request, const RequestRecord& record,
                            const std::string& value) {
  const JobId own = request.spec.id;
  LogLine(EventId::kRequestRouted,
          fmt::format("job={} cell={} reason=\"request {} was accepted before as this job\"",
                      record.job.value(), record.cell.value(), request.spec.request_key.value()));
  if (EntryRequest* const first = Find(record.job)) {
    for (const internal::RequestWaiter& waiter : request.waiters) {
      AddWaiter(*first, waiter.caller, waiter.until - now, waiter.streams_progress);
    }
    request.waiters.clear();
    keys[{request.spec.workspace, request.spec.request_key}] = record.job;
    return Erase(own);
  }
  auto node = requests.extract(own);
  node.key() = record.job;
  EntryRequest& adopted = requests.insert(std::move(node)).position->second;
  adopted.spec.id = record.job;
  keys[{adopted.spec.workspace, adopted.spec.request_key}] = record.job;
  for (const internal::RequestWaiter& waiter : adopted.waiters) callers[waiter.caller] = record.job;
  adopted.cell = record.cell;
  adopted.record = value;
  adopted.records_created = true;
  // Submitting an open job again is harmless, and needed when the first entry died before it did.
  if (record.state == RequestRecordState::kOpen) return Submit(adopted);
  adopted.phase = RequestPhase::kObserved;
  adopted.known = true;
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
    // Before it refuses, a cell scheduler fences the record, so nothing in its cell can claim it.
    const std::string key = KeyOf(request);
    const std::string fenced =
        EncodeRequestRecord({RequestRecordState::kFenced, request.spec.id, request.cell, ""});
    operation.conditions.push_back(ValueIs{key, fenced});
    operation.writes.push_back(PutKey{key, OpenRecord(request, to)});
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

void EntryCore::Impl::Moved(EntryRequest& request, const StoreCompleted& event) {
  if (event.error == ErrorKind::kNone && event.succeeded) {
    request.cell = request.target;
    if (!request.spec.idempotent) request.record = OpenRecord(request, request.cell);
    request.result = JobResult{};
    return Submit(request);
  }
  // Without a refusal the job stays where it is.
  if (request.result.error == ErrorKind::kNone) return Submit(request);
  Settle(request, std::move(request.result));
}

void EntryCore::Impl::Fence(EntryRequest& request) {
  EntryStoreOperation operation;
  const std::string key = KeyOf(request);
  operation.conditions.push_back(ValueIs{key, request.record});
  operation.writes.push_back(PutKey{
      key, EncodeRequestRecord({RequestRecordState::kFenced, request.spec.id, request.cell, ""})});
  operation.writes.push_back(DeleteKey{JobRecordKey(request.cell, request.spec.id)});
  operation.reads.push_back(key);
  BeginOperation(request, OperationKind::kFence, std::move(operation));
}

void EntryCore::Impl::BlockRecord(EntryRequest& request) {
  EntryStoreOperation operation;
  const std::string key = KeyOf(request);
  operation.conditions.push_back(KeyAbsent{key});
  operation.writes.push_back(PutKey{
      key, EncodeRequestRecord({RequestRecordState::kFenced, request.spec.id, request.cell, ""})});
  operation.reads.push_back(key);
  BeginOperation(request, OperationKind::kBlock, std::move(operation));
}

void EntryCore::Impl::Fenced(EntryRequest& request, OperationKind kind,
                             const StoreCompleted& event) {
  JobResult refusal = request.result;
  const JobResult unknown =
      Failure(ErrorKind::kOutcomeUnknown,
              fmt::format("{}, but its request record could not be fenced", refusal.message));
  if (event.error != ErrorKind::kNone) return Finish(request, unknown);
  if (event.succeeded) return Finish(request, std::move(refusal));
  if (event.found.empty()) {
    if (kind == OperationKind::kFence && !request.records_created) return BlockRecord(request);
    return Finish(request, unknown);
  }
  RequestRecord record;
  try {
    record = DecodeRequestRecord(event.found.front().value);
  } catch (const Error&) {
    return Finish(request, unknown);
  }
  const bool ours = record.job == request.spec.id;
  if (record.state == RequestRecordState::kFenced && ours) {
    return Finish(request, std::move(refusal));
  }
  if (!ours) {
    // Before the record of this job was created, another request used the key: this job is not run.
    return Finish(request, request.records_created ? unknown : refusal);
  }
  if (record.state == RequestRecordState::kOpen && event.found.front().value != request.record) {
    // A move of unknown outcome had taken effect.
    request.record = event.found.front().value;
    request.cell = record.cell;
    request.records_created = true;
    return Fence(request);
  }
  // Claimed or done: the answer may stand in the store.
  request.result = unknown;
  ReadAnswer(request);
}

void EntryCore::Impl::ReadJob(EntryRequest& request) {
  EntryStoreOperation operation;
  operation.reads.push_back(JobRecordKey(request.cell, request.spec.id));
  BeginOperation(request, OperationKind::kReadJob, std::move(operation));
}

void EntryCore::Impl::JobRead(EntryRequest& request, const StoreCompleted& event) {
  if (event.error != ErrorKind::kNone) return Retracted(request, event);
  if (event.found.empty()) return Finish(request, std::move(request.result));
  EntryStoreOperation operation;
  const StoreKeyValue& pair = event.found.front();
  operation.conditions.push_back(ModRevisionIs{pair.key, pair.mod_revision});
  operation.writes.push_back(DeleteKey{pair.key});
  operation.reads.push_back(pair.key);
  BeginOperation(request, OperationKind::kRetract, std::move(operation));
}

void EntryCore::Impl::Retracted(EntryRequest& request, const StoreCompleted& event) {
  const bool gone = event.succeeded || event.found.empty();
  if (event.error == ErrorKind::kNone && gone) return Finish(request, std::move(request.result));
  // A record that stays would be taken up by the next scheduler of the cell.
  Finish(request, Failure(ErrorKind::kOutcomeUnknown,
                          fmt::format("{}, but its job record could not be removed",
                                      request.result.message)));
}

void EntryCore::Impl::ReadAnswer(EntryRequest& request) {
  EntryStoreOperation operation;
  operation.reads.push_back(AnswerKey(request.spec.id));
  BeginOperation(request, OperationKind::kReadAnswer, std::move(operation));
}

void EntryCore::Impl::AnswerRead(EntryRequest& request, const StoreCompleted& event) {
  if (event.error == ErrorKind::kNone && !event.found.empty()) {
    JobResult result;
    try {
      result = DecodeJobResult(event.found.front().value);
    } catch (const Error& error) {
      result = Failure(ErrorKind::kInternal, error.what());
    }
    // The shape of a job that another entry submitted is not known here.
    const bool complete = request.phase == RequestPhase::kObserved ||
                          result.answer.outputs.size() == request.spec.shape.tasks;
    if (result.error == ErrorKind::kNone && !(complete && HasValidChecksum(result.answer))) {
      result = Failure(ErrorKind::kInternal, "the answer in the store is damaged");
    }
    return Finish(request, std::move(result));
  }
  if (request.phase == RequestPhase::kSettling) return Finish(request, std::move(request.result));
  if (event.error != ErrorKind::kNone) return;
  if (request.phase == RequestPhase::kSubmitted) return Submit(request);
  if (request.lost_reports < 3) return;
  if (!request.record.empty()) {
    return Finish(request, Failure(ErrorKind::kOutcomeUnknown,
                                   "the job was claimed, and neither its cell nor the store has "
                                   "its answer"));
  }
  Finish(request, Failure(ErrorKind::kNotFound,
                          "the job has ended, and its answer is not in the store; the answer of an "
                          "urgent job is kept only by the entry that accepted it"));
}

}  // namespace basilspring
