#ifndef BASILSPRING_STANDIN_HISTORY_RULES_H_
#define BASILSPRING_STANDIN_HISTORY_RULES_H_

#include <vector>

#include "standin/history.h"

namespace basilspring::standin {

/// Tested bounds of the promises in section 1 of docs/design.md, in milliseconds.
inline constexpr std::int64_t kDataCentreOutBound = 3000;
inline constexpr std::int64_t kLeavingBound = 3000;
inline constexpr std::int64_t kConfigurationBound = 5000;
/// Task lease of 10 s plus a grace period of 5 s.
inline constexpr std::int64_t kPartialGangBound = 15000;

/// All lines can be read, and each submission has a result.
Verdict CheckRecordsComplete(const History& history);
/// Each 200 answer is whole and has exactly the bytes that belong to its request.
Verdict CheckAnswers(const History& history);
/// A caller that was told "accepted" and asked for 60 s gets an outcome when all tasks of its
/// request are done.
Verdict CheckAnswersDelivered(const History& history);
/// At most one attempt runs for a non-idempotent request, and each of its ranks once.
Verdict CheckRunsAtMostOnce(const History& history);
/// What was refused as "not run" has no task start at any time. A start belongs to the refused job
/// by its job id; where the refusal names no job, a start is lawful only when another submission of
/// the same key, sent before the start, was not refused as "not run".
Verdict CheckNotRunIsTrue(const History& history);
/// No task starts in a data centre later than 3 s after "out" was accepted and before "in".
Verdict CheckDataCentreOut(const History& history);
/// For each attempt all ranks start, or the started ones end within 15 s; and when one rank fails
/// or is stopped, the others end within 15 s.
Verdict CheckGangsWhole(const History& history);
/// No task starts on a backend server later than 3 s after it announced that it is leaving.
Verdict CheckLeavingBackends(const History& history);
/// A graceful stop ends, cuts off no caller's request, and stops no task of its worker.
Verdict CheckGracefulStops(const History& history);
/// Applied configuration revisions never fall in a process's log, nor in a cell from one scheduler
/// to the next: a line counts under the epoch that its process last acquired, and is compared with
/// all earlier lines of the same and of lower epochs.
Verdict CheckRevisionsNeverFall(const History& history);
/// Each accepted revision is in force within 5 s in each entry and each cell. A process that was
/// down or paused meanwhile has 5 s from its return; a cell whose scheduler was, has no time bound,
/// but what it applies next must be at least this revision.
Verdict CheckRevisionsInForce(const History& history);

/// All of the above.
std::vector<Verdict> CheckHistory(const History& history);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_HISTORY_RULES_H_
