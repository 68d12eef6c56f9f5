#ifndef BASILSPRING_STANDIN_BACKEND_SERVER_H_
#define BASILSPRING_STANDIN_BACKEND_SERVER_H_

#include <memory>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring::standin {

struct BackendFault {
  /// Every task fails as soon as it is started.
  bool fail_all = false;
  /// Calls are read and never answered, and have no effect; announcements go on.
  bool hang = false;
  /// Added to the work of each task that starts.
  Duration slow;
  /// Answers are sent this much later than the work that they report.
  Duration late_answer;
  /// Nothing happens, as with a stopped process; what came in meanwhile happens afterwards.
  bool freeze = false;
  /// Announced as leaving.
  bool leaving = false;
};

struct BackendOptions {
  /// Port 0 takes a free one.
  Address listen;
  /// Where announcements go; none are sent when it is empty.
  Address agent;
  WorkerCapacity capacity{Cores(60), Megabytes(130000), Accelerators(8), Slots(8), Connections(60)};
  /// When set, one JSON line is appended for each start, end and refusal of a task.
  std::string record_path;
  Duration announce_interval = Duration(2000);
};

/// A stand-in for a backend server: announces itself to its agent and runs tasks as timers. A
/// payload is a JSON object {"work_ms":N,"output":"text","resume":bool,"fail":"reason"}, of which
/// only work_ms is required, or any other bytes, which are given back at once as the output. A
/// checkpoint saves the progress of a task when its payload says "resume"; a later start of the
/// same job and rank goes on from there. Besides the tasks' paths there are POST /fault and GET
/// /stats.
class BackendServer {
 public:
  explicit BackendServer(const BackendOptions& options);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  Address address() const;
  void SetFault(const BackendFault& fault);
  /// The same as GET /stats.
  std::string StatsJson() const;

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

/// Changes the given fields: {"fail_all":bool,"hang":bool,"slow_ms":N,"late_answer_ms":N,
/// "freeze":bool,"leaving":bool}. Throws Error(kInvalidArgument).
BackendFault ParseBackendFault(const std::string& body, BackendFault current);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_BACKEND_SERVER_H_
