#ifndef BASILSPRING_FLEET_DONE_TASKS_H_
#define BASILSPRING_FLEET_DONE_TASKS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/fleet/backend.h"
#include "basilspring/fleet/peer_messages.h"
#include "basilspring/fleet/scheduler_options.h"

namespace basilspring::fleet {

/// Returns how old an agent's evidence that a task has ended as done may be for a start of the task
/// to be refused; zero if no age is safe. Once the retention time of a finished job is over, its id
/// may be accepted again, and then its tasks have to run again.
Duration MaxDoneEvidenceAge(const SchedulerOptions& options);

/// Remembers for a short time which tasks have ended as done, as listed by the backend servers of
/// one host. A done end is final, so the memory covers all incarnations of the backend server.
/// Holds a bounded number of ends, of which the oldest are dropped first.
class DoneTasks {
 public:
  /// An end as done, and the last moment at which it had certainly not happened.
  struct Evidence {
    RunNumber run;
    TimePoint ended_after;
  };

  /// Processes the ends that a backend server lists in its answer to a poll. An end has happened
  /// after the last earlier poll with a complete answer was sent. Without such a poll, as for the
  /// first answer of an incarnation, the age of an end is unknown and it is not remembered.
  void OnListing(TimePoint poll_sent, const BackendAnnouncement& backend,
                 const std::vector<EndedRow>& ended, bool more_ends);

  /// Returns the evidence against another start of the task, if there is any that is not older than
  /// `max_age`. If the task is a member of a gang, the end of any member counts, because the
  /// members end as done only together.
  std::optional<Evidence> Find(TimePoint now, const TaskId& task, RepeatRule rule,
                               Duration max_age) const;

  std::size_t size() const { return ends_.size(); }

 private:
  void Remember(const TaskId& task, const Evidence& evidence);

  std::map<TaskId, Evidence> ends_;
  /// The keys of `ends_`, the one remembered first at the front.
  std::deque<TaskId> order_;
  /// The incarnation of the backend server whose ends were processed last, the highest number among
  /// them, and when the last poll was sent to which it listed all of its ends.
  BackendId backend_;
  std::int64_t started_unix_ms_ = 0;
  std::int64_t last_number_ = 0;
  std::optional<TimePoint> complete_poll_sent_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_DONE_TASKS_H_
