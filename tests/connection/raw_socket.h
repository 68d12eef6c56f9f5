#ifndef BASILSPRING_TESTS_CONNECTION_RAW_SOCKET_H_
#define BASILSPRING_TESTS_CONNECTION_RAW_SOCKET_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include "basilspring/connection/messages.h"

namespace basilspring {

/// Time limit for a wait for a condition; generous, because CI machines are slow.
constexpr std::chrono::seconds kTestTimeout{30};

/// Waits until the condition holds; false after kTestTimeout.
inline bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// A blocking TCP client socket that sends exactly the bytes a test wants.
class RawSocket {
 public:
  explicit RawSocket(const Address& server) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
    connected_ = ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~RawSocket() { ::close(fd_); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  bool connected() const { return connected_; }
  bool Write(std::string_view bytes) const {
    return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }
  /// Whether the peer has closed the connection and all that it sent has been read.
  bool PeerClosed() const {
    char byte = 0;
    return ::recv(fd_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  void ShutdownWrite() const { ::shutdown(fd_, SHUT_WR); }

  /// Reads until the predicate accepts what has arrived, the peer closes, or kTestTimeout is over.
  std::string ReadUntil(const std::function<bool(const std::string&)>& enough) const {
    std::string received;
    while (!enough(received)) {
      pollfd entry{fd_, POLLIN, 0};
      const auto timeout_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(kTestTimeout).count();
      if (::poll(&entry, 1, static_cast<int>(timeout_ms)) <= 0) break;
      char buffer[65536];
      const ssize_t got = ::recv(fd_, buffer, sizeof(buffer), 0);
      if (got <= 0) break;
      received.append(buffer, static_cast<std::size_t>(got));
    }
    return received;
  }
  std::string ReadAll() const {
    return ReadUntil([](const std::string&) { return false; });
  }
  std::string ReadUntilText(const std::string& text) const {
    return ReadUntil([&text](const std::string& got) { return got.find(text) != got.npos; });
  }

 private:
  int fd_;
  bool connected_ = false;
};

}  // namespace basilspring

#endif  // BASILSPRING_TESTS_CONNECTION_RAW_SOCKET_H_
