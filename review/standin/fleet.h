#ifndef BASILSPRING_REVIEW_STANDIN_FLEET_H_
#define BASILSPRING_REVIEW_STANDIN_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/process/io_thread.h"
#include "standin/platform_store.h"

/// Stand-ins for the cases of the review: a small deployment of `basilspring node` processes on
/// loopback addresses, the project's stand-in of the platform's store, and backend servers that
/// follow PROTOCOL.md.
namespace basilspring::review {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Bounds of the site plamenna-hq-grown that the stand-ins and the checks use.
inline constexpr std::int64_t kHeartbeatMs = 1500;
inline constexpr std::int64_t kHoldMaxMs = 6000;
inline constexpr std::int64_t kStopMs = 400;
inline constexpr std::int64_t kDrainMs = 4000;
inline constexpr std::int64_t kCancelMs = 4000;
inline constexpr std::int64_t kContactMs = 4000;
inline constexpr std::int64_t kVisibleMs = 3000;

/// Writes record.txt. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file), began_(Clock::Now()) {}
  void Line(const std::string& text);
  /// Milliseconds since the case began.
  std::int64_t Now() const { return (Clock::Now() - began_).milliseconds(); }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  TimePoint began_;
};

/// What a backend server saw of one run; times in milliseconds since the case began, -1 if the
/// event did not happen.
struct RunSeen {
  std::string task;
  std::int64_t run = 0;
  std::string worker;
  std::int64_t started = -1;
  std::int64_t ended = -1;
  /// As in PROTOCOL.md, or "lost" if the backend server ended under the run.
  std::string how;
  /// When the end was first listed in an answer, and when `last_seen` reached it.
  std::int64_t listed = -1;
  std::int64_t taken_note = -1;
  /// Whether the server's lease lapsed between the end and `taken_note`.
  bool lapsed_between = false;
};

class Platform;

/// A backend server with one life at a time. The needs and the work of a task stand in its spec:
/// "work=MS more=MS cpu=N mem=N gpu=N saves=1"; task number I of its step works for work + I x
/// more. With saves=1 it saves a checkpoint with each second of work and at a stop.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string ip;
    std::string zone;
    std::string kind = "a";
    std::string rack;
    std::int64_t cpu = 64000;
    std::int64_t mem_mb = 262144;
    std::int64_t gpu = 8;
  };

  Worker(Platform& platform, Options options);
  ~Worker();

  // All of these run on the I/O thread.
  void Begin();
  /// Ends without a word; the port refuses connections until Begin().
  void Crash();
  /// Announces that it leaves, and leaves `kDrainMs` later.
  void Drain();
  void Tick();
  bool up() const { return server_ != nullptr; }
  std::int64_t left_at() const { return left_at_; }
  std::size_t running() const { return runs_.size(); }

 private:
  struct Run {
    std::int64_t run = 0;
    std::int64_t cpu = 0;
    std::int64_t mem = 0;
    std::int64_t gpu = 0;
    std::int64_t work = 0;
    bool saves = false;
    std::int64_t began = 0;
    /// Work that the checkpoint at the start contained.
    std::int64_t resumed = 0;
    std::int64_t stop_due = -1;
    std::size_t seen = 0;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::string saved;
    std::size_t seen = 0;
  };
  struct Poll {
    std::int64_t until = 0;
    std::shared_ptr<HttpResponder> responder;
  };

  std::int64_t ClockMs() const;
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  HttpResponse StartRun(const std::string& body);
  HttpResponse StopRun(const std::string& body);
  void Hold(const std::string& body, const std::shared_ptr<HttpResponder>& responder);
  HttpResponse Lists();
  /// Work done by the run in milliseconds.
  std::int64_t Progress(const Run& run) const;
  void Finish(const std::string& task, const Run& run, const std::string& how);
  void Announce();
  void EndLife();

  Platform& platform_;
  Options options_;
  std::unique_ptr<HttpServer> server_;
  std::int64_t born_ = 0;
  TimePoint began_;
  std::int64_t sequence_ = 0;
  TimePoint next_announcement_;
  bool draining_ = false;
  TimePoint leaves_at_;
  std::int64_t left_at_ = -1;
  std::int64_t fence_ = 0;
  std::int64_t lease_until_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, Run> runs_;
  std::vector<End> ends_;
  std::map<std::string, std::int64_t> closed_;
  std::vector<Poll> polls_;
};

struct Call {
  int status = 0;
  std::string body;
  std::string error;
};

/// Sends one request on a new channel and waits for the whole answer.
Call Exchange(const Address& server, const std::string& request, Duration timeout);

/// The store, the backend servers and the processes of one deployment.
class Platform {
 public:
  struct Options {
    /// Folder for settings and logs.
    std::string folder;
    std::string program;
    int entries = 3;
    int agents = 6;
    /// Agents after `agents` that are started later.
    int spare_agents = 0;
    double entry_share = 0.12;
    double agent_share = 0.15;
    /// Kind of each backend server, by its number; "a" if absent.
    std::map<int, std::string> kinds;
  };

  Platform(Options options, Record& record);
  ~Platform();

  /// Starts store, backend servers and processes, and waits until entries are ready and the
  /// scheduler knows the backend servers. Returns false if that takes over 25 s.
  bool Begin();
  void RunOnIo(const std::function<void()>& function);

  std::string EntryName(int i) const;
  std::string AgentName(int i) const;
  std::string WorkerId(int i) const;
  std::string WorkerIp(int i) const;
  Worker& worker(int i) { return *workers_.at(static_cast<std::size_t>(i)); }
  standin::PlatformStoreStandin& store() { return store_; }
  /// Name of the process that holds the scheduler, by the store.
  std::string Holder();

  void StartNode(const std::string& name);
  void Signal(const std::string& name, int signal);
  /// Whether the process has ended.
  bool WaitForEnd(const std::string& name, Duration limit);

  /// A consumer's call to an entry.
  Call Consumer(int entry, const std::string& method, const std::string& path,
                const std::string& body = "", Duration timeout = Duration(3000));
  /// State that an entry shows, or "status N".
  std::string State(int entry, const std::string& job);

  Record& record() { return record_; }
  std::vector<RunSeen>& seen() { return seen_; }
  /// Copy of what backend servers saw.
  std::vector<RunSeen> Seen();
  IoThread& io() { return io_; }
  HttpClient& http() { return http_; }
  Address ControlOf(const std::string& worker_ip) const;
  Address AppOf(const std::string& worker_ip) const;

 private:
  void Settings(const std::string& name, const std::string& ip, bool entry,
                const std::string& zone);
  void ScheduleTick();

  Options options_;
  Record& record_;
  std::string net_;
  standin::PlatformStoreStandin store_;
  std::vector<RunSeen> seen_;
  std::map<std::string, pid_t> pids_;
  bool running_ = true;
  IoThread io_;
  HttpClient http_{io_};
  std::unique_ptr<HttpServer> store_server_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

void Sleep(std::int64_t milliseconds);

/// Arguments of a case.
struct CaseOptions {
  std::string program;
  std::string folder;
  std::string record;
  /// False for the same run without the disruption.
  bool trouble = true;
};

int RunCase1(const CaseOptions& options);
int RunCase2(const CaseOptions& options);
int RunCase4(const CaseOptions& options);
int RunCase5(const CaseOptions& options);

}  // namespace basilspring::review

#endif  // BASILSPRING_REVIEW_STANDIN_FLEET_H_
