#ifndef BASILSPRING_FLEET_LEADERSHIP_H_
#define BASILSPRING_FLEET_LEADERSHIP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/fleet/job_model.h"
#include "basilspring/fleet/store_access.h"

namespace basilspring::fleet {

/// Value of the leader key in the store: the holder of the scheduler's lease.
struct LeaderRecord {
  Term term;
  NodeId node;
  Address address;
  BASILSPRING_SERIALIZE(term, node, address)
};

struct LeadershipOptions {
  /// Node id and address that the process writes to the leader key when it acquires the lease.
  NodeId node;
  Address address;
  /// After this long without contact to a scheduler, the process reads the leader key, and tries to
  /// acquire the lease if nobody holds it.
  Duration contact_timeout = Duration(1200);
  /// For this long after it has found the lease vacant, the process leaves it to others.
  Duration contend_delay;
  /// The leader key is not read before this time.
  TimePoint first_check_at;
  /// Time to live of the lease without a renewal. A shorter lease is taken over sooner after a
  /// failure, but is lost more often.
  Duration lease = Duration(2500);
  /// Time between two renewals.
  Duration renewal_interval = Duration(600);
};

/// Leader election: acquires, renews and gives up the scheduler's lease in the store. Its validity
/// is counted from the time at which the acquiring or renewing call was sent, so it never lasts
/// longer here than in the store. Only a process with a direct connection to the store holds it,
/// because each of the scheduler's calls would take too long if it were relayed by a peer. Used
/// only on the thread that owns the process's state.
class Leadership {
 public:
  struct Handlers {
    /// Called when the lease was acquired, with its term and the revision of the leader key.
    std::function<void(Term, std::int64_t)> elected;
    /// Called when the lease was lost or given up.
    std::function<void()> lost;
    /// Called when another process holds the lease.
    std::function<void(const LeaderRecord&)> holder_found;
  };

  Leadership(StoreAccess& store, LeadershipOptions options, Handlers handlers);
  ~Leadership();
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;

  /// Renews the lease or checks for a holder if that is due; call it periodically. `last_contact`
  /// is when the process last heard from the scheduler.
  void Tick(TimePoint now, TimePoint last_contact);
  /// Stops leading without ending the lease in the store, for example because the store refused a
  /// write of this holder, which shows that another process holds the lease.
  void StopLeading(const std::string& reason);
  /// Ends the lease if it is held, so that a successor need not wait until it expires. After that
  /// this process does not contend again.
  void Resign();
  /// Stops leading, ends the lease, so that another process can take over at once, and does not
  /// contend for it again for some seconds. Does nothing if this process does not lead.
  void GiveUp(const std::string& reason);
  /// Reads the leader key now instead of at the next periodic check.
  void CheckHolderNow();

  bool leading() const { return lease_ != 0; }
  /// Time until which this process may act as the scheduler; TimePoint() while it does not lead, or
  /// has asked the store to end the lease and has no answer yet.
  TimePoint valid_until() const { return ending_ ? TimePoint() : valid_until_; }

  static const char* LeaderKey();

 private:
  /// Reads the leader key, and contends for the lease if nobody else holds it.
  void CheckHolder();
  /// Contends for the vacant lease, or sets the time of the next check if that is too early.
  void OnVacant(TimePoint now);
  /// Reads the last term and tries to acquire the lease in the next one. `own_previous_revision` is
  /// the revision of a leader key that this process wrote before a restart; std::nullopt if there
  /// is none.
  void Contend(std::optional<std::int64_t> own_previous_revision);
  /// Writes the leader key and the term in one transaction, on condition that neither has changed
  /// since it was read; revision 0 means that the key must not exist.
  void AcquireLease(Term term, std::int64_t term_revision, std::int64_t leader_revision);
  void Renew(TimePoint now);
  /// Ends the lease if a peer reaches the store, so that a process with a direct connection takes
  /// over. Otherwise this process keeps the lease.
  void StepDown();
  /// Asks the store, normally through a peer, to end the lease. This process keeps it only if the
  /// answer shows that nothing was done.
  void EndLease();

  StoreAccess& store_;
  LeadershipOptions options_;
  Handlers handlers_;
  std::minstd_rand random_{std::random_device()()};
  /// Whether a call that checks the holder or acquires the lease is unanswered.
  bool call_in_flight_ = false;
  TimePoint next_check_;
  /// Id of the lease; 0 while this process does not lead.
  std::int64_t lease_ = 0;
  /// Time to live that the store has granted; it may differ from the one requested.
  Duration lease_time_;
  TimePoint valid_until_;
  TimePoint next_renewal_;
  bool renewing_ = false;
  /// Whether the process finds out if a peer reaches the store, before it ends the lease.
  bool stepping_down_ = false;
  /// Whether the call that ends the lease is unanswered. The store may have carried it out.
  bool ending_ = false;
  /// Consecutive renewals that failed.
  int failed_renewals_ = 0;
  /// The process does not contend before this time.
  TimePoint contend_after_;
  /// When the process first found the lease vacant; unset while it has a holder.
  std::optional<TimePoint> vacant_since_;
  bool resigned_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_LEADERSHIP_H_
