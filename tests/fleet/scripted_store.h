#ifndef BASILSPRING_TESTS_FLEET_SCRIPTED_STORE_H_
#define BASILSPRING_TESTS_FLEET_SCRIPTED_STORE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "basilspring/fleet/store.h"

namespace basilspring::fleet {

/// A store whose answers each test sets. Watches are held until the test answers them.
class ScriptedStore : public Store {
 public:
  void Call(const StoreCall& call, StoreHandler handler) override {
    calls.push_back(call);
    StoreReply reply;
    if (answer) reply = answer(call);
    if (hold && call.kind() == StoreOperation::kWatch) {
      held.push_back(std::move(handler));
      return;
    }
    handler(std::move(reply));
  }
  std::size_t CountOf(StoreOperation kind) const {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [kind](const StoreCall& call) { return call.kind() == kind; }));
  }
  std::function<StoreReply(const StoreCall&)> answer;
  std::vector<StoreCall> calls;
  bool hold = true;
  std::deque<StoreHandler> held;
};

inline StoreReply MakeReply(StoreStatus status, std::int64_t revision = 5) {
  StoreReply reply;
  reply.status = status;
  reply.revision = revision;
  reply.lease = 7;
  reply.lease_time = Duration(2500);
  return reply;
}

}  // namespace basilspring::fleet

#endif  // BASILSPRING_TESTS_FLEET_SCRIPTED_STORE_H_
