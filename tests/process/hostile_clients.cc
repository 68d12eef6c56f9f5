#include "tests/process/hostile_clients.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace basilspring {
namespace {

using std::chrono::milliseconds;

// Largest part of a stream that is written at a time.
constexpr std::size_t kWriteBytes = 64 * 1024;
// A crowd stops sending after this many polls of 100 ms in which no connection accepted a byte.
constexpr int kMaxPollsWithoutProgress = 20;
// Samples of the unread bytes, 100 ms apart, and the number of equal ones that end the wait.
constexpr int kMaxConsumptionSamples = 100;
constexpr int kEqualConsumptionSamples = 15;
// An ordinary request is repeated so many times, each with a limit of 2 s for its answer.
constexpr int kMaxTries = 15;
constexpr int kAnswerTimeoutMs = 2000;
constexpr milliseconds kRetryDelay(200);
constexpr int kMaxStartTries = 150;

int OpenSocket(const Address& server, int receive_buffer_bytes) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket < 0) return -1;
  if (receive_buffer_bytes > 0) {
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(int));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port);
  inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) return socket;
  pollfd entry{socket, POLLOUT, 0};
  int error = errno == EINPROGRESS ? 0 : errno;
  socklen_t size = sizeof(error);
  if (error == 0 && ::poll(&entry, 1, kAnswerTimeoutMs) == 1 &&
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0) {
    return socket;
  }
  ::close(socket);
  return -1;
}

/// The position of one connection in its stream.
struct Progress {
  int socket = -1;
  std::size_t head_sent = 0;
  std::size_t repeated_sent = 0;
  std::size_t tail_sent = 0;
};

/// Sends the next part of a stream; the number of bytes, 0 if the socket's buffer is full, and -1
/// if the connection is closed or the stream is complete.
ssize_t SendNext(Progress& progress, const HostileStream& stream, const std::string& block) {
  const char* data = nullptr;
  std::size_t size = 0;
  std::size_t* counter = nullptr;
  const std::size_t planned =
      stream.planned_bytes -
      std::min(stream.planned_bytes, stream.head.size() + stream.tail.size());
  if (progress.head_sent < stream.head.size()) {
    counter = &progress.head_sent;
    data = stream.head.data() + *counter;
    size = stream.head.size() - *counter;
  } else if (!block.empty() && progress.repeated_sent < planned) {
    counter = &progress.repeated_sent;
    // The block is a multiple of the repeated text, so that the text continues where it stopped.
    const std::size_t offset = *counter % block.size();
    data = block.data() + offset;
    size = std::min(block.size() - offset, planned - *counter);
  } else if (progress.tail_sent < stream.tail.size()) {
    counter = &progress.tail_sent;
    data = stream.tail.data() + *counter;
    size = stream.tail.size() - *counter;
  } else {
    return -1;
  }
  const ssize_t sent = ::send(progress.socket, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0) return errno == EAGAIN || errno == EINTR ? 0 : -1;
  *counter += static_cast<std::size_t>(sent);
  return sent;
}

/// Returns the bytes that have arrived for a listener's connections and that it hasn't read.
std::size_t UnreadBytes(const Address& server) {
  in_addr ip{};
  inet_pton(AF_INET, server.ip.c_str(), &ip);
  const std::string local = fmt::format("{:08X}:{:04X}", ip.s_addr, server.port);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::size_t unread = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string from;
    std::string to;
    std::string state;
    std::string queues;
    fields >> slot >> from >> to >> state >> queues;
    // The queue of a listening socket (state 0A) counts connections.
    if (from != local || state == "0A") continue;
    unread += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return unread;
}

std::string SettingsText(const std::string& role, const std::string& ip,
                         const std::string& entry_ip, const std::string& store_ip) {
  const std::string listeners =
      role == "entry" ? fmt::format("callers = \"{0}:7952\"\nreadiness = \"{0}:7953\"\n", ip)
                      : fmt::format("announcements = \"{0}:7955\"\nbackend = \"{0}:7956\"\n", ip);
  return fmt::format(
      "[process]\nrole = \"{0}\"\nname = \"{0}-hostile\"\ndata_centre = \"here\"\n\n"
      "[network]\npeers = \"{1}:7951\"\nmetrics = \"{1}:7954\"\nstore = \"{3}:7950\"\n"
      "seeds = [\"{2}:7951\"]\n{4}\n"
      "[limits]\nlongest_lease_ms = 10000\nstop_time_ms = 200\nprocessor_share = 1.0\n",
      role, ip, entry_ip, store_ip, listeners);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& log_path,
                           std::size_t max_descriptors) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  id_ = ::fork();
  if (id_ < 0) throw std::runtime_error("fork failed");
  if (id_ > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::close(log);
  if (max_descriptors > 0) {
    const rlimit limit{max_descriptors, max_descriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

ChildProcess::~ChildProcess() {
  if (!Alive()) return;
  ::kill(id_, SIGKILL);
  ::waitpid(id_, nullptr, 0);
}

bool ChildProcess::Alive() {
  if (!ended_) ended_ = ::waitpid(id_, nullptr, WNOHANG) != 0;
  return !ended_;
}

std::size_t ChildProcess::PeakMemoryKib() const {
  std::ifstream status(fmt::format("/proc/{}/status", id_));
  std::string name;
  while (status >> name) {
    std::size_t value = 0;
    if (name == "VmHWM:" && status >> value) return value;
  }
  return 0;
}

std::size_t ChildProcess::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", id_), error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

HostileCrowd::HostileCrowd(const Address& server, std::size_t connections, int receive_buffer_bytes)
    : server_(server) {
  for (std::size_t i = 0; i < connections; ++i) {
    const int socket = OpenSocket(server, receive_buffer_bytes);
    if (socket >= 0) sockets_.push_back(socket);
  }
}

HostileCrowd::~HostileCrowd() {
  for (const int socket : sockets_) ::close(socket);
}

void HostileCrowd::Send(const HostileStream& stream) {
  std::string block;
  while (!stream.repeated.empty() && block.size() < kWriteBytes) block += stream.repeated;
  std::vector<Progress> open;
  for (const int socket : sockets_) open.push_back(Progress{socket});
  int polls_without_progress = 0;
  while (!open.empty() && polls_without_progress < kMaxPollsWithoutProgress) {
    bool progressed = false;
    std::vector<Progress> remaining;
    for (Progress& progress : open) {
      const ssize_t sent = SendNext(progress, stream, block);
      if (sent < 0) continue;
      if (sent > 0) progressed = true;
      sent_bytes_ += static_cast<std::size_t>(sent);
      remaining.push_back(progress);
    }
    open = std::move(remaining);
    if (progressed) {
      polls_without_progress = 0;
      continue;
    }
    ++polls_without_progress;
    std::vector<pollfd> entries;
    entries.reserve(open.size());
    for (const Progress& progress : open) entries.push_back({progress.socket, POLLOUT, 0});
    ::poll(entries.data(), entries.size(), 100);
  }
}

void HostileCrowd::AwaitConsumption() const {
  std::size_t last = UnreadBytes(server_);
  int equal_samples = 0;
  for (int i = 0; i < kMaxConsumptionSamples && equal_samples < kEqualConsumptionSamples; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    const std::size_t unread = UnreadBytes(server_);
    equal_samples = unread == last ? equal_samples + 1 : 0;
    last = unread;
    if (unread == 0 && equal_samples > 2) return;
  }
}

std::string Exchange(const Address& server, const std::string& request) {
  const int socket = OpenSocket(server, 0);
  if (socket < 0) return "";
  std::string received;
  if (::send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(request.size())) {
    pollfd entry{socket, POLLIN, 0};
    char buffer[4096];
    while (::poll(&entry, 1, kAnswerTimeoutMs) == 1) {
      const ssize_t got = ::recv(socket, buffer, sizeof(buffer), 0);
      if (got <= 0) break;
      received.append(buffer, static_cast<std::size_t>(got));
    }
  }
  ::close(socket);
  return received;
}

bool IsAnswered(const Address& server, const std::string& request, const std::string& start) {
  for (int i = 0; i < kMaxTries; ++i) {
    if (i > 0) std::this_thread::sleep_for(kRetryDelay);
    if (Exchange(server, request).starts_with(start)) return true;
  }
  return false;
}

void RaiseDescriptorLimit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

std::string OwnLoopbackIp(int number) {
  const int id = ::getpid();
  return fmt::format("127.{}.{}.{}", 64 + (id >> 8) % 128, id % 256, number + 1);
}

RunDirectory::RunDirectory()
    : path_((std::filesystem::temp_directory_path() / "hostile-XXXXXX").string()) {
  if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error("no temporary directory");
}

RunDirectory::~RunDirectory() {
  if (::testing::Test::HasFailure()) {
    fmt::print("the logs are in {}\n", path_);
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void RunDirectory::Write(const std::string& name, const std::string& text) const {
  std::ofstream(PathOf(name)) << text;
}

FleetProcesses::FleetProcesses(std::size_t max_descriptors)
    : entry_ip_(OwnLoopbackIp(1)), agent_ip_(OwnLoopbackIp(2)) {
  const std::string build = BASILSPRING_BUILD_DIR;
  const std::string store_ip = OwnLoopbackIp(3);
  const Address store{store_ip, 7950};
  directory_.Write("entry.toml", SettingsText("entry", entry_ip_, entry_ip_, store_ip));
  directory_.Write("agent.toml", SettingsText("agent", agent_ip_, entry_ip_, store_ip));
  platform_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{build + "/basilspring-standin", "platform", "--store",
                               store.ToString(), "--control", agent_ip_ + ":7955", "--app",
                               agent_ip_ + ":7956"},
      directory_.PathOf("platform.log"), 0);
  const std::string config =
      R"({"version":3,"routes":[{"name":"quotes","host":"shop.example","prefix":"/q/",)"
      R"("service":"planner","priority":0,"max_attempts":4,"stretch":1.5,)"
      R"("target_duration_ms":400}],"services":[{"name":"planner","enforces_capacity":true}],)"
      R"("tenants":[{"name":"shop","api_keys":["secret"],"guaranteed":{"gpu":8}}]})";
  IsAnswered(store,
             fmt::format("POST /put?key=op/config HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
                         "Content-Length: {}\r\n\r\n{}",
                         config.size(), config),
             "HTTP/1.1 200");
  for (auto* process : {&entry_, &agent_}) {
    const std::string name = process == &entry_ ? "entry" : "agent";
    *process = std::make_unique<ChildProcess>(
        std::vector<std::string>{build + "/basilspring", "node", "--settings",
                                 directory_.PathOf(name + ".toml")},
        directory_.PathOf(name + ".log"), max_descriptors);
  }
}

bool FleetProcesses::Ready() const {
  const std::string get = "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  for (int i = 0; i < kMaxStartTries; ++i) {
    if (Exchange(readiness(), get).starts_with("HTTP/1.1 200") &&
        Exchange(agent_peers(), get).starts_with("HTTP/1.1 404")) {
      return true;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return false;
}

bool FleetProcesses::SetStoreFault(const std::string& mode) const {
  const std::string body = fmt::format(R"({{"mode":"{}"}})", mode);
  return IsAnswered(Address{OwnLoopbackIp(3), 7950},
                    fmt::format("POST /fault HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
                                "Content-Length: {}\r\n\r\n{}",
                                body.size(), body),
                    "HTTP/1.1 200");
}

}  // namespace basilspring
