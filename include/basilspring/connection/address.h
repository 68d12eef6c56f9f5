#ifndef BASILSPRING_CONNECTION_ADDRESS_H_
#define BASILSPRING_CONNECTION_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace basilspring {

/// IP address and port of a process; the port is the same for TCP and UDP.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  bool empty() const { return ip.empty(); }
  std::string ToString() const;
  /// Parses "ip:port" without checking the IP address itself. Throws Error(kInvalidArgument) if a
  /// part is missing or the port is not a number from 1 to 65535.
  static Address Parse(const std::string& text);

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_ADDRESS_H_
