#ifndef BASILSPRING_STANDIN_PLATFORM_STORE_H_
#define BASILSPRING_STANDIN_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "basilspring/connection/http_server.h"

namespace basilspring::standin {

/// A stand-in for the users' metadata store according to its published protocol: items with
/// revisions, conditional transactions, leases, and watches with a bounded history.
/// POST /fault with {"mode": MODE} sets a fault: "none"; "busy" rejects all calls with 503;
/// "silent" neither executes nor answers calls; "lost" executes transactions but doesn't answer
/// them; "late" executes transactions 2.5 s later and doesn't answer them; "one_way" executes all
/// calls and answers none; "slow" answers all calls but watches 0.4 s late. Two modes affect only
/// the "percent" of the calls that the body of POST /fault names, which are chosen at random, and
/// no watches: "torn" executes a call, sends the header and a part of the body of its answer, and
/// then closes the connection or leaves it silent; "uncertain" doesn't answer a call and executes
/// it at once, 1 to 6 s later or never, leases included. POST /forget drops the history, so that
/// watches from an older revision are answered with 410. POST /put?key=KEY writes an item.
class PlatformStoreStandin {
 public:
  /// The seed determines which calls the modes "torn" and "uncertain" affect, and how.
  explicit PlatformStoreStandin(std::uint64_t seed = 1) : random_(seed) {}

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
              std::int64_t now_ms);
  /// Executes late writes and sends delayed responses that are due, and ends expired leases and
  /// watches whose wait time has passed. Must be called periodically.
  void Tick(std::int64_t now_ms);
  /// Writes an item without a lease, as an operator does.
  void Put(const std::string& key, const std::string& value);
  /// Removes an item, as an operator does.
  void Erase(const std::string& key);
  /// These have the effect of POST /fault and POST /forget.
  void SetMode(const std::string& mode, int percent = 100);
  void ForgetHistory();
  /// Returns the value of a key, or "" if it doesn't exist.
  std::string Value(const std::string& key) const;

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t expires_ms = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool removed = false;
  };
  struct Watch {
    std::string prefix;
    std::int64_t after = 0;
    std::int64_t until_ms = 0;
    std::shared_ptr<HttpResponder> responder;
  };

  /// Handles a call that the mode "torn" or "uncertain" affects.
  void Disturb(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
               std::int64_t now_ms);
  std::int64_t RandomBelow(std::int64_t below);
  HttpResponse Execute(const HttpRequest& request, std::int64_t now_ms);
  HttpResponse Range(const HttpRequest& request) const;
  HttpResponse Transaction(const HttpRequest& request);
  HttpResponse UpdateLease(const HttpRequest& request, std::int64_t now_ms);
  void StartWatch(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
                  std::int64_t now_ms);
  bool AnswerWatch(const Watch& watch, bool timed_out) const;
  void Write(const std::string& key, const std::string& value, std::int64_t lease);
  void Remove(const std::string& key);
  void NotifyWatches();

  std::map<std::string, Item> items_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<Event> history_;
  /// Events up to this revision are no longer in the history.
  std::int64_t compacted_revision_ = 0;
  std::vector<Watch> watches_;
  /// Responders of unanswered calls, kept until the mode is "none".
  std::vector<std::shared_ptr<HttpResponder>> unanswered_;
  /// Responders of calls that got a part of their answer or none, each with the time at which its
  /// connection is closed.
  std::vector<std::pair<std::int64_t, std::shared_ptr<HttpResponder>>> silent_until_;
  /// Calls of the modes "late" and "uncertain", each with the time in milliseconds at which it
  /// executes.
  std::vector<std::pair<std::int64_t, HttpRequest>> late_calls_;
  /// A response of the mode "slow".
  struct DelayedResponse {
    std::int64_t due_ms = 0;
    std::shared_ptr<HttpResponder> responder;
    HttpResponse response;
  };
  std::vector<DelayedResponse> delayed_responses_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1;
  std::string mode_ = "none";
  int percent_ = 100;
  std::mt19937_64 random_;
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_PLATFORM_STORE_H_
