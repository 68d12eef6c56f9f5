#include "review/standin/fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace basilspring::review {
namespace {

constexpr std::uint16_t kStorePort = 7950;
constexpr std::uint16_t kPeerPort = 7951;
constexpr std::uint16_t kCallerPort = 7952;
constexpr std::uint16_t kReadyPort = 7953;
constexpr std::uint16_t kControlPort = 7955;
constexpr std::uint16_t kAppPort = 7956;
constexpr Duration kTick(5);
constexpr std::array<const char*, 3> kZones = {"north", "south", "west"};

constexpr const char* kConfig =
    R"({"version":3,"routes":[{"name":"quotes","host":"shop.example","prefix":"/q/","service":"planner",)"
    R"("priority":1,"max_attempts":4,"stretch":3.0,"target_duration_ms":3000}],)"
    R"("services":[{"name":"planner","enforces_capacity":true}],)"
    R"("tenants":[{"name":"shop","api_keys":["secret"],"guaranteed":{"gpu":8}}],"limits":{}})";

// Processes to end when this one is told to stop; read by a signal handler.
constexpr std::size_t kMaxProcesses = 64;
std::array<std::atomic<pid_t>, kMaxProcesses> started_pids{};
std::atomic<std::size_t> started_count{0};

void EndAll(int /*signal*/) {
  for (std::size_t i = 0; i < started_count && i < kMaxProcesses; ++i) {
    if (started_pids.at(i) > 0) ::kill(started_pids.at(i), SIGKILL);
  }
  ::_exit(kCouldNotRun);
}

/// Whether all ports of the deployment are free at the address.
bool IsFree(const std::string& ip) {
  for (std::uint16_t port = kStorePort; port <= kAppPort; ++port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int result = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::close(fd);
    if (result != 0) return false;
  }
  return true;
}

/// Returns the first three numbers of a loopback network that nobody uses.
std::string FreeNet() {
  std::random_device random;
  for (int i = 0; i < 100; ++i) {
    const std::string net = fmt::format("127.{}.{}", 20 + random() % 200, 1 + random() % 250);
    if (IsFree(net + ".1") && IsFree(net + ".10") && IsFree(net + ".50")) return net;
  }
  throw std::runtime_error("no free loopback network");
}

std::string NumberedIp(const std::string& net, int first, int i) {
  return fmt::format("{}.{}", net, first + i);
}

}  // namespace

void Sleep(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void Record::Line(const std::string& text) {
  const std::int64_t now = Now();
  const std::lock_guard lock(mutex_);
  out_ << fmt::format("{:>7} {}\n", now, text) << std::flush;
}

std::string Platform::EntryName(int i) const { return fmt::format("entry-{:02}", i); }
std::string Platform::WorkerId(int i) const { return fmt::format("i-{:04x}", 0x7f00 + i); }
std::string Platform::WorkerIp(int i) const { return NumberedIp(net_, 50, i); }
std::string Platform::AgentName(int i) const { return fmt::format("agent-{:02}", i); }

Address Platform::ControlOf(const std::string& ip) const { return Address{ip, kControlPort}; }
Address Platform::AppOf(const std::string& ip) const { return Address{ip, kAppPort}; }

Platform::Platform(Options options, Record& record)
    : options_(std::move(options)), record_(record), net_(FreeNet()) {
  for (int i = 0; i < options_.entries; ++i) {
    Settings(EntryName(i), NumberedIp(net_, 10, i), true,
             kZones.at(static_cast<std::size_t>(i % 3)));
  }
  for (int i = 0; i < options_.agents + options_.spare_agents; ++i) {
    Worker::Options worker;
    worker.id = WorkerId(i);
    worker.ip = NumberedIp(net_, 50, i);
    worker.zone = kZones.at(static_cast<std::size_t>(i % 3));
    worker.rack = fmt::format("r1-{}", i / 4);
    if (options_.kinds.count(i) != 0) worker.kind = options_.kinds.at(i);
    Settings(AgentName(i), worker.ip, false, worker.zone);
    workers_.push_back(std::make_unique<Worker>(*this, worker));
  }
}

Platform::~Platform() {
  for (const auto& [name, pid] : pids_) {
    if (pid <= 0) continue;
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
  }
  for (auto& [name, pid] : pids_) {
    if (pid > 0) ::waitpid(pid, nullptr, 0);
    pid = -1;
  }
  RunOnIo([this] { running_ = false; });
  // Servers need the I/O thread for their destruction.
  store_server_.reset();
  workers_.clear();
}

void Platform::Settings(const std::string& name, const std::string& ip, bool entry,
                        const std::string& zone) {
  std::ofstream file(fmt::format("{}/{}.toml", options_.folder, name));
  const std::string own = entry
                              ? fmt::format("callers = \"{0}:{1}\"\nreadiness = \"{0}:{2}\"\n", ip,
                                            kCallerPort, kReadyPort)
                              : fmt::format("announcements = \"{0}:{1}\"\nbackend = \"{0}:{2}\"\n",
                                            ip, kControlPort, kAppPort);
  file << fmt::format(
      "[process]\nrole = \"{}\"\nname = \"{}\"\ndata_centre = \"{}\"\n\n[network]\n"
      "peers = \"{}:{}\"\nstore = \"{}.1:{}\"\nseeds = [\"{}:{}\", \"{}:{}\", \"{}:{}\"]\n{}\n"
      "[limits]\nlongest_lease_ms = {}\nstop_time_ms = {}\nstop_grace_s = 6\nkeep_finished_s = "
      "120\n"
      "processor_share = {}\n",
      entry ? "entry" : "agent", name, zone, ip, kPeerPort, net_, kStorePort,
      NumberedIp(net_, 10, 0), kPeerPort, NumberedIp(net_, 10, 1), kPeerPort,
      NumberedIp(net_, 50, 0), kPeerPort, own, kHoldMaxMs, kStopMs,
      entry ? options_.entry_share : options_.agent_share);
}

void Platform::RunOnIo(const std::function<void()>& function) {
  std::promise<void> done;
  io_.Post([&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

void Platform::ScheduleTick() {
  io_.PostAfter(kTick, [this] {
    if (!running_) return;
    store_.Tick(Clock::Now().milliseconds());
    for (const auto& worker : workers_) worker->Tick();
    ScheduleTick();
  });
}

void Platform::StartNode(const std::string& name) {
  const std::string log = fmt::format("{}/{}.log", options_.folder, name);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::array<std::string, 4> words = {options_.program, "node", "--settings",
                                      fmt::format("{}/{}.toml", options_.folder, name)};
  std::array<char*, 5> arguments = {words[0].data(), words[1].data(), words[2].data(),
                                    words[3].data(), nullptr};
  pid_t pid = -1;
  const int failed =
      posix_spawn(&pid, options_.program.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error("can't start " + options_.program);
  pids_[name] = pid;
  const std::size_t slot = started_count;
  if (slot < kMaxProcesses) started_pids.at(slot) = pid;
  started_count = slot + 1;
}

void Platform::Signal(const std::string& name, int signal) {
  record_.Line(fmt::format("process {} gets signal {}", name, ::strsignal(signal)));
  if (pids_.at(name) > 0) ::kill(pids_.at(name), signal);
}

bool Platform::WaitForEnd(const std::string& name, Duration limit) {
  const TimePoint until = Clock::Now() + limit;
  while (true) {
    if (::waitpid(pids_.at(name), nullptr, WNOHANG) == pids_.at(name)) {
      for (auto& started : started_pids) {
        if (started == pids_.at(name)) started = 0;
      }
      pids_[name] = -1;
      record_.Line(fmt::format("process {} has ended", name));
      return true;
    }
    if (Clock::Now() > until) return false;
    Sleep(5);
  }
}

bool Platform::Begin() {
  ::signal(SIGTERM, EndAll);
  ::signal(SIGINT, EndAll);
  RunOnIo([this] {
    store_server_ = std::make_unique<HttpServer>(
        io_, Address{net_ + ".1", kStorePort},
        [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
          store_.Handle(request, responder, Clock::Now().milliseconds());
        });
    store_.Put("op/config", kConfig);
  });
  ScheduleTick();
  // All machines start within 0.3 s, in any order (DEPLOY.md).
  for (int i = 0; i + 1 < options_.agents; ++i) StartNode(AgentName(i));
  Sleep(250);
  StartNode(AgentName(options_.agents - 1));
  for (int i = 0; i < options_.entries; ++i) StartNode(EntryName(i));
  record_.Line(fmt::format("started {} entries and {} agents", options_.entries, options_.agents));
  const TimePoint until = Clock::Now() + Duration::Seconds(25);
  Sleep(300);
  for (int i = 0; i < options_.agents; ++i) RunOnIo([this, i] { worker(i).Begin(); });
  for (int i = 0; i < options_.entries; ++i) {
    while (true) {
      HttpClientRequest request;
      request.server = Address{NumberedIp(net_, 10, i), kReadyPort};
      request.target = "/ready";
      request.timeout = Duration(500);
      if (http_.Fetch(std::move(request)).status == 200) break;
      if (Clock::Now() > until) return false;
      Sleep(50);
    }
  }
  while (Holder().empty()) {
    if (Clock::Now() > until) return false;
    Sleep(50);
  }
  // Two announcement intervals, so that all agents have reported.
  Sleep(2 * kHeartbeatMs);
  record_.Line("ready; the scheduler is at " + Holder());
  return true;
}

std::string Platform::Holder() {
  std::string value;
  RunOnIo([&] { value = store_.Value("basilspring/leader"); });
  // The value is binary and contains the name of the process as plain text.
  for (const auto& [name, pid] : pids_) {
    if (value.find(name) != std::string::npos) return name;
  }
  return "";
}

Call Platform::Consumer(int entry, const std::string& method, const std::string& path,
                        const std::string& body, Duration timeout) {
  const std::string request = fmt::format(
      "{} {} HTTP/1.1\r\nHost: shop.example\r\nKey: secret\r\nTimeout-Ms: {}\r\n"
      "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
      method, path, timeout.milliseconds(), body.size(), body);
  const std::int64_t sent = record_.Now();
  const Call call = Exchange(Address{NumberedIp(net_, 10, entry), kCallerPort}, request, timeout);
  record_.Line(
      fmt::format("consumer: {} {} at {}, sent at {}: {}", method, path, EntryName(entry), sent,
                  call.error.empty() ? fmt::format("{} {}", call.status, call.body) : "no answer"));
  return call;
}

std::string Platform::State(int entry, const std::string& job) {
  const Call call = Consumer(entry, "GET", "/q/" + job);
  if (call.status != 200) return fmt::format("status {}", call.status);
  const std::size_t at = call.body.find("\"state\":\"");
  if (at == std::string::npos) return "unreadable";
  const std::size_t begin = at + 9;
  return call.body.substr(begin, call.body.find('"', begin) - begin);
}

std::vector<RunSeen> Platform::Seen() {
  std::vector<RunSeen> copy;
  RunOnIo([&] { copy = seen_; });
  return copy;
}

}  // namespace basilspring::review
