#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "review/standin/fleet.h"

// A consumer's HTTP call on a channel of its own.
namespace basilspring::review {
namespace {

/// Returns the body of a whole answer, or std::nullopt while some of it is missing.
std::optional<std::string> WholeBody(const std::string& bytes) {
  const std::size_t head = bytes.find("\r\n\r\n");
  if (head == std::string::npos) return std::nullopt;
  std::string lower = bytes.substr(0, head);
  for (char& c : lower) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  const std::size_t at = lower.find("content-length:");
  const std::size_t length =
      at == std::string::npos ? 0 : static_cast<std::size_t>(std::stoul(lower.substr(at + 15)));
  if (bytes.size() < head + 4 + length) return std::nullopt;
  return bytes.substr(head + 4, length);
}

}  // namespace

Call Exchange(const Address& server, const std::string& request, Duration timeout) {
  Call call;
  const TimePoint until = Clock::Now() + timeout;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port);
  ::inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
  std::string bytes;
  call.error = "no answer";
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size())) {
    while (true) {
      const std::int64_t left = (until - Clock::Now()).milliseconds();
      pollfd ready{fd, POLLIN, 0};
      if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) break;
      char buffer[4096];
      const ssize_t got = ::recv(fd, buffer, sizeof(buffer), 0);
      if (got <= 0) break;
      bytes.append(buffer, static_cast<std::size_t>(got));
      if (bytes.rfind("HTTP/1.1 100", 0) == 0) bytes.erase(0, bytes.find("\r\n\r\n") + 4);
      if (const auto body = WholeBody(bytes)) {
        call.status = std::stoi(bytes.substr(9, 3));
        call.body = *body;
        call.error.clear();
        break;
      }
    }
  }
  ::close(fd);
  return call;
}

}  // namespace basilspring::review
