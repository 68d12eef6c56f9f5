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

/// The agent of one worker, as far as a cell scheduler sees it. Its state outlives schedulers.
struct FakeAgent {
  WorkerId id;
  Address address;
  WorkerCapacity capacity;
  Epoch epoch;
  std::uint64_t sequence = 0;
  std::map<std::pair<AttemptId, std::uint32_t>, TaskReport> tasks;
  /// TaskDone that the transport sends when the agent can be reached again.
  std::vector<TaskDone> unsent;

  // Switches of the test.
  bool silent = false;
  bool refuse_prepare = false;
  bool ignore_prepare = false;
  bool ignore_start = false;
  /// The error of each Start, with whether the task was started.
  ErrorKind start_error = ErrorKind::kNone;
  bool error_after_start = false;
};

/// Drives one CellCore against fake agents, a fake store and one entry. Messages arrive at once and
/// in order; the clock moves only in Run.
class CellHarness {
 public:
  static constexpr std::uint64_t kFirstEpoch = 10;

  CellHarness();

  FakeAgent& AddWorker(const std::string& name, std::uint32_t accelerators = 8);
  FakeAgent& agent(const std::string& name) { return *agents_.at(name); }

  /// Moves the clock in ticks of 50 ms; agents send heartbeats every 2 s.
  void Run(std::int64_t milliseconds);
  /// Hands one event to the core and all that follows from it.
  void Deliver(CellEvent event);
  void FromEntry(Message message) { Deliver(CellMessage{entry, std::move(message)}); }
  void FromAgent(const FakeAgent& from, Message message) {
    Deliver(CellMessage{from.address, std::move(message)});
  }

  JobSpec Submit(const std::string& id, std::uint32_t tasks = 1, std::uint32_t accelerators = 8,
                 bool idempotent = true, JobClass job_class = JobClass::kUrgent);
  void Cancel(const std::string& id) { FromEntry(CancelJob{JobId(id)}); }
  void Configure(std::uint64_t revision, std::vector<ConfigNode> nodes);
  /// Ends all running tasks of a job with the output "<job>/<rank>".
  void FinishTasks(const std::string& job);

  /// A new scheduler with a higher epoch; the old one dies without notice.
  void ReplaceScheduler(bool run_rebuild = true);

  /// The last JobFinished of a job, or nothing.
  const JobResult* Result(const std::string& job) const;
  ErrorKind Outcome(const std::string& job) const;
  std::size_t Running(const std::string& job) const;
  std::size_t Reserved() const;
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
  bool deposed = false;

  /// Attempts of each job of which an agent started a task.
  std::map<JobId, std::set<AttemptId>> started;

  // Permits.
  bool give_permits = true;
  bool out = false;
  Duration permit_remaining = Duration(2000);

  // The store. Request records by job: "open", "claimed <attempt>", "fenced".
  std::map<JobId, JobSpec> records;
  std::map<JobId, std::string> requests;
  std::map<JobId, JobResult> answers;
  bool store_down = false;
  /// Claims take effect, but the answer is lost and resolved as "unknown".
  bool lose_claim_answer = false;
  bool hold_store = false;
  std::deque<StoreOperation> held;

 private:
  void Absorb(CellOutput output);
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
  bool busy_ = false;
  std::uint64_t epoch_ = kFirstEpoch;
};

}  // namespace basilspring::testing

#endif  // BASILSPRING_TESTS_PROCESS_CELL_HARNESS_H_
