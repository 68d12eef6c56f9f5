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

/// The duty of an agent process that contends for the cell lease and, while it holds it, schedules
/// the cell. One thread of its own; all members are thread-safe.
class CellDuty {
 public:
  CellDuty(const ProcessSettings& settings, Transport& transport, StoreClient& store,
           MetricRegistry& metrics);
  ~CellDuty();
  CellDuty(const CellDuty&) = delete;
  CellDuty& operator=(const CellDuty&) = delete;

  /// Takes a message that is meant for a cell scheduler. Dropped when this process doesn't hold the
  /// cell.
  void OnMessage(const Address& from, Message message);

  /// The agent found the cell vacant: tries to create the lease key.
  void Contend(Epoch last_epoch);

  /// Entries of the region, for permits and summaries.
  void SetEntries(std::vector<Address> entries);

  /// Hands the cell over: places nothing more, finishes writes, tells the agents, releases the
  /// lease. Returns when that is done or the limit has passed. Must not be called on the I/O
  /// thread.
  void Release(Duration limit);

  bool holds_cell() const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilspring

#endif  // BASILSPRING_PROCESS_CELL_DUTY_H_
