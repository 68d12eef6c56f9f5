#ifndef BASILSPRING_PROCESS_CELL_CORE_H_
#define BASILSPRING_PROCESS_CELL_CORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/error.h"
#include "basilspring/ids.h"
#include "basilspring/process/log_events.h"
#include "basilspring/process/timings.h"
#include "basilspring/request/job.h"
#include "basilspring/request/placement.h"

namespace basilspring {

/// Identity of a cell scheduler; it stays the same as long as the scheduler holds its cell.
struct CellIdentity {
  CellId cell;
  RegionId region;
  DataCentreId data_centre;
  /// Listen address of the process, as stored in the lease key.
  Address address;
  /// Fencing token of this scheduler: agents refuse commands with a lower epoch.
  Epoch epoch;
  /// Highest earlier epoch of the cell that this process knows; zero if it knows none, although
  /// there may have been one.
  Epoch last_epoch;
  PlacementPolicy policy = PlacementPolicy::kGuarantees;
};

/// Outcome of a store operation.
enum class StoreOutcome : std::uint8_t {
  /// The operation took effect.
  kDone,
  /// The store answered and a condition did not hold.
  kRefused,
  /// The operation certainly had no effect.
  kUnavailable,
  /// The operation may have taken effect or may still do so.
  kUnknown,
};

/// Compare-and-swap of a request record from `open` to `claimed <attempt>`. Repeating it with the
/// same attempt has no further effect.
struct ClaimRequest {
  JobId job;
  AttemptId attempt;
  WorkspaceId workspace;
  RequestKey key;
};

/// Compare-and-swap of a request record from `open` to `fenced`, after which no scheduler can claim
/// it. Succeeds as well if the record is already fenced.
struct FenceRequest {
  JobId job;
  WorkspaceId workspace;
  RequestKey key;
};

/// Writes the answer of a durable job and deletes its job record, in one transaction, so that no
/// later scheduler runs a job that has an answer. The answer is attached to a store lease and
/// expires with it.
struct ResultWrite {
  JobId job;
  JobResult result;
  bool idempotent = true;
  WorkspaceId workspace;
  RequestKey key;
  /// The attempt that claimed the non-idempotent request; empty if none did. If set, the request
  /// record becomes `done`.
  AttemptId claimed;
};

/// Lists the job records of the cell again when its data centre is back in service. While it was
/// out, the scheduler returned queued jobs to their entries, and such an entry may have failed
/// since. Answered by RecordsListed.
struct ListRecords {};

using StoreOperation = std::variant<ClaimRequest, FenceRequest, ResultWrite, ListRecords>;

// Events.

/// A message from an entry or an agent.
struct CellMessage {
  Address from;
  Message message;
};
/// Answer to a ClaimRequest.
struct ClaimReply {
  JobId job;
  AttemptId attempt;
  StoreOutcome outcome = StoreOutcome::kDone;
  /// Set with kRefused if the record is fenced, so that the job has never run and never will.
  bool fenced = false;
};
/// Answer to a FenceRequest.
struct FenceReply {
  JobId job;
  StoreOutcome outcome = StoreOutcome::kDone;
};
/// Answer to a ResultWrite.
struct ResultReply {
  JobId job;
  /// kRefused if an answer is already stored.
  StoreOutcome outcome = StoreOutcome::kDone;
  /// Set with kRefused: the stored answer.
  std::optional<JobResult> stored;
};
/// All job records of the cell, as listed after the lease was acquired or after ListRecords.
struct RecordsListed {
  std::vector<JobSpec> jobs;
};
/// The current entries of the region, from the agent's settings and from CellHolder answers.
struct EntriesUpdated {
  std::vector<Address> entries;
};
/// The configuration that was in force when this process last held the cell. Entries may still have
/// an older one.
struct ConfigurationRestored {
  ConfigurationUpdate configuration;
};
/// The periodic timer event.
struct CellTick {};
/// Begins a graceful hand-over of the cell to another scheduler.
struct HandOver {};
/// The lease has been released after HandOver: the agents may choose a successor.
struct LeaseReleased {};

using CellEvent =
    std::variant<CellMessage, ClaimReply, FenceReply, ResultReply, RecordsListed, EntriesUpdated,
                 ConfigurationRestored, CellTick, HandOver, LeaseReleased>;

// Effects.

/// A message to send.
struct CellSend {
  Address to;
  Message message;
  /// Whether to prefer a datagram. A message that is too large for one is sent over the connection.
  bool datagram = false;
};
/// A line to write to the log.
struct CellLogLine {
  EventId event;
  std::string text;
};
/// The effects of one event.
struct CellOutput {
  std::vector<CellSend> messages;
  std::vector<StoreOperation> operations;
  std::vector<CellLogLine> log;
  /// Set when a message with a higher epoch shows that this scheduler is superseded, or when the
  /// lease has been released: the scheduler must stop and send nothing more.
  bool superseded = false;
};

/// Totals since the cell was acquired, and current amounts.
struct CellCounters {
  /// Finished jobs by class and error kind.
  std::map<std::pair<JobClass, ErrorKind>, std::uint64_t> finished;
  std::array<std::uint64_t, kJobClassCount> submitted{};
  /// Current queue lengths by class.
  std::array<std::uint64_t, kJobClassCount> queued{};
  /// Attempts that were placed.
  std::uint64_t placed = 0;
  /// Failed tries to place a job; a waiting job counts once for each try.
  std::uint64_t not_placed = 0;
  /// Attempts that were preempted.
  std::uint64_t preempted = 0;
  /// Returns of jobs to the queue after a failed attempt; a job counts once for each return.
  std::uint64_t requeued = 0;
  /// Current attempts in any phase, from placement to end.
  std::uint64_t running_attempts = 0;
  std::uint64_t lost_workers = 0;
  /// Currently quarantined workers.
  std::uint64_t quarantined_workers = 0;
};

/// The cell scheduler as a deterministic state machine without I/O, clock, threads or randomness.
/// Each event appends its effects to an output, which the driver executes in order.
class CellCore {
 public:
  CellCore(CellIdentity identity, const Timings& timings, TimePoint acquired);
  ~CellCore();
  CellCore(const CellCore&) = delete;
  CellCore& operator=(const CellCore&) = delete;

  /// Processes one event. Does nothing once the scheduler is superseded.
  void Handle(TimePoint now, const CellEvent& event, CellOutput& output);

  /// Whether the state has been rebuilt after the acquisition, so that jobs are placed.
  bool ready() const;
  /// Whether the hand-over is complete: HandOver was handled, no claim, fence or result write is
  /// pending, and every remaining attempt has had its start commands sent.
  bool handed_over() const;
  const CellCounters& counters() const;
  /// The configuration in force; std::nullopt before the first one.
  std::optional<ConfigurationUpdate> configuration() const;

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CELL_CORE_H_
