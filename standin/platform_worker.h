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

/// A backend server of the users' platform: runs, fencing tokens, one lease for all that runs, ends
/// until they are acknowledged. A task works for the milliseconds that its payload names. It writes
/// each start and end to `history`, from which tests conclude.
class PlatformWorkerStandin {
 public:
  PlatformWorkerStandin(std::string id, std::int64_t started_unix_ms, std::string zone = "here")
      : id_(std::move(id)), zone_(std::move(zone)), born_unix_ms_(started_unix_ms) {}

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
              std::int64_t now_ms);
  /// Ends runs whose work is done or whose lease is over, and answers polls whose wait is over.
  void Tick(std::int64_t now_ms);
  /// The body of an announcement.
  std::string Announcement(const std::string& address);

  const std::string& id() const { return id_; }
  /// Lines "MILLISECONDS start|END TASK RUN".
  const std::vector<std::string>& history() const { return history_; }
  /// Lines "MILLISECONDS TASK RUN" of the ends that were acknowledged.
  const std::vector<std::string>& acknowledged() const { return acknowledged_; }

 private:
  struct Run {
    std::int64_t run = 0;
    std::int64_t done_ms = 0;
    std::int64_t started_ms = 0;
    std::int64_t stop_ms = -1;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  struct Poll {
    std::int64_t until_ms = 0;
    std::shared_ptr<HttpResponder> responder;
  };

  HttpResponse Start(const HttpRequest& request, std::int64_t now_ms);
  HttpResponse Stop(const HttpRequest& request, std::int64_t now_ms);
  void Hold(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
            std::int64_t now_ms);
  HttpResponse Lists(std::int64_t now_ms) const;
  void Finish(const std::string& task, const Run& run, const std::string& how, std::int64_t now_ms);

  std::string id_;
  std::string zone_;
  std::int64_t born_unix_ms_;
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::int64_t next_end_ = 1;
  std::map<std::string, Run> runs_;
  std::vector<End> ends_;
  /// For each task the highest run that was stopped or has ended here.
  std::map<std::string, std::int64_t> closed_;
  std::vector<Poll> polls_;
  std::vector<std::string> history_;
  std::vector<std::string> acknowledged_;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_PLATFORM_WORKER_H_
