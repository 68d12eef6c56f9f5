#ifndef BASILSPRING_STANDIN_SOAK_CALLERS_H_
#define BASILSPRING_STANDIN_SOAK_CALLERS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "basilspring/connection/http_client.h"
#include "basilspring/process/io_thread.h"
#include "standin/soak_rules.h"

namespace basilspring::standin {

/// Callers of a soak: they submit jobs over connections that they keep, try again where the answer
/// allows it or none came, ask for phases until a job has ended, and cancel some jobs.
class SoakCallers {
 public:
  SoakCallers(IoThread& io, HttpClient& http, std::vector<Address> entries, std::uint64_t seed);
  ~SoakCallers();

  /// Submits one job, drawn from the seed; the rest follows by itself.
  void SubmitOne();
  /// Jobs whose end has not been seen yet.
  std::size_t open() const;
  /// The status of a question about a queue with this key, at one entry.
  int StatusWithKey(std::size_t entry, const std::string& key);
  void Collect(SoakRecord& record) const;

 private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void Submit(const JobPtr& job);
  void Look(const JobPtr& job);
  void Cancel(const JobPtr& job);
  void After(std::int64_t delay_ms, std::function<void()> function);
  void Call(const JobPtr& job, const std::string& method, const std::string& body,
            std::function<void(const HttpResult&)> handler);
  std::uint64_t Draw(std::uint64_t below);

  IoThread& io_;
  HttpClient& http_;
  const std::vector<Address> entries_;
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  std::uint64_t next_job_ = 1;
  std::map<std::string, JobPtr> jobs_;
  std::vector<SoakBrokenCall> broken_calls_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_SOAK_CALLERS_H_
