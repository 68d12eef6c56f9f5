#ifndef BASILSPRING_STANDIN_BACKEND_SERVER_H_
#define BASILSPRING_STANDIN_BACKEND_SERVER_H_

#include <memory>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"

namespace basilspring::standin {

/// The faults that a BackendServer injects; several can be active at once.
struct BackendFault {
  /// Every task fails immediately after its start.
  bool fail_all = false;
  /// Task calls are read but never executed or answered; announcements continue.
  bool hang = false;
  /// Time added to the work of each task that starts.
  Duration slow;
  /// Delay between the time at which a response is ready and its sending.
  Duration late_answer;
  /// The server does nothing, like a process stopped by SIGSTOP. Calls and timers that become due
  /// meanwhile are processed when the fault ends.
  bool freeze = false;
  /// The server announces itself as leaving.
  bool leaving = false;
};

struct BackendOptions {
  /// Address to serve on; port 0 selects a free port.
  Address listen;
  /// Agent that receives the announcements; no announcements are sent if empty.
  Address agent;
  WorkerCapacity capacity{Cores(60), Megabytes(130000), Accelerators(8), Slots(8), Connections(60)};
  /// File to which one JSON line is appended for each start, end and refusal of a task; not written
  /// if empty.
  std::string record_path;
  Duration announce_interval = Duration(2000);
};

/// A stand-in for a backend server that announces itself to its agent and simulates each task with
/// a timer. A payload is a JSON object {"work_ms":N,"output":"text","resume":bool,"fail":"reason"},
/// of which only work_ms is required; any other payload is returned immediately as the output. If
/// "resume" is true, a checkpoint saves the progress of the task, and a later start of the same job
/// and rank resumes from it. Besides the task paths the server serves POST /fault and GET /stats.
class BackendServer {
 public:
  explicit BackendServer(const BackendOptions& options);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  Address address() const;
  void SetFault(const BackendFault& fault);
  /// Returns the body of GET /stats.
  std::string StatsJson() const;

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

/// Returns `current` with the fields that the JSON body sets:
/// {"fail_all":bool,"hang":bool,"slow_ms":N,"late_answer_ms":N,"freeze":bool,"leaving":bool}.
/// Throws Error(kInvalidArgument) for malformed JSON, an unknown key or a value of the wrong type.
BackendFault ParseBackendFault(const std::string& body, BackendFault current);

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_BACKEND_SERVER_H_
