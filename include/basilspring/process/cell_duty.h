#ifndef BASILSPRING_PROCESS_CELL_DUTY_H_
#define BASILSPRING_PROCESS_CELL_DUTY_H_

#include <memory>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/ids.h"

namespace basilspring {

class MetricRegistry;
class StoreClient;
class Transport;
struct ProcessSettings;

/// Contends for the cell lease on behalf of an agent process and runs the cell scheduler while the
/// process holds the lease. Has its own thread; all member functions are thread-safe.
class CellDuty {
 public:
  CellDuty(const ProcessSettings& settings, Transport& transport, StoreClient& store,
           MetricRegistry& metrics);
  ~CellDuty();
  CellDuty(const CellDuty&) = delete;
  CellDuty& operator=(const CellDuty&) = delete;

  /// Passes a message for the cell scheduler on to it. Drops the message if this process doesn't
  /// hold the cell.
  void OnMessage(const Address& from, Message message);

  /// Tries to create the lease key; called when the agent finds the cell vacant. `last_epoch` is
  /// the highest epoch that the agent has seen.
  void Contend(Epoch last_epoch);

  /// Sets the entries of the region, which are asked for permits and get summaries.
  void SetEntries(std::vector<Address> entries);

  /// Hands the cell over: stops placing jobs, completes pending writes, releases the lease and
  /// tells the agents. Returns when that is done or the time limit has passed. Must not be called
  /// on the I/O thread, which it would block.
  void Release(Duration limit);

  bool holds_cell() const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CELL_DUTY_H_
