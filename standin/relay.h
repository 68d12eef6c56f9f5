#ifndef BASILSPRING_STANDIN_RELAY_H_
#define BASILSPRING_STANDIN_RELAY_H_

#include <memory>

#include "basilspring/connection/messages.h"

namespace basilspring {

class IoThread;

namespace standin {

/// Forwards TCP and UDP from a free loopback port to a target, and imitates faults of the network
/// in between. What a cut holds back on a TCP connection is delivered after the cut, as a network
/// that retransmits would do; datagrams are lost. Thread-safe; each switch is in force when its
/// call returns.
class Relay {
 public:
  Relay(IoThread& io, const Address& target);
  /// Closes all connections.
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Address that stands for the target, for TCP and UDP.
  Address address() const;

  /// Holds back what goes from the clients to the target.
  void CutTowardsTarget(bool cut);
  /// Holds back what goes from the target to the clients.
  void CutTowardsClients(bool cut);
  void CutBoth(bool cut);
  /// Connections that are open now carry nothing more, for good; new ones work.
  void SilenceOpenConnections();
  /// Closes the connections that are open now.
  void CloseOpenConnections();

  /// TCP connections since the start.
  int accepted() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace standin
}  // namespace basilspring

#endif  // BASILSPRING_STANDIN_RELAY_H_
