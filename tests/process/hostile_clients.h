#ifndef BASILSPRING_TESTS_PROCESS_HOSTILE_CLIENTS_H_
#define BASILSPRING_TESTS_PROCESS_HOSTILE_CLIENTS_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilspring/connection/address.h"

namespace basilspring {

/// A process of the program under test. It is killed when the object is destroyed or the test ends.
class ChildProcess {
 public:
  /// Starts the program with its output in the log file; `max_descriptors` is its RLIMIT_NOFILE, 0
  /// for the limit of this process.
  ChildProcess(const std::vector<std::string>& command, const std::string& log_path,
               std::size_t max_descriptors);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool Alive();
  /// Returns the peak of the resident memory, 0 if the process has ended.
  std::size_t PeakMemoryKib() const;
  /// Returns the number of open descriptors, 0 if the process has ended.
  std::size_t OpenDescriptors() const;

 private:
  int id_ = -1;
  bool ended_ = false;
};

/// A temporary directory for settings and logs. It is kept if the running test has failed.
class RunDirectory {
 public:
  RunDirectory();
  ~RunDirectory();
  RunDirectory(const RunDirectory&) = delete;
  RunDirectory& operator=(const RunDirectory&) = delete;

  std::string PathOf(const std::string& name) const { return path_ + "/" + name; }
  void Write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

/// Returns an address of 127.0.0.0/8 that no other running process uses in these tests, for numbers
/// below 250.
std::string OwnLoopbackIp(int number);

/// What one hostile client sends: `head` once, then `repeated` until `planned_bytes` have been sent
/// in all, then `tail`.
struct HostileStream {
  std::string head;
  std::string repeated;
  std::size_t planned_bytes = 0;
  std::string tail;
};

/// Connections that send the same stream and never read. No call blocks without a limit.
class HostileCrowd {
 public:
  /// A receive buffer size of 0 leaves the default of the system.
  HostileCrowd(const Address& server, std::size_t connections, int receive_buffer_bytes = 0);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  /// Sends until each connection has sent the stream, is closed, or none of them makes progress.
  void Send(const HostileStream& stream);
  /// Waits, for a limited time, until the process has read what arrived or reads no further.
  void AwaitConsumption() const;
  /// Returns the number of bytes that all connections have sent.
  std::size_t sent_bytes() const { return sent_bytes_; }

 private:
  Address server_;
  std::vector<int> sockets_;
  std::size_t sent_bytes_ = 0;
};

/// Sends one request on a new connection, and returns what arrives until the peer closes or a limit
/// on time is over.
std::string Exchange(const Address& server, const std::string& request);
/// Repeats the request a limited number of times until an answer starts with the text.
bool IsAnswered(const Address& server, const std::string& request, const std::string& start);
/// Raises the limit of this process on descriptors to what the system allows.
void RaiseDescriptorLimit();

/// An entry and an agent of the fleet beside the stand-in of the platform, on loopback addresses
/// that depend on the id of this process.
class FleetProcesses {
 public:
  explicit FleetProcesses(std::size_t max_descriptors = 0);

  /// Whether both processes answer their ordinary requests; waits for that for a limited time.
  bool Ready() const;
  /// Sets the fault of the store's stand-in, for example "silent".
  bool SetStoreFault(const std::string& mode) const;

  ChildProcess& entry() { return *entry_; }
  ChildProcess& agent() { return *agent_; }
  Address callers() const { return {entry_ip_, 7952}; }
  Address readiness() const { return {entry_ip_, 7953}; }
  Address entry_metrics() const { return {entry_ip_, 7954}; }
  Address entry_peers() const { return {entry_ip_, 7951}; }
  Address agent_peers() const { return {agent_ip_, 7951}; }
  Address announcements() const { return {agent_ip_, 7955}; }

 private:
  std::string entry_ip_;
  std::string agent_ip_;
  RunDirectory directory_;
  std::unique_ptr<ChildProcess> platform_;
  std::unique_ptr<ChildProcess> entry_;
  std::unique_ptr<ChildProcess> agent_;
};

}  // namespace basilspring

#endif  // BASILSPRING_TESTS_PROCESS_HOSTILE_CLIENTS_H_
