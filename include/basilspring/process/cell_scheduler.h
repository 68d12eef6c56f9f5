#ifndef BASILSPRING_PROCESS_CELL_SCHEDULER_H_
#define BASILSPRING_PROCESS_CELL_SCHEDULER_H_

#include <memory>

#include "basilspring/clock.h"
#include "basilspring/process/cell_core.h"
#include "basilspring/process/timings.h"

namespace basilspring {

class Duty;
class MetricRegistry;
class StoreClient;
class Transport;

/// Drives one CellCore for as long as the cell is held: passes events to it and executes its
/// effects. Store operations run in fibers of the Duty and report their outcome to the core. Used
/// only on the Duty's thread. Must be created with std::make_shared, since fibers that wait for the
/// store keep it alive.
class CellScheduler : public std::enable_shared_from_this<CellScheduler> {
 public:
  CellScheduler(CellIdentity identity, const Timings& timings, Duty& duty, Transport& transport,
                StoreClient& store, MetricRegistry& metrics);
  ~CellScheduler();
  CellScheduler(const CellScheduler&) = delete;
  CellScheduler& operator=(const CellScheduler&) = delete;

  /// Lists the job records of the cell and passes them to the core. Retries until the store answers
  /// or the scheduler is stopped.
  void ListJobRecords();
  /// Passes an event to the core and executes the effects. Does nothing once stopped.
  void Handle(const CellEvent& event);
  /// Stops the scheduler: it sends nothing more and ignores answers of the store.
  void Stop();

  /// Whether the scheduler is superseded, or Stop was called.
  bool stopped() const;
  /// See CellCore::handed_over().
  bool handed_over() const;
  Epoch epoch() const;
  std::optional<ConfigurationUpdate> configuration() const;

  struct Impl;

 private:
  /// Runs the operation in a fiber of the Duty.
  void StartStoreOperation(const StoreOperation& operation);

  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CELL_SCHEDULER_H_
