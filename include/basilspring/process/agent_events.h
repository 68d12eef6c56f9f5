#ifndef BASILSPRING_PROCESS_AGENT_EVENTS_H_
#define BASILSPRING_PROCESS_AGENT_EVENTS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/error.h"
#include "basilspring/ids.h"
#include "basilspring/process/log_events.h"
#include "basilspring/units.h"

/// What goes into an AgentCore and what comes out of it.
namespace basilspring {

/// One task of one attempt.
struct TaskKey {
  AttemptId attempt;
  std::uint32_t rank = 0;

  auto operator<=>(const TaskKey&) const = default;
  /// "<attempt>.<rank>", the task's name at the backend server.
  std::string ToString() const;
};

enum class BackendCallKind : std::uint8_t { kStart = 0, kPoll, kCheckpoint, kThrottle, kStop };

/// One call to the backend server. Each call gives exactly one BackendResult.
struct BackendCall {
  BackendCallKind kind = BackendCallKind::kPoll;
  Address backend;
  TaskKey task;
  /// How long the backend server may hold the answer back while the task runs; start and poll only.
  Duration wait;
  /// New length of the task's lease at the backend server; start and poll only.
  Duration lease;
  /// For the whole exchange.
  Duration timeout;
  /// Set after a call without an answer, whose connection may be silent for good.
  bool fresh_connection = false;
  /// The rest is for start only. `not_after` is on CLOCK_BOOTTIME of this host.
  TimePoint not_after;
  std::uint32_t tasks = 1;
  AcceleratorMask accelerators = 0;
  std::string payload;
};

enum class BackendStatus : std::uint8_t {
  /// The task runs.
  kRunning = 0,
  /// The task has ended and the text is its output; for other calls: done.
  kDone,
  /// The task ran and failed.
  kFailed,
  /// The start came after not_after and was refused.
  kTooLate,
  /// The call was refused; a refused start has not started the task.
  kRefused,
  /// The backend server doesn't know the task.
  kUnknownTask,
  /// Nothing of the call can have reached the backend server.
  kUnreachable,
  /// The call may have had its effect, but no answer came.
  kNoAnswer,
};

struct BackendResult {
  TaskKey task;
  BackendCallKind call = BackendCallKind::kPoll;
  BackendStatus status = BackendStatus::kRunning;
  /// Output of the task, or the reason of a failure.
  std::string text;
};

struct BackendAnnouncement {
  Address address;
  WorkerCapacity capacity;
  bool leaving = false;
};

/// A message of another process; `from` is where answers go.
struct ReceivedMessage {
  Address from;
  Message message;
};

struct AgentTick {};

/// SIGTERM: take nothing new and finish what runs.
struct DrainRequest {};

using AgentEvent =
    std::variant<ReceivedMessage, BackendAnnouncement, BackendResult, AgentTick, DrainRequest>;

struct OutgoingMessage {
  Address to;
  Message message;
  bool datagram = false;
};

struct AgentLogLine {
  EventId event;
  std::string text;
};

/// The cell is vacant and this agent tries to become its scheduler.
struct Contend {
  Epoch last_epoch;
};

/// Effects of one event, in order. The driver executes and clears them.
struct AgentOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<BackendCall> calls;
  std::optional<Contend> contend;
  /// Set when the known entries of the region have changed.
  std::optional<std::vector<Address>> entries;
  std::vector<AgentLogLine> log;
  /// Kinds of the commands that were refused, for the metrics.
  std::vector<ErrorKind> refusals;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_AGENT_EVENTS_H_
