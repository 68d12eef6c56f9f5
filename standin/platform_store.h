#ifndef BASILSPRING_STANDIN_PLATFORM_STORE_H_
#define BASILSPRING_STANDIN_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilspring/connection/http_server.h"

namespace basilspring::standin {

/// The users' metadata store, as its published protocol describes it: items with revisions,
/// conditional transactions, leases and watches with a bounded history. Faults are set over HTTP:
/// POST /fault with {"mode": "none" | "busy" | "silent" | "lost" | "late"}; "lost" carries writes
/// out and does not answer, "late" does so seconds later. POST /forget drops the history.
class PlatformStoreStandin {
 public:
  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
              std::int64_t now_ms);
  /// Ends leases and watches whose time is over.
  void Tick(std::int64_t now_ms);
  /// Writes as the operator does.
  void Put(const std::string& key, const std::string& value);
  /// Removes as the operator does.
  void Erase(const std::string& key);
  /// The same as POST /fault and POST /forget.
  void SetMode(const std::string& mode);
  void ForgetHistory();
  /// Value of a key; empty when there is none.
  std::string Value(const std::string& key) const;

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    std::int64_t time_ms = 0;
    std::int64_t ends_ms = 0;
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

  HttpResponse Answer(const HttpRequest& request, std::int64_t now_ms);
  HttpResponse Range(const HttpRequest& request) const;
  HttpResponse Transaction(const HttpRequest& request);
  HttpResponse KeepLease(const HttpRequest& request, std::int64_t now_ms);
  void StartWatch(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder,
                  std::int64_t now_ms);
  bool AnswerWatch(const Watch& watch, bool finished) const;
  void Write(const std::string& key, const std::string& value, std::int64_t lease);
  void Remove(const std::string& key);
  void FeedWatches();

  std::map<std::string, Item> items_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<Event> history_;
  std::int64_t history_begins_after_ = 0;
  std::vector<Watch> watches_;
  std::vector<std::shared_ptr<HttpResponder>> held_;
  /// Writes that are carried out later, with the time of each.
  std::vector<std::pair<std::int64_t, HttpRequest>> late_writes_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1;
  std::string mode_ = "none";
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_PLATFORM_STORE_H_
