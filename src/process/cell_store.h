#ifndef BASILSPRING_SRC_PROCESS_CELL_STORE_H_
#define BASILSPRING_SRC_PROCESS_CELL_STORE_H_

#include <cstdint>
#include <string>

#include "basilspring/clock.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/ids.h"
#include "basilspring/process/cell_core.h"

namespace basilspring::internal {

/// The store operations of a cell scheduler. Calls block the calling fiber only. Errors of the
/// store are reported as the outcome of the reply, except by List.
class CellStore {
 public:
  CellStore(StoreClient& store, CellId cell, Duration answer_retention);

  /// Reads all job records of the cell, page by page. Records that can't be decoded are logged and
  /// skipped. Throws Error if the store does not answer.
  RecordsListed List();
  ClaimReply Claim(const ClaimRequest& request);
  FenceReply Fence(const FenceRequest& request);
  ResultReply Write(const ResultWrite& write);

 private:
  /// The store lease under which answers are written; granted again from time to time.
  std::int64_t AnswerLease();

  StoreClient& store_;
  CellId cell_;
  Duration answer_retention_;
  std::int64_t answer_lease_ = 0;
  TimePoint answer_lease_until_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_CELL_STORE_H_
