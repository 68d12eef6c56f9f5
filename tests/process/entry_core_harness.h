#ifndef BASILSPRING_TESTS_PROCESS_ENTRY_CORE_HARNESS_H_
#define BASILSPRING_TESTS_PROCESS_ENTRY_CORE_HARNESS_H_

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspring/process/entry_core.h"
#include "basilspring/request/request_record.h"

namespace basilspring {

/// Drives an EntryCore with a clock, cell summaries and store results that the test controls.
class EntryCoreTest : public testing::Test {
 protected:
  EntryCoreTest() : core_(Options()) { Configure(1000000); }

  static EntryOptions Options() {
    EntryOptions options;
    options.region = RegionId("south");
    options.max_requests = 4;
    return options;
  }

  void Configure(std::uint32_t link_kbps) { Handle(RoutingConfiguration{{}, link_kbps, 20}); }

  EntryEffects Handle(const EntryEvent& event) {
    EntryEffects effects;
    core_.Handle(now_, event, effects);
    for (const CallerReply& reply : effects.replies) {
      if (reply.last) replies_[reply.caller.value()].push_back(reply);
    }
    return effects;
  }

  EntryEffects AdvanceAndTick(Duration span) {
    now_ = now_ + span;
    return Handle(TickEvent{});
  }

  static Address SchedulerAddress(int number) {
    return Address{"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
  }

  /// Passes in a summary of cell "a/<number>" from its scheduler. `holder` is the number of the
  /// scheduler if it differs from that of the cell.
  EntryEffects ReceiveSummary(int number, std::uint64_t epoch = 1, int holder = 0,
                              const std::string& region = "south", std::int64_t wait_ms = 0) {
    CellSummary summary;
    summary.cell = CellId("a/" + std::to_string(number));
    summary.region = RegionId(region);
    summary.data_centre = DataCentreId("a");
    summary.epoch = Epoch(epoch);
    summary.workers = 1;
    summary.free_slots = 8;
    summary.estimated_wait = std::vector<Duration>(kJobClassCount, Duration(wait_ms));
    summary.ready = true;
    return Handle(ProcessMessage{SchedulerAddress(holder == 0 ? number : holder), summary});
  }

  static JobSpec Spec(const std::string& id, JobClass job_class = JobClass::kUrgent,
                      bool idempotent = true, const std::string& key = "") {
    return JobSpecBuilder()
        .Id(JobId(id))
        .Workspace(WorkspaceId("quotes"))
        .Key(RequestKey(key.empty() ? "key-" + id : key))
        .Class(job_class)
        .Idempotent(idempotent)
        .Payload("payload")
        .Build();
  }

  EntryEffects Submit(std::uint64_t caller, const JobSpec& spec, Duration wait = Duration(30000)) {
    return Handle(SubmitRequest{CallerId(caller), spec, wait});
  }

  EntryEffects ReceiveFinished(const Address& from, const std::string& job,
                               const JobResult& result) {
    return Handle(ProcessMessage{from, JobFinished{JobId(job), result, 1}});
  }

  static JobResult Success(const std::string& output) {
    JobResult result;
    result.answer = MakeAnswer({output});
    return result;
  }

  static JobResult Failure(ErrorKind kind) {
    JobResult result;
    result.error = kind;
    result.message = "from the test";
    return result;
  }

  static StoreOperationCompleted MakeCompletion(const EntryEffects& effects, bool succeeded) {
    StoreOperationCompleted completed;
    completed.operation = effects.operations.at(0).id;
    completed.succeeded = succeeded;
    return completed;
  }

  /// Returns the result of a transaction whose condition failed and whose read found this request
  /// record.
  static StoreOperationCompleted MakeFoundRecord(const EntryEffects& effects,
                                                 RequestRecordState state, const std::string& job,
                                                 const std::string& cell,
                                                 const std::string& token = "") {
    StoreOperationCompleted completed = MakeCompletion(effects, false);
    StoreKeyValue pair;
    pair.key = effects.operations.at(0).reads.at(0);
    pair.value = EncodeRequestRecord({state, JobId(job), CellId(cell), token});
    completed.found.push_back(pair);
    return completed;
  }

  template <typename Type>
  static std::vector<std::pair<Address, Type>> Sent(const EntryEffects& effects) {
    std::vector<std::pair<Address, Type>> found;
    for (const SendMessage& message : effects.messages) {
      if (const auto* const one = std::get_if<Type>(&message.message)) {
        found.emplace_back(message.to, *one);
      }
    }
    return found;
  }

  /// Returns the final reply to a caller; the test fails if there is none or more than one.
  const JobResult* EndResult(std::uint64_t caller) {
    const std::vector<CallerReply>& replies = replies_[caller];
    EXPECT_EQ(replies.size(), 1U) << "caller " << caller;
    if (replies.size() != 1) return nullptr;
    const auto* const reply = std::get_if<JobEndReply>(&replies[0].body);
    return reply == nullptr ? nullptr : &reply->result;
  }
  ErrorKind ErrorOf(std::uint64_t caller) {
    const JobResult* const result = EndResult(caller);
    return result == nullptr ? ErrorKind::kCount : result->error;
  }
  std::string OutputOf(std::uint64_t caller) {
    const JobResult* const result = EndResult(caller);
    return result == nullptr || result->answer.outputs.empty() ? "" : result->answer.outputs[0];
  }

  TimePoint now_{1000000};
  EntryCore core_;
  std::map<std::uint64_t, std::vector<CallerReply>> replies_;
};

}  // namespace basilspring

#endif  // BASILSPRING_TESTS_PROCESS_ENTRY_CORE_HARNESS_H_
