#ifndef BASILSPRING_SRC_PROCESS_CELL_QUEUE_H_
#define BASILSPRING_SRC_PROCESS_CELL_QUEUE_H_

#include <array>
#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"

namespace basilspring::internal {

/// Waiting jobs in the order in which they are tried: by class, then by age.
class CellQueue {
 public:
  void Add(const JobId& job, JobClass job_class, TimePoint since) {
    waiting_[static_cast<std::size_t>(job_class)].insert({since, job});
  }
  void Remove(const JobId& job, JobClass job_class, TimePoint since) {
    waiting_[static_cast<std::size_t>(job_class)].erase({since, job});
  }
  std::size_t Length(JobClass job_class) const {
    return waiting_[static_cast<std::size_t>(job_class)].size();
  }
  std::size_t size() const {
    std::size_t total = 0;
    for (const auto& jobs : waiting_) total += jobs.size();
    return total;
  }
  bool empty() const { return size() == 0; }
  /// Time since when the oldest job of a class waits; the class must not be empty.
  TimePoint Oldest(JobClass job_class) const {
    return waiting_[static_cast<std::size_t>(job_class)].begin()->first;
  }
  /// Waiting jobs in order, at most `limit` of each class.
  std::vector<JobId> Order(std::size_t limit) const {
    std::vector<JobId> order;
    for (const auto& jobs : waiting_) {
      std::size_t taken = 0;
      for (const auto& [since, job] : jobs) {
        if (taken++ == limit) break;
        order.push_back(job);
      }
    }
    return order;
  }

 private:
  std::array<std::set<std::pair<TimePoint, JobId>>, kJobClassCount> waiting_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_CELL_QUEUE_H_
