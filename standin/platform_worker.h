#ifndef BASILSPRING_STANDIN_PLATFORM_WORKER_H_
#define BASILSPRING_STANDIN_PLATFORM_WORKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilspring/connection/http_server.h"

namespace basilspring::standin {

/// A stand-in for a backend server of the users' platform. It rejects calls with an outdated
/// fencing token, has one lease for all runs, and reports the end of a run until it is
/// acknowledged. A task runs for the number of milliseconds that is its "spec", or, if that is
/// "MIN-MAX", for a number in this range that follows from its name. Each start and end is added to
/// `history`, which tests check.
class PlatformWorkerStandin {
 public:
  /// Number of tasks that run at the same time, of which each uses one accelerator.
  static constexpr int kAccelerators = 8;

  /// The ends that an acknowledgement covers, of which the protocol allows both.
  enum class Acknowledges : std::uint8_t {
    /// Those up to its number that exist when it arrives.
    kEndsSoFar,
    /// All those up to the highest number so far, also ends that follow.
    kAlsoLaterEnds,
  };

  PlatformWorkerStandin(std::string id, std::int64_t started_unix_ms, std::string zone = "here",
                        Acknowledges acknowledges = Acknowledges::kEndsSoFar)
      : id_(std::move(id)),
        zone_(std::move(zone)),
        acknowledges_(acknowledges),
        started_unix_ms_(started_unix_ms) {}

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
              std::int64_t now_ms);
  /// Ends runs whose work is done, whose stop is due or whose lease has expired, and answers polls
  /// if an end is to be reported or their wait time has passed. Must be called periodically.
  void Tick(std::int64_t now_ms);
  /// Lets starts and stops be answered with this status without being carried out; 200 ends this.
  void SetOrderStatus(int status) { order_status_ = status; }
  /// Returns the body of the next announcement; each has a higher sequence number.
  std::string Announcement(const std::string& address);

  const std::string& id() const { return id_; }
  std::int64_t started_unix_ms() const { return started_unix_ms_; }
  /// Lines "MILLISECONDS start|OUTCOME TASK RUN", where OUTCOME is "done", "stopped" or "lapsed".
  const std::vector<std::string>& history() const { return history_; }
  /// Lines "MILLISECONDS TASK RUN kept|lapsed", one for each acknowledged end. The last word says
  /// whether the lease lapsed between the end and its acknowledgement.
  const std::vector<std::string>& acknowledged() const { return acknowledged_; }

 private:
  struct Run {
    std::int64_t run = 0;
    std::int64_t done_ms = 0;
    std::int64_t started_ms = 0;
    /// Time at which a run that is being stopped ends; -1 if no stop was requested.
    std::int64_t stop_due_ms = -1;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string outcome;
    std::int64_t ended_ms = 0;
  };
  struct Poll {
    std::int64_t until_ms = 0;
    std::shared_ptr<HttpResponder> responder;
  };

  HttpResponse Start(const HttpRequest& request, std::int64_t now_ms);
  HttpResponse Stop(const HttpRequest& request, std::int64_t now_ms);
  void RenewLease(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
                  std::int64_t now_ms);
  /// Drops the ends up to the acknowledged number.
  void Acknowledge(std::int64_t number, std::int64_t now_ms);
  HttpResponse StatusReport(std::int64_t now_ms) const;
  void Finish(const std::string& task, const Run& run, const std::string& outcome,
              std::int64_t now_ms);

  std::string id_;
  std::string zone_;
  Acknowledges acknowledges_;
  std::int64_t started_unix_ms_;
  int order_status_ = 200;
  std::int64_t sequence_ = 0;
  std::int64_t fence_token_ = 0;
  std::int64_t lease_until_ms_ = 0;
  /// Latest time at which the lease had lapsed; -1 if it never has.
  std::int64_t last_lapsed_ms_ = -1;
  std::int64_t highest_acknowledged_ = 0;
  std::int64_t next_end_ = 1;
  std::map<std::string, Run> runs_;
  std::vector<End> unacknowledged_ends_;
  /// Highest run of each task that was stopped or has ended here; only higher ones may start.
  std::map<std::string, std::int64_t> highest_closed_run_;
  std::vector<Poll> polls_;
  std::vector<std::string> history_;
  std::vector<std::string> acknowledged_;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_PLATFORM_WORKER_H_
