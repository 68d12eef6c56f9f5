#ifndef BASILSPRING_STANDIN_SOAK_FLEET_H_
#define BASILSPRING_STANDIN_SOAK_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/process/io_thread.h"
#include "standin/platform_store.h"
#include "standin/platform_worker.h"
#include "standin/relay.h"
#include "standin/soak_rules.h"

namespace basilspring::standin {

/// Options of the deployment under test.
struct SoakFleetOptions {
  /// Path of the program under test.
  std::string program;
  /// Directory for settings and logs.
  std::string folder;
  int entries = 3;
  int agents = 5;
  int data_centres = 2;
  /// What all backend servers take an acknowledgement for.
  PlatformWorkerStandin::Acknowledges acknowledges =
      PlatformWorkerStandin::Acknowledges::kEndsSoFar;
  std::uint64_t seed = 1;
  /// Second byte of the loopback addresses; must differ between concurrent soaks.
  int network = 40;
};

/// A process of the program under test, and the relays on its connections.
struct SoakNode {
  std::string name;
  bool entry = false;
  std::string settings_file;
  std::string log_file;
  /// Address and relay through which callers reach an entry.
  Address caller_address;
  std::unique_ptr<Relay> caller_relay;
  std::unique_ptr<Relay> store_relay;
  /// The relay through which other nodes reach this one.
  std::unique_ptr<Relay> peer_relay;
  /// The relay through which an agent reaches its backend server.
  std::unique_ptr<Relay> worker_relay;
  /// -1 if the process does not run.
  pid_t pid = -1;
  bool paused = false;
};

/// A deployment on loopback addresses. The entries and agents are processes of the program under
/// test; the store, the backend servers and a relay for each connection between them run in this
/// process. Its methods must be called from a single thread other than the I/O thread.
class SoakFleet {
 public:
  explicit SoakFleet(const SoakFleetOptions& options);
  /// Kills all processes that it started.
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  std::vector<SoakNode>& nodes() { return nodes_; }
  IoThread& io() { return io_; }
  HttpClient& http() { return http_; }
  /// Returns the address of each entry's relay for callers.
  std::vector<Address> CallerAddresses() const;
  /// Returns the index of the node that holds the scheduler's lease, or `index` if no node does.
  std::size_t SchedulerIndexOr(std::size_t index);

  /// Limit for the end of a process that was sent SIGTERM: the time until SIGKILL on the users'
  /// platform (6 s), plus 1 s in which a busy host may delay the detection of the end.
  static constexpr Duration kStopLimit = Duration::Seconds(7);
  /// Starts the process of the node. Throws std::runtime_error if it can't be spawned.
  void Start(SoakNode& node);
  /// Sends the signal if the process runs.
  static void Signal(const SoakNode& node, int signal);
  /// Waits until the process has ended; returns false if it still runs after the limit.
  static bool WaitForEnd(SoakNode& node, Duration limit);
  /// Returns the names of the nodes whose processes have exited since they were started and haven't
  /// been waited for, and marks them as not running.
  std::vector<std::string> TakeUnexpectedExits();

  /// Calls the function with the store on the I/O thread, and waits for its return.
  void WithStore(const std::function<void(PlatformStoreStandin&)>& function);
  /// Sends an announcement of another writer to the agent of a backend server: with an id and a
  /// later start time of its own or, if `same_id` is true, with those of the backend server. No
  /// configuration names its service.
  void AnnounceForeign(std::size_t index, bool same_id);
  /// Simulates a crash of a backend server: its runs end as "crashed", and a new incarnation with
  /// another id starts.
  void RestartWorker(std::size_t index);
  /// Simulates a crash of a backend server that starts again under the same id, with a new start
  /// time and a clock that begins at 0. Its connections are closed, so that no call to the former
  /// incarnation reaches the new one. Its first announcement follows after the given time.
  void RestartWorkerUnderItsId(std::size_t index, Duration first_announcement);
  /// Makes a backend server lose all calls for this time. Each is carried out 2 to 12 s later, by
  /// the incarnation that then runs, and its answer reaches nobody.
  void LoseCalls(std::size_t index, Duration time);
  /// Makes a backend server refuse starts and stops with this HTTP status; 200 ends this, as does
  /// a restart.
  void SetOrderStatus(std::size_t index, int status);
  std::size_t workers() const { return workers_.size(); }
  /// Returns the number of ends of runs on all backend servers since their last restart, and how
  /// many of these are acknowledged.
  std::pair<std::size_t, std::size_t> CountEnds();
  std::string ZoneOf(std::size_t worker) const;

  /// Returns the runs of all incarnations of the backend servers, in times of this process's clock.
  std::vector<SoakRun> Runs();

 private:
  struct Worker {
    std::unique_ptr<PlatformWorkerStandin> incarnation;
    /// Time of the first announcement of an incarnation that hasn't announced itself yet.
    std::optional<std::int64_t> first_announcement_ms;
    std::unique_ptr<HttpServer> server;
    Address address;
    std::int64_t loses_calls_until_ms = 0;
    /// The clock of the backend server reads `clock_offset_ms` plus `clock_permille` thousandths of
    /// this process's clock.
    std::int64_t clock_permille = 1000;
    std::int64_t clock_offset_ms = 0;
    /// When the incarnation added each line to its history and to its acknowledged ends. Its own
    /// times can't be converted exactly, because its clock may be slow.
    std::vector<std::int64_t> history_ms;
    std::vector<std::int64_t> acknowledged_ms;
    /// Runs of earlier incarnations.
    std::vector<SoakRun> past_runs;

    /// Returns what the clock of the backend server shows.
    std::int64_t ClockAt(std::int64_t now_ms) const;
    /// Keeps the time of the lines that were added since the last call.
    void KeepTimes(std::int64_t now_ms);
  };

  std::string IpOf(bool entry, std::size_t index) const;
  /// Calls the function on the I/O thread, and waits for its return.
  void RunOnIo(const std::function<void()>& function);
  void ScheduleTick();
  void Announce();
  std::unique_ptr<HttpServer> MakeWorkerServer(std::size_t index);
  static void CarryOut(Worker& worker, const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder);
  void AnnounceWorker(std::size_t index);
  /// Moves the runs of the incarnation that has crashed to the past ones.
  void KeepCrashedRuns(std::size_t index);
  void SendAnnouncement(std::size_t index, const std::string& id, std::string body);
  void WriteSettings(SoakNode& node, std::size_t index, const std::string& network);
  std::vector<SoakRun> RunsOfIncarnation(std::size_t index) const;

  SoakFleetOptions options_;
  PlatformStoreStandin store_;
  std::vector<Worker> workers_;
  std::vector<SoakNode> nodes_;
  Address store_address_;
  std::int64_t ticks_ = 0;
  /// Draws how late lost calls are carried out. Used on the I/O thread only.
  std::minstd_rand late_calls_;
  std::atomic<bool> running_{true};
  IoThread io_;
  HttpClient http_{io_};
  std::unique_ptr<HttpServer> store_server_;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_SOAK_FLEET_H_
