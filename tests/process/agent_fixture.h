#ifndef BASILSPRING_TESTS_PROCESS_AGENT_FIXTURE_H_
#define BASILSPRING_TESTS_PROCESS_AGENT_FIXTURE_H_

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "basilspring/process/agent_core.h"

namespace basilspring {

inline const Address kAgentAddress{"127.0.0.1", 7000};
inline const Address kScheduler{"127.0.0.1", 7100};
inline const Address kNextScheduler{"127.0.0.1", 7200};
inline const Address kEntry{"127.0.0.1", 7300};
inline const Address kBackend{"127.0.0.1", 8000};

/// An AgentCore with a simulated clock. `out` contains the effects of the last event only.
struct AgentFixture : public testing::Test {
  AgentFixture() : core(Options()) {}

  static AgentOptions Options() {
    AgentOptions options;
    options.worker = WorkerId("w1");
    options.cell = CellId("plovdiv-a/0");
    options.address = kAgentAddress;
    options.entries = {kEntry};
    return options;
  }
  static BackendAnnouncement Announcement(bool leaving = false) {
    return {kBackend,
            {Cores(60), Megabytes(130000), Accelerators(8), Slots(8), Connections(60)},
            leaving};
  }
  static Prepare PrepareOf(const std::string& attempt, std::uint32_t rank = 0,
                           std::uint32_t tasks = 1, std::uint64_t epoch = 5) {
    Prepare prepare;
    prepare.epoch = Epoch(epoch);
    prepare.attempt = AttemptId(attempt);
    prepare.job = JobId(attempt.substr(0, attempt.find('#')));
    prepare.rank = rank;
    prepare.tasks = tasks;
    prepare.shape.accelerators = Accelerators(1);
    prepare.accelerators = 1U << rank;
    prepare.reserve_for = Duration(5000);
    return prepare;
  }
  Start StartOf(const std::string& attempt, std::uint32_t rank = 0, std::uint64_t epoch = 5) const {
    Start start;
    start.epoch = Epoch(epoch);
    start.attempt = AttemptId(attempt);
    start.rank = rank;
    start.not_after = now + Duration(2000);
    start.members = {{0, WorkerId("w1"), kAgentAddress}};
    return start;
  }
  static StopTask StopOf(const std::string& attempt, Duration grace, std::uint32_t rank = 0) {
    return {Epoch(5), AttemptId(attempt), rank, StopReason::kPreempted, grace};
  }

  void Handle(const AgentEvent& event) {
    out = AgentOutput();
    core.Handle(now, event, out);
  }
  void Receive(Message message, const Address& from = kScheduler) {
    Handle(ReceivedMessage{from, std::move(message)});
  }
  void AnswerBackendCall(const std::string& attempt, BackendCallKind call, BackendStatus status,
                         const std::string& text = "", std::uint32_t rank = 0) {
    Handle(BackendResult{{AttemptId(attempt), rank}, call, status, text});
  }
  /// Advances the clock in steps of 100 ms, with a tick and by default an announcement at each
  /// step. `out` then contains the effects of all steps.
  void AdvanceTime(std::int64_t milliseconds, bool backend_announces = true) {
    AgentOutput all;
    for (const TimePoint end = now + Duration(milliseconds); now < end;) {
      now = now + Duration(100);
      if (backend_announces) core.Handle(now, Announcement(), all);
      core.Handle(now, AgentTick{}, all);
    }
    out = std::move(all);
  }
  /// Announces a backend server and makes kScheduler the current scheduler, with epoch 5.
  void SetUpBackendAndScheduler() {
    Handle(Announcement());
    Receive(SchedulerHello{CellId("plovdiv-a/0"), Epoch(5)});
  }
  void StartSingle(const std::string& attempt) {
    Receive(PrepareOf(attempt));
    Receive(StartOf(attempt));
    AnswerBackendCall(attempt, BackendCallKind::kStart, BackendStatus::kRunning);
  }

  /// All messages of this type in `out`.
  template <typename T>
  std::vector<T> Sent() const {
    std::vector<T> found;
    for (const OutgoingMessage& message : out.messages) {
      if (const T* concrete = std::get_if<T>(&message.message)) found.push_back(*concrete);
    }
    return found;
  }
  /// The only message of this type in `out`. Fails the test if there is not exactly one, and
  /// returns a default message if there is none.
  template <typename T>
  T OnlySent() const {
    const std::vector<T> found = Sent<T>();
    EXPECT_EQ(found.size(), 1U);
    return found.empty() ? T() : found.front();
  }
  /// Number of backend calls of this kind in `out`.
  std::size_t CountCalls(BackendCallKind kind) const {
    std::size_t count = 0;
    for (const BackendCall& call : out.calls) count += call.kind == kind ? 1 : 0;
    return count;
  }

  TimePoint now{1000000};
  AgentCore core;
  AgentOutput out;
};

}  // namespace basilspring

#endif  // BASILSPRING_TESTS_PROCESS_AGENT_FIXTURE_H_
