#ifndef BASILSPRING_TESTS_CONNECTION_SCRIPTED_SERVER_H_
#define BASILSPRING_TESTS_CONNECTION_SCRIPTED_SERVER_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "basilspring/connection/messages.h"

namespace basilspring {

/// The responses on each connection, in the order in which clients connect.
using Script = std::vector<std::vector<std::string>>;

/// A TCP server. On the i-th connection it reads one request head for each text of script[i] and
/// writes the text unchanged; then it closes the connection.
class ScriptedServer {
 public:
  /// Used instead of a response: the server sends nothing until the client closes the connection or
  /// the server is destroyed.
  static constexpr const char* kNoResponse = "silence";
  /// Within a response: the server waits for kPauseTime before it writes the rest.
  static constexpr char kPause = '\x01';
  static constexpr std::chrono::milliseconds kPauseTime{20};

  explicit ScriptedServer(Script script)
      : script_(std::move(script)), listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(listener_, 16);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = Address{"127.0.0.1", ntohs(address.sin_port)};
    thread_ = std::thread([this] { Run(); });
  }
  ~ScriptedServer() {
    stopping_ = true;
    thread_.join();
    for (std::thread& session : sessions_) session.join();
    ::close(listener_);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  Address address() const { return address_; }
  int connections() const { return connections_.load(); }

 private:
  bool Readable(int fd) const {
    pollfd entry{fd, POLLIN, 0};
    while (!stopping_) {
      if (::poll(&entry, 1, 10) > 0) return true;
    }
    return false;
  }
  /// Reads up to the empty line; returns false if the client has closed the connection.
  bool ReadHead(int fd) const {
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
      char byte = 0;
      if (!Readable(fd) || ::recv(fd, &byte, 1, 0) != 1) return false;
      head.push_back(byte);
    }
    return true;
  }
  static void Write(int fd, std::string_view answer) {
    while (true) {
      const std::string_view part = answer.substr(0, answer.find(kPause));
      ::send(fd, part.data(), part.size(), MSG_NOSIGNAL);
      if (part.size() == answer.size()) return;
      answer.remove_prefix(part.size() + 1);
      std::this_thread::sleep_for(kPauseTime);
    }
  }
  void Serve(int fd, const std::vector<std::string>& answers) const {
    for (const std::string& answer : answers) {
      if (!ReadHead(fd)) return;
      if (answer == kNoResponse) {
        char byte = 0;
        while (Readable(fd) && ::recv(fd, &byte, 1, 0) == 1) continue;
        return;
      }
      Write(fd, answer);
    }
  }
  void Run() {
    for (const auto& answers : script_) {
      if (!Readable(listener_)) return;
      const int fd = ::accept(listener_, nullptr, nullptr);
      ++connections_;
      sessions_.emplace_back([this, fd, &answers] {
        Serve(fd, answers);
        ::close(fd);
      });
    }
  }

  Script script_;
  int listener_;
  Address address_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::vector<std::thread> sessions_;
  std::thread thread_;
};

}  // namespace basilspring

#endif  // BASILSPRING_TESTS_CONNECTION_SCRIPTED_SERVER_H_
