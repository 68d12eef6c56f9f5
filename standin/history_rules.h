#ifndef BASILSPRING_STANDIN_HISTORY_RULES_H_
#define BASILSPRING_STANDIN_HISTORY_RULES_H_

#include <vector>

#include "standin/history.h"

namespace basilspring::standin {

/// Bounds of the guarantees in section 1 of docs/design.md, in milliseconds.
inline constexpr std::int64_t kDataCentreOutBoundMs = 3000;
inline constexpr std::int64_t kLeavingBoundMs = 3000;
inline constexpr std::int64_t kConfigurationBoundMs = 5000;
/// Task lease of 10 s plus a grace period of 5 s.
inline constexpr std::int64_t kPartialGangBoundMs = 15000;

/// All lines can be parsed, and each submission has a result.
Verdict CheckRecordsComplete(const History& history);
/// Each 200 answer is complete and consists of exactly the bytes that its request expects.
Verdict CheckAnswers(const History& history);
/// A caller whose request was accepted and who polls it for 60 s gets an outcome if all tasks of
/// the request are done.
Verdict CheckAnswersDelivered(const History& history);
/// A non-idempotent request runs in at most one attempt, and each of its ranks starts at most once.
Verdict CheckRunsAtMostOnce(const History& history);
/// A request refused as "not run" has no task start at any time. A start with the job id of the
/// refusal violates this. A start of the same key under another job id, or when the refusal names
/// no job, is allowed only if another submission of that key was sent before the start and was not
/// refused as "not run".
Verdict CheckNotRunIsTrue(const History& history);
/// No task starts in a data centre from 3 s after "out" was accepted until "in" is sent.
Verdict CheckDataCentreOut(const History& history);
/// In each attempt either all ranks start, or those that started end within 15 s. If one rank fails
/// or is stopped, the others end within 15 s.
Verdict CheckGangsWhole(const History& history);
/// No task starts on a backend server more than 3 s after it announced that it is leaving.
Verdict CheckLeavingBackends(const History& history);
/// A graceful stop finishes; the stop of an entry breaks no request of a caller, and the stop of an
/// agent stops no task of its worker.
Verdict CheckGracefulStops(const History& history);
/// Applied configuration revisions never decrease within a process, nor within a cell from one
/// scheduler to the next. In a cell, a log line belongs to the epoch that its process acquired
/// last, and is compared with all earlier lines of the same and of lower epochs.
Verdict CheckRevisionsNeverFall(const History& history);
/// Each accepted revision is in force within 5 s in each entry and each cell. An entry that was
/// down or paused meanwhile has 5 s from its return. A cell whose scheduler was down or paused has
/// no time bound, but the next revision that it applies must be at least the accepted one.
Verdict CheckRevisionsInForce(const History& history);

/// Checks all rules above.
std::vector<Verdict> CheckHistory(const History& history);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_HISTORY_RULES_H_
