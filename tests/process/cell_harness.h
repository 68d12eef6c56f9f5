#ifndef BASILSPRING_TESTS_PROCESS_CELL_HARNESS_H_
#define BASILSPRING_TESTS_PROCESS_CELL_HARNESS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilspring/process/cell_core.h"

namespace basilspring::testing {

/// The agent of one worker, reduced to what a cell scheduler can observe. Its state is kept when
/// the scheduler is replaced.
struct FakeAgent {
  WorkerId id;
  Address address;
  WorkerCapacity capacity;
  Epoch epoch;
  std::uint64_t sequence = 0;
  std::map<std::pair<AttemptId, std::uint32_t>, TaskReport> tasks;
  /// TaskDone messages that are sent once the agent is no longer silent.
  std::vector<TaskDone> unsent;

  // Faults that the test switches on and off.
  bool silent = false;
  bool refuse_prepare = false;
  bool ignore_prepare = false;
  bool ignore_start = false;
  /// The error with which each Start fails, unless kNone.
  ErrorKind start_error = ErrorKind::kNone;
  /// Whether a task that fails with start_error is reported as started.
  bool error_after_start = false;
};

/// Drives one CellCore against fake agents, a fake store and one entry. Messages are delivered
/// immediately and in order; the clock advances only in Run.
class CellHarness {
 public:
  static constexpr std::uint64_t kFirstEpoch = 10;

  CellHarness();

  FakeAgent& AddWorker(const std::string& name, std::uint32_t accelerators = 8);
  FakeAgent& agent(const std::string& name) { return *agents_.at(name); }

  /// Advances the clock in ticks of 50 ms; agents send heartbeats every 2 s.
  void Run(std::int64_t milliseconds);
  /// Passes an event to the core, and then the answers to its effects until there are none left.
  void Deliver(CellEvent event);
  void FromEntry(Message message) { Deliver(CellMessage{entry, std::move(message)}); }
  void FromAgent(const FakeAgent& from, Message message) {
    Deliver(CellMessage{from.address, std::move(message)});
  }

  JobSpec Submit(const std::string& id, std::uint32_t tasks = 1, std::uint32_t accelerators = 8,
                 bool idempotent = true, JobClass job_class = JobClass::kUrgent);
  void Cancel(const std::string& id) { FromEntry(CancelJob{JobId(id)}); }
  void Configure(std::uint64_t revision, std::vector<ConfigNode> nodes);
  /// Ends all running tasks of a job successfully, with the output "<job>/<rank>".
  void FinishTasks(const std::string& job);

  /// Replaces the scheduler by one with a higher epoch, as if the old one had crashed. Advances the
  /// clock past the rebuild if `run_rebuild` is true.
  void ReplaceScheduler(bool run_rebuild = true);

  /// The result in the last JobFinished of a job; null if there is none.
  const JobResult* Result(const std::string& job) const;
  /// The error kind of Result(); kCount if there is no result.
  ErrorKind Outcome(const std::string& job) const;
  /// Number of running tasks of a job.
  std::size_t Running(const std::string& job) const;
  /// Number of tasks that are prepared but not started, on all agents.
  std::size_t PreparedTasks() const;
  /// All messages of this type that the core has sent.
  template <typename Type>
  std::vector<Type> Sent() const {
    std::vector<Type> found;
    for (const CellSend& send : sent) {
      if (const Type* const message = std::get_if<Type>(&send.message)) found.push_back(*message);
    }
    return found;
  }

  TimePoint now = TimePoint(1'000'000);
  Address entry{"127.0.0.1", 1};
  std::unique_ptr<CellCore> core;
  std::vector<CellSend> sent;
  std::vector<CellLogLine> log;
  bool superseded = false;

  /// The attempts of each job of which an agent has started a task.
  std::map<JobId, std::set<AttemptId>> started;

  // Permits.
  bool give_permits = true;
  bool data_centre_out = false;
  Duration permit_remaining = Duration(2000);

  // The fake store. A request record is "open", "claimed <attempt>" or "fenced".
  std::map<JobId, JobSpec> records;
  std::map<JobId, std::string> requests;
  std::map<JobId, JobResult> answers;
  bool store_down = false;
  /// Claims take effect, but their reply is lost, so that the outcome is kUnknown.
  bool lose_claim_reply = false;
  /// Store operations are collected in held_operations instead of being executed.
  bool hold_store_operations = false;
  std::deque<StoreOperation> held_operations;

 private:
  void ApplyOutput(CellOutput output);
  void ToAgent(FakeAgent& agent, const Message& message);
  void OnPrepare(FakeAgent& agent, const Prepare& prepare);
  void OnStart(FakeAgent& agent, const Start& start);
  void OnStop(FakeAgent& agent, const StopTask& stop);
  void OnOperation(const StoreOperation& operation);
  StoreOutcome Claim(const ClaimRequest& claim);
  void Heartbeats();
  void SendUnsent(FakeAgent& agent);

  std::map<std::string, std::unique_ptr<FakeAgent>> agents_;
  std::deque<CellEvent> events_;
  bool delivering_ = false;
  std::uint64_t epoch_ = kFirstEpoch;
};

}  // namespace basilspring::testing

#endif  // BASILSPRING_TESTS_PROCESS_CELL_HARNESS_H_
