#ifndef BASILSPRING_STANDIN_RELAY_H_
#define BASILSPRING_STANDIN_RELAY_H_

#include <memory>

#include "basilspring/connection/messages.h"

namespace basilspring {

class IoThread;

namespace standin {

/// Forwards TCP connections and UDP datagrams from a free loopback port to a target, and simulates
/// network faults. During a cut, TCP data is held back and delivered afterwards, as TCP
/// retransmission would do; datagrams are dropped. Thread-safe; each fault is in effect when the
/// call that sets it returns.
class Relay {
 public:
  Relay(IoThread& io, const Address& target);
  /// Closes all connections.
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Returns the address to use in place of the target's, for TCP and UDP.
  Address address() const;

  /// Cuts the direction from the clients to the target, or restores it.
  void CutTowardsTarget(bool cut);
  /// Cuts the direction from the target to the clients, or restores it.
  void CutTowardsClients(bool cut);
  void CutBoth(bool cut);
  /// Permanently stops forwarding on the connections that are open now, without closing them. New
  /// connections are not affected.
  void SilenceOpenConnections();
  /// Holds back the data on the connections that are open now, also after their clients have ended.
  /// New connections are not affected.
  void HoldOpenConnections();
  /// Delivers what HoldOpenConnections() has held back.
  void ReleaseHeldConnections();
  /// Closes the connections that are open now.
  void CloseOpenConnections();
  /// Refuses new connections and closes the open ones, as a host does on which nothing listens, or
  /// accepts connections again.
  void RefuseConnections(bool refuse);

  /// Returns the number of TCP connections accepted since the start.
  int accepted() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace standin
}  // namespace basilspring

#endif  // BASILSPRING_STANDIN_RELAY_H_
