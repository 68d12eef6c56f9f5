#include "standin/soak_fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <future>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "basilspring/clock.h"
#include "basilspring/fleet/leadership.h"

namespace basilspring::standin {
namespace {

constexpr Duration kTick(20);
// Backend servers of the users' platform announce themselves every 1.5 s.
constexpr std::int64_t kAnnounceTicks = 75;
constexpr Duration kPoll(20);
// Ports of a node; all nodes use the same ports on different addresses.
constexpr std::uint16_t kPeerPort = 7961;
constexpr std::uint16_t kCallerPort = 7962;
constexpr std::uint16_t kReadyPort = 7963;
constexpr std::uint16_t kControlPort = 7965;
constexpr std::uint16_t kWorkerPort = 7966;
// The clocks of backend servers run up to 2% slow.
constexpr std::int64_t kSlowestClockPermille = 980;
constexpr std::int64_t kAccurateClockPermille = 1000;

// Calls that are not answered may be carried out 2 to 12 s later on the users' platform.
constexpr Duration kMinLateness(2000);
constexpr std::int64_t kMaxExtraLatenessMs = 10000;

void Sleep(Duration duration) {
  std::this_thread::sleep_for(std::chrono::milliseconds(duration.milliseconds()));
}

}  // namespace

std::string SoakFleet::IpOf(bool entry, std::size_t index) const {
  return fmt::format("127.{}.{}.{}", options_.network, entry ? 1 : 2, index + 1);
}

std::int64_t SoakFleet::Worker::ClockAt(std::int64_t now_ms) const {
  return clock_offset_ms + now_ms * clock_permille / kAccurateClockPermille;
}

void SoakFleet::Worker::KeepTimes(std::int64_t now_ms) {
  history_ms.resize(incarnation->history().size(), now_ms);
  acknowledged_ms.resize(incarnation->acknowledged().size(), now_ms);
}

std::unique_ptr<HttpServer> SoakFleet::MakeWorkerServer(std::size_t index) {
  return std::make_unique<HttpServer>(
      io_, workers_[index].address,
      [this, index](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        Worker& worker = workers_[index];
        if (Clock::Now().milliseconds() >= worker.loses_calls_until_ms) {
          CarryOut(worker, request, responder);
          return;
        }
        const Duration delay =
            kMinLateness + Duration(static_cast<std::int64_t>(late_calls_()) % kMaxExtraLatenessMs);
        io_.PostAfter(delay, [this, &worker, request, responder] {
          if (running_) CarryOut(worker, request, responder);
        });
      });
}

void SoakFleet::CarryOut(Worker& worker, const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder) {
  const std::int64_t now_ms = Clock::Now().milliseconds();
  worker.incarnation->Handle(request, responder, worker.ClockAt(now_ms));
  worker.KeepTimes(now_ms);
}

void SoakFleet::LoseCalls(std::size_t index, Duration time) {
  RunOnIo([&] {
    workers_[index].loses_calls_until_ms = Clock::Now().milliseconds() + time.milliseconds();
  });
}

SoakFleet::SoakFleet(const SoakFleetOptions& options) : options_(options), store_(options.seed) {
  std::mt19937_64 random(options.seed);
  store_address_ = Address{fmt::format("127.{}.3.1", options.network), kPeerPort};
  store_server_ = std::make_unique<HttpServer>(
      io_, store_address_,
      [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        store_.Handle(request, responder, Clock::Now().milliseconds());
      });
  workers_.resize(static_cast<std::size_t>(options.agents));
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    Worker& worker = workers_[i];
    worker.address = Address{IpOf(false, i), kWorkerPort};
    worker.clock_permille =
        kSlowestClockPermille +
        static_cast<std::int64_t>(random() % (kAccurateClockPermille - kSlowestClockPermille + 1));
    worker.clock_offset_ms = static_cast<std::int64_t>(random() % 1000000);
    worker.incarnation = std::make_unique<PlatformWorkerStandin>(
        fmt::format("i-{}-0", i), Clock::WallMilliseconds(), ZoneOf(i), options_.acknowledges);
    worker.server = MakeWorkerServer(i);
  }
  const std::size_t count =
      static_cast<std::size_t>(options.entries) + static_cast<std::size_t>(options.agents);
  nodes_.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    SoakNode& node = nodes_[i];
    node.entry = i < static_cast<std::size_t>(options.entries);
    const std::size_t index = node.entry ? i : i - static_cast<std::size_t>(options.entries);
    const std::string ip = IpOf(node.entry, index);
    node.name = fmt::format("{}-{}", node.entry ? "entry" : "agent", index);
    node.store_relay = std::make_unique<Relay>(io_, store_address_);
    node.peer_relay = std::make_unique<Relay>(io_, Address{ip, kPeerPort});
    if (node.entry) {
      node.caller_address = Address{ip, kCallerPort};
      node.caller_relay = std::make_unique<Relay>(io_, node.caller_address);
      WriteSettings(node, index,
                    fmt::format("callers = \"{0}:{1}\"\nreadiness = \"{0}:{2}\"\n", ip, kCallerPort,
                                kReadyPort));
    } else {
      node.worker_relay = std::make_unique<Relay>(io_, workers_[index].address);
      WriteSettings(node, index,
                    fmt::format("announcements = \"{}:{}\"\nbackend = \"{}\"\n", ip, kControlPort,
                                node.worker_relay->address().ToString()));
    }
  }
  ScheduleTick();
}

SoakFleet::~SoakFleet() {
  for (SoakNode& node : nodes_) {
    Signal(node, SIGCONT);
    Signal(node, SIGKILL);
    WaitForEnd(node, Duration::Seconds(5));
  }
  running_ = false;
  RunOnIo([] {});
  // Servers and relays need the I/O thread for their destruction.
  store_server_.reset();
  for (Worker& worker : workers_) worker.server.reset();
  nodes_.clear();
}

void SoakFleet::WriteSettings(SoakNode& node, std::size_t index, const std::string& network) {
  node.settings_file = fmt::format("{}/{}.toml", options_.folder, node.name);
  node.log_file = fmt::format("{}/{}.log", options_.folder, node.name);
  std::ofstream file(node.settings_file);
  file << fmt::format(
      "[process]\nrole = \"{}\"\nname = \"{}\"\ndata_centre = \"{}\"\n\n"
      "[network]\npeers = \"{}:{}\"\nadvertised = \"{}\"\nstore = \"{}\"\nseeds = [\"{}:{}\", "
      "\"{}:{}\"]\n{}\n"
      "[limits]\nlongest_lease_ms = 10000\nstop_time_ms = 200\nstop_grace_s = 6\n\n"
      "[scheduling]\nshortage = \"cost\"\nheadroom = \"forecast\"\ninbox_notices = \"yes\"\n",
      node.entry ? "entry" : "agent", node.name, ZoneOf(index), IpOf(node.entry, index), kPeerPort,
      node.peer_relay->address().ToString(), node.store_relay->address().ToString(), IpOf(true, 0),
      kPeerPort, IpOf(true, 1), kPeerPort, network);
}

void SoakFleet::RunOnIo(const std::function<void()>& function) {
  std::promise<void> done;
  io_.Post([&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

void SoakFleet::ScheduleTick() {
  io_.PostAfter(kTick, [this] {
    if (!running_) return;
    const std::int64_t now_ms = Clock::Now().milliseconds();
    store_.Tick(now_ms);
    for (Worker& worker : workers_) {
      worker.incarnation->Tick(worker.ClockAt(now_ms));
      worker.KeepTimes(now_ms);
    }
    if (ticks_++ % kAnnounceTicks == 0) Announce();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      if (now_ms >= workers_[i].first_announcement_ms.value_or(now_ms + 1)) {
        workers_[i].first_announcement_ms.reset();
        AnnounceWorker(i);
      }
    }
    ScheduleTick();
  });
}

void SoakFleet::Announce() {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (!workers_[i].first_announcement_ms) AnnounceWorker(i);
  }
}

void SoakFleet::AnnounceWorker(std::size_t index) {
  const SoakNode& agent = nodes_[static_cast<std::size_t>(options_.entries) + index];
  PlatformWorkerStandin& worker = *workers_[index].incarnation;
  SendAnnouncement(index, worker.id(),
                   worker.Announcement(agent.worker_relay->address().ToString()));
}

void SoakFleet::SendAnnouncement(std::size_t index, const std::string& id, std::string body) {
  HttpClientRequest request;
  request.server = Address{IpOf(false, index), kControlPort};
  request.method = "PUT";
  request.target = "/instances/" + id;
  request.headers["content-type"] = "application/json";
  request.body = std::move(body);
  request.timeout = Duration(1000);
  http_.Send(std::move(request), [](const HttpResult&) {});
}

void SoakFleet::AnnounceForeign(std::size_t index, bool same_id) {
  RunOnIo([&] {
    const PlatformWorkerStandin& worker = *workers_[index].incarnation;
    const std::string id = same_id ? worker.id() : "i-foreign";
    const std::int64_t born = same_id ? worker.started_unix_ms() : Clock::WallMilliseconds();
    SendAnnouncement(index, id,
                     fmt::format(R"({{"service":"billing","address":"127.0.0.1:1",)"
                                 R"("zone":"{}","state":"ready","seq":1000000,)"
                                 R"("capacity":{{"cpu":1,"mem_mb":1,"gpu":0}},)"
                                 R"("labels":["a","r1-1"],"born":{}}})",
                                 ZoneOf(index), born));
  });
}

std::vector<Address> SoakFleet::CallerAddresses() const {
  std::vector<Address> addresses;
  for (const SoakNode& node : nodes_) {
    if (node.entry) addresses.push_back(node.caller_relay->address());
  }
  return addresses;
}

std::size_t SoakFleet::SchedulerIndexOr(std::size_t index) {
  std::string holder;
  WithStore(
      [&](PlatformStoreStandin& store) { holder = store.Value(fleet::Leadership::LeaderKey()); });
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    // The value is binary and contains the name of the node as plain text.
    if (holder.find(nodes_[i].name) != std::string::npos) return i;
  }
  return index;
}

void SoakFleet::Start(SoakNode& node) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, node.log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // An inherited socket would stay open, and would go on listening, after a relay has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::array<std::string, 4> words = {options_.program, "node", "--settings", node.settings_file};
  std::array<char*, 5> arguments = {words[0].data(), words[1].data(), words[2].data(),
                                    words[3].data(), nullptr};
  const int failed = posix_spawn(&node.pid, options_.program.c_str(), &actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error("can't spawn " + options_.program);
  node.paused = false;
}

void SoakFleet::Signal(const SoakNode& node, int signal) {
  if (node.pid > 0) ::kill(node.pid, signal);
}

bool SoakFleet::WaitForEnd(SoakNode& node, Duration limit) {
  for (Duration waited; node.pid > 0; waited = waited + kPoll) {
    if (::waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
      node.pid = -1;
    } else if (waited > limit) {
      return false;
    } else {
      Sleep(kPoll);
    }
  }
  return true;
}

std::vector<std::string> SoakFleet::TakeUnexpectedExits() {
  std::vector<std::string> names;
  for (SoakNode& node : nodes_) {
    if (node.pid <= 0 || ::waitpid(node.pid, nullptr, WNOHANG) != node.pid) continue;
    node.pid = -1;
    names.push_back(node.name);
  }
  return names;
}

void SoakFleet::WithStore(const std::function<void(PlatformStoreStandin&)>& function) {
  RunOnIo([&] { function(store_); });
}

void SoakFleet::RestartWorker(std::size_t index) {
  RunOnIo([&] {
    KeepCrashedRuns(index);
    Worker& worker = workers_[index];
    worker.incarnation = std::make_unique<PlatformWorkerStandin>(
        fmt::format("i-{}-{}", index, Clock::Now().milliseconds()), Clock::WallMilliseconds(),
        ZoneOf(index), options_.acknowledges);
  });
}

void SoakFleet::RestartWorkerUnderItsId(std::size_t index, Duration first_announcement) {
  workers_[index].server.reset();
  RunOnIo([&] {
    KeepCrashedRuns(index);
    Worker& worker = workers_[index];
    const std::int64_t now_ms = Clock::Now().milliseconds();
    const std::string id = worker.incarnation->id();
    worker.clock_offset_ms -= worker.ClockAt(now_ms);
    worker.first_announcement_ms = now_ms + first_announcement.milliseconds();
    worker.incarnation = std::make_unique<PlatformWorkerStandin>(
        id, Clock::WallMilliseconds(), ZoneOf(index), options_.acknowledges);
  });
  workers_[index].server = MakeWorkerServer(index);
}

void SoakFleet::SetOrderStatus(std::size_t index, int status) {
  RunOnIo([&] { workers_[index].incarnation->SetOrderStatus(status); });
}

void SoakFleet::KeepCrashedRuns(std::size_t index) {
  Worker& worker = workers_[index];
  std::vector<SoakRun> runs = RunsOfIncarnation(index);
  for (SoakRun& run : runs) {
    if (!run.end.empty()) continue;
    run.end = "crashed";
    run.ended_ms = Clock::Now().milliseconds();
  }
  worker.past_runs.insert(worker.past_runs.end(), runs.begin(), runs.end());
  worker.history_ms.clear();
  worker.acknowledged_ms.clear();
}

std::pair<std::size_t, std::size_t> SoakFleet::CountEnds() {
  std::size_t ends = 0;
  std::size_t acknowledged = 0;
  RunOnIo([&] {
    for (const Worker& worker : workers_) {
      acknowledged += worker.incarnation->acknowledged().size();
      for (const std::string& line : worker.incarnation->history()) {
        if (line.find(" start ") == std::string::npos) ++ends;
      }
    }
  });
  return {ends, acknowledged};
}

std::string SoakFleet::ZoneOf(std::size_t worker) const {
  static constexpr std::array<const char*, 3> kZones = {"east", "west", "north"};
  return kZones.at(worker % static_cast<std::size_t>(options_.data_centres));
}

std::vector<SoakRun> SoakFleet::RunsOfIncarnation(std::size_t index) const {
  const Worker& worker = workers_[index];
  std::map<std::pair<std::string, std::int64_t>, SoakRun> runs;
  const std::vector<std::string>& history = worker.incarnation->history();
  for (std::size_t i = 0; i < history.size(); ++i) {
    std::istringstream words(history[i]);
    std::int64_t clock_ms = 0;
    std::string what;
    std::string task;
    std::int64_t number = 0;
    words >> clock_ms >> what >> task >> number;
    SoakRun& run = runs[{task, number}];
    if (what == "start") {
      run.job = task.substr(0, task.find('.'));
      run.task = task;
      run.run = number;
      run.worker = fmt::format("agent-{}", index);
      run.zone = ZoneOf(index);
      run.started_ms = worker.history_ms[i];
    } else {
      run.end = what;
      run.ended_ms = worker.history_ms[i];
    }
  }
  const std::vector<std::string>& acknowledged = worker.incarnation->acknowledged();
  for (std::size_t i = 0; i < acknowledged.size(); ++i) {
    std::istringstream words(acknowledged[i]);
    std::int64_t clock_ms = 0;
    std::string task;
    std::int64_t number = 0;
    std::string lease;
    words >> clock_ms >> task >> number >> lease;
    const auto found = runs.find({task, number});
    if (found == runs.end()) continue;
    found->second.acknowledged_ms = worker.acknowledged_ms[i];
    found->second.lapsed_before_acknowledgement = lease == "lapsed";
  }
  std::vector<SoakRun> rows;
  rows.reserve(runs.size());
  for (auto& [key, run] : runs) rows.push_back(std::move(run));
  return rows;
}

std::vector<SoakRun> SoakFleet::Runs() {
  std::vector<SoakRun> all;
  RunOnIo([&] {
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      all.insert(all.end(), workers_[i].past_runs.begin(), workers_[i].past_runs.end());
      const std::vector<SoakRun> runs = RunsOfIncarnation(i);
      all.insert(all.end(), runs.begin(), runs.end());
    }
  });
  return all;
}

}  // namespace basilspring::standin
