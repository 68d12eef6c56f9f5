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

/// Input events and output effects of an AgentCore.
namespace basilspring {

/// Identifies one task: a rank of one attempt. An attempt is one try to run a job with all tasks of
/// its gang.
struct TaskKey {
  AttemptId attempt;
  std::uint32_t rank = 0;

  auto operator<=>(const TaskKey&) const = default;
  /// Returns "<attempt>.<rank>", the task's name at the backend server.
  std::string ToString() const;
};

enum class BackendCallKind : std::uint8_t { kStart = 0, kPoll, kCheckpoint, kThrottle, kStop };

/// One call to the backend server. Each call yields exactly one BackendResult.
struct BackendCall {
  BackendCallKind kind = BackendCallKind::kPoll;
  Address backend;
  TaskKey task;
  /// How long the backend server may delay its answer while the task runs (long poll). Start and
  /// poll only.
  Duration wait;
  /// New duration of the task's lease at the backend server. Start and poll only.
  Duration lease;
  /// Timeout of the whole HTTP exchange.
  Duration timeout;
  /// Whether to open a new connection. Set after a call that got no answer, did not reach the
  /// backend server or did not stop its task, because a pooled connection may be half-open.
  bool fresh_connection = false;
  /// Time after which the backend server refuses to start the task, on CLOCK_BOOTTIME of this host.
  /// This and all following members are set for start only.
  TimePoint not_after;
  /// Number of tasks of the gang.
  std::uint32_t tasks = 1;
  AcceleratorMask accelerators = 0;
  std::string payload;
};

enum class BackendStatus : std::uint8_t {
  /// The task is running.
  kRunning = 0,
  /// Start and poll: the task has ended and the text is its output. Other calls: the call
  /// succeeded.
  kDone,
  /// Start and poll: the task has run and failed (HTTP status 500). Other calls: the call was
  /// answered with HTTP status 500. Any call: the body of the response exceeds kMaxAnswerBytes.
  kFailed,
  /// The start arrived after `not_after` and was refused.
  kTooLate,
  /// The call was refused. A refused start has not started the task.
  kRefused,
  /// The backend server doesn't know the task.
  kUnknownTask,
  /// The call cannot have taken effect: no connection could be opened, or a call other than start
  /// was answered with HTTP status 503.
  kUnreachable,
  /// No answer arrived. The call may have taken effect.
  kNoAnswer,
};

struct BackendResult {
  TaskKey task;
  BackendCallKind call = BackendCallKind::kPoll;
  BackendStatus status = BackendStatus::kRunning;
  /// Output of the task, or the reason for a failure.
  std::string text;
};

/// Registration that the backend server repeats at an interval.
struct BackendAnnouncement {
  Address address;
  WorkerCapacity capacity;
  /// Whether the backend server is about to stop and takes no new tasks.
  bool leaving = false;
};

/// A message from another process. Answers are sent to `from`.
struct ReceivedMessage {
  Address from;
  Message message;
};

/// Periodic event that drives all timeouts.
struct AgentTick {};

/// Request to drain the worker, on SIGTERM or SIGINT: the agent takes no new tasks and lets the
/// running ones finish.
struct DrainRequest {};

using AgentEvent =
    std::variant<ReceivedMessage, BackendAnnouncement, BackendResult, AgentTick, DrainRequest>;

struct OutgoingMessage {
  Address to;
  Message message;
  /// Whether to send a datagram instead of using the connection. A message that is too large for a
  /// datagram is then dropped.
  bool datagram = false;
};

struct AgentLogLine {
  EventId event;
  std::string text;
};

/// Request to contend for the cell lease: the cell has no scheduler, and this agent tries to become
/// it.
struct Contend {
  /// Highest epoch that the agent has seen in this cell.
  Epoch last_epoch;
};

/// Effects of one or more events, in order. The caller executes and clears them.
struct AgentOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<BackendCall> calls;
  std::optional<Contend> contend;
  /// The entries of the region, if they have changed; std::nullopt otherwise.
  std::optional<std::vector<Address>> entries;
  std::vector<AgentLogLine> log;
  /// The error of each refused command, for the metrics.
  std::vector<ErrorKind> refusals;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_AGENT_EVENTS_H_
