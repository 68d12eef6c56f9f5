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

/// Who holds the scheduler's lease, as the store has it.
struct LeaderRecord {
  Term term;
  NodeId node;
  Address address;
  BASILSPRING_SERIALIZE(term, node, address)
};

struct LeadershipOptions {
  NodeId node;
  Address address;
  /// Without contact to a scheduler for this long, the process looks whether there is one, and
  /// takes the lease when there is none.
  Duration patience = Duration(1200);
  /// No look before this time.
  TimePoint start_at;
  /// Life of the lease without a renewal. A shorter one is taken over sooner and lost more often.
  Duration lease = Duration(2500);
  Duration renewal = Duration(600);
};

/// Gains, renews and gives up the scheduler's lease. The lease counts from before the call that
/// gained or renewed it, so it never lasts longer here than in the store. Only a process with its
/// own way to the store holds it: through a peer, each of the scheduler's calls takes too long.
/// Lives on the process's own thread.
class Leadership {
 public:
  struct Handlers {
    /// The lease was gained in this term; the number is the revision of the leader key.
    std::function<void(Term, std::int64_t)> elected;
    /// The lease is gone for good.
    std::function<void()> deposed;
    /// Another process holds the lease.
    std::function<void(const LeaderRecord&)> found;
  };

  Leadership(StoreAccess& store, LeadershipOptions options, Handlers handlers);
  ~Leadership();
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;

  /// `last_contact` is when the process last heard from the scheduler.
  void Tick(TimePoint now, TimePoint last_contact);
  /// The store has refused a write of this holder, so another one has the lease.
  void Depose(const std::string& reason);
  /// Ends the lease, so that a successor need not wait for its end.
  void Resign();
  /// Looks at once who holds the lease.
  void LookNow();

  bool leading() const { return lease_ != 0; }
  /// Until when this process may act as the scheduler.
  TimePoint valid_until() const { return valid_until_; }

  static const char* LeaderKey();

 private:
  void Look();
  void Contend(std::optional<std::int64_t> own_old_revision);
  void TakeLease(Term term, std::int64_t term_revision, std::int64_t leader_revision);
  void Renew(TimePoint now);
  /// Ends the lease through a peer, so that a process with its own way to the store takes over.
  void StepDown();

  StoreAccess& store_;
  LeadershipOptions options_;
  Handlers handlers_;
  std::minstd_rand random_{std::random_device()()};
  bool busy_ = false;
  TimePoint next_look_;
  std::int64_t lease_ = 0;
  TimePoint valid_until_;
  TimePoint next_renewal_;
  bool renewing_ = false;
  /// Renewals in a row that the store did not answer.
  int failed_renewals_ = 0;
  /// The process does not contend before this time.
  TimePoint contend_after_;
  bool resigned_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_LEADERSHIP_H_
