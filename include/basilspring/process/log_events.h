#ifndef BASILSPRING_PROCESS_LOG_EVENTS_H_
#define BASILSPRING_PROCESS_LOG_EVENTS_H_

#include <cstdint>
#include <string_view>

namespace basilspring {

/// Numbers of the log events: 1xx process, 2xx entry, 3xx cell scheduler, 4xx agent, 5xx store,
/// 6xx connections, 7xx configuration, 8xx fleet and the log itself. Each event has a row in
/// src/process/log_events.cc and in docs/events.md. A number is never reused for another event.
enum class EventId : std::uint16_t {
  kProcessStarted = 100,
  kProcessStopping = 101,
  kProcessStopped = 102,
  kSettingsFault = 103,
  kQueueFull = 104,
  kInternalError = 105,
  kRequestReceived = 200,
  kRequestRouted = 201,
  kRequestRefused = 202,
  kRequestAnswered = 203,
  kRequestCancelled = 204,
  kRequestResubmitted = 205,
  kEntryRegistered = 206,
  kPermitIssued = 207,
  kPermitRefused = 208,
  kVouchingStarted = 209,
  kVouchingStopped = 210,
  kOperatorChange = 211,
  kEntryRemoved = 212,
  kCellAcquired = 300,
  kCellLost = 301,
  kCellReady = 302,
  kJobQueued = 303,
  kJobPlaced = 304,
  kJobNotPlaced = 305,
  kJobStarted = 306,
  kJobFinished = 307,
  kJobRequeued = 308,
  kJobRefused = 309,
  kTaskPreempted = 310,
  kWorkerJoined = 311,
  kWorkerLost = 312,
  kWorkerQuarantined = 313,
  kGangAborted = 314,
  kRoomReserved = 315,
  kGuaranteeShort = 316,
  kWorkerReleased = 317,
  kBackendAnnounced = 400,
  kBackendGone = 401,
  kBackendLeaving = 402,
  kTaskPrepared = 403,
  kTaskStarted = 404,
  kTaskFinished = 405,
  kTaskStopped = 406,
  kTaskRefused = 407,
  kReservationExpired = 408,
  kGangLeaseExpired = 409,
  kSchedulerChanged = 410,
  kSchedulerSilent = 411,
  kElectionEntered = 412,
  kStoreCallFailed = 500,
  kStoreRecovered = 501,
  kStoreReadBack = 502,
  kWatchRestarted = 503,
  kConnectionOpened = 600,
  kConnectionReplaced = 601,
  kConnectionClosed = 602,
  kFrameRejected = 603,
  kHttpRejected = 604,
  kConnectionOverBudget = 605,
  kConfigurationApplied = 700,
  kConfigurationIgnored = 701,
  kConfigurationConflict = 702,
  kSettingsReloaded = 703,
  kFleetDecision = 800,
  kFleetScheduler = 801,
  kFleetStore = 802,
  kFleetRequest = 803,
  kFleetAgent = 804,
  kFleetConfiguration = 805,
  kFleetPeer = 806,
  kLogLinesLeftOut = 807,
};

/// Returns the name that log lines contain, such as "ProcessStarted".
std::string_view EventName(EventId event);
/// Returns the level of the event as a number of LogLevel, from 0 (debug) to 3 (error).
int EventLevel(EventId event);

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_LOG_EVENTS_H_
