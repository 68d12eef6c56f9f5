#include "basilspring/process/log_events.h"

#include <algorithm>
#include <array>

namespace basilspring {
namespace {

struct EventRow {
  EventId id;
  int number;
  std::string_view name;
  int level;
};

// Sorted by number. Columns: event, number, name, level (0 debug, 1 info, 2 warning, 3 error).
constexpr std::array<EventRow, 72> kEvents = {{
    {EventId::kProcessStarted, 100, "ProcessStarted", 1},
    {EventId::kProcessStopping, 101, "ProcessStopping", 1},
    {EventId::kProcessStopped, 102, "ProcessStopped", 1},
    {EventId::kSettingsFault, 103, "SettingsFault", 3},
    {EventId::kQueueFull, 104, "QueueFull", 2},
    {EventId::kInternalError, 105, "InternalError", 3},
    {EventId::kRequestReceived, 200, "RequestReceived", 0},
    {EventId::kRequestRouted, 201, "RequestRouted", 1},
    {EventId::kRequestRefused, 202, "RequestRefused", 1},
    {EventId::kRequestAnswered, 203, "RequestAnswered", 1},
    {EventId::kRequestCancelled, 204, "RequestCancelled", 1},
    {EventId::kRequestResubmitted, 205, "RequestResubmitted", 1},
    {EventId::kEntryRegistered, 206, "EntryRegistered", 1},
    {EventId::kPermitIssued, 207, "PermitIssued", 0},
    {EventId::kPermitRefused, 208, "PermitRefused", 0},
    {EventId::kVouchingStarted, 209, "VouchingStarted", 1},
    {EventId::kVouchingStopped, 210, "VouchingStopped", 1},
    {EventId::kOperatorChange, 211, "OperatorChange", 1},
    {EventId::kEntryRemoved, 212, "EntryRemoved", 1},
    {EventId::kCellAcquired, 300, "CellAcquired", 1},
    {EventId::kCellLost, 301, "CellLost", 2},
    {EventId::kCellReady, 302, "CellReady", 1},
    {EventId::kJobQueued, 303, "JobQueued", 1},
    {EventId::kJobPlaced, 304, "JobPlaced", 1},
    {EventId::kJobNotPlaced, 305, "JobNotPlaced", 1},
    {EventId::kJobStarted, 306, "JobStarted", 1},
    {EventId::kJobFinished, 307, "JobFinished", 1},
    {EventId::kJobRequeued, 308, "JobRequeued", 1},
    {EventId::kJobRefused, 309, "JobRefused", 1},
    {EventId::kTaskPreempted, 310, "TaskPreempted", 1},
    {EventId::kWorkerJoined, 311, "WorkerJoined", 1},
    {EventId::kWorkerLost, 312, "WorkerLost", 2},
    {EventId::kWorkerQuarantined, 313, "WorkerQuarantined", 2},
    {EventId::kGangAborted, 314, "GangAborted", 1},
    {EventId::kRoomReserved, 315, "RoomReserved", 1},
    {EventId::kGuaranteeShort, 316, "GuaranteeShort", 2},
    {EventId::kWorkerReleased, 317, "WorkerReleased", 1},
    {EventId::kBackendAnnounced, 400, "BackendAnnounced", 1},
    {EventId::kBackendGone, 401, "BackendGone", 2},
    {EventId::kBackendLeaving, 402, "BackendLeaving", 1},
    {EventId::kTaskPrepared, 403, "TaskPrepared", 0},
    {EventId::kTaskStarted, 404, "TaskStarted", 1},
    {EventId::kTaskFinished, 405, "TaskFinished", 1},
    {EventId::kTaskStopped, 406, "TaskStopped", 1},
    {EventId::kTaskRefused, 407, "TaskRefused", 1},
    {EventId::kReservationExpired, 408, "ReservationExpired", 1},
    {EventId::kGangLeaseExpired, 409, "GangLeaseExpired", 2},
    {EventId::kSchedulerChanged, 410, "SchedulerChanged", 1},
    {EventId::kSchedulerSilent, 411, "SchedulerSilent", 1},
    {EventId::kElectionEntered, 412, "ElectionEntered", 1},
    {EventId::kStoreCallFailed, 500, "StoreCallFailed", 2},
    {EventId::kStoreRecovered, 501, "StoreRecovered", 1},
    {EventId::kStoreReadBack, 502, "StoreReadBack", 1},
    {EventId::kWatchRestarted, 503, "WatchRestarted", 1},
    {EventId::kConnectionOpened, 600, "ConnectionOpened", 0},
    {EventId::kConnectionReplaced, 601, "ConnectionReplaced", 1},
    {EventId::kConnectionClosed, 602, "ConnectionClosed", 0},
    {EventId::kFrameRejected, 603, "FrameRejected", 2},
    {EventId::kHttpRejected, 604, "HttpRejected", 1},
    {EventId::kConnectionOverBudget, 605, "ConnectionOverBudget", 2},
    {EventId::kConfigurationApplied, 700, "ConfigurationApplied", 1},
    {EventId::kConfigurationIgnored, 701, "ConfigurationIgnored", 1},
    {EventId::kConfigurationConflict, 702, "ConfigurationConflict", 1},
    {EventId::kSettingsReloaded, 703, "SettingsReloaded", 1},
    {EventId::kFleetDecision, 800, "FleetDecision", 1},
    {EventId::kFleetScheduler, 801, "FleetScheduler", 1},
    {EventId::kFleetStore, 802, "FleetStore", 1},
    {EventId::kFleetRequest, 803, "FleetRequest", 1},
    {EventId::kFleetAgent, 804, "FleetAgent", 1},
    {EventId::kFleetConfiguration, 805, "FleetConfiguration", 1},
    {EventId::kFleetPeer, 806, "FleetPeer", 1},
    {EventId::kLogLinesLeftOut, 807, "LogLinesLeftOut", 1},
}};

const EventRow& Row(EventId event) {
  const auto* const row =
      std::find_if(kEvents.begin(), kEvents.end(),
                   [event](const EventRow& candidate) { return candidate.id == event; });
  return row == kEvents.end() ? kEvents.front() : *row;
}

}  // namespace

std::string_view EventName(EventId event) { return Row(event).name; }

int EventLevel(EventId event) { return Row(event).level; }

}  // namespace basilspring
