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

/// Prefixes of the paths of the queues.
inline constexpr const char* kUrgentPrefix = "/q/";
inline constexpr const char* kBatchPrefix = "/b/";

/// The jobs of a soak.
enum class SoakTraffic : std::uint8_t {
  /// Jobs of one to four tasks on one queue, which use about half of 5 backend servers.
  kMixed,
  /// Those of the users' site ondh: one or two tasks of about 11 s, urgent gangs of 2 to 4 with 2.5
  /// s, and about 9 tasks of up to 9.5 s, which use about two thirds of 11 backend servers.
  kThreeKinds,
};

/// Simulated callers of a soak. They submit jobs over persistent connections, retry after a refusal
/// or a missing answer, query the phase of each job until it has ended, and cancel some jobs.
class SoakCallers {
 public:
  SoakCallers(IoThread& io, HttpClient& http, std::vector<Address> entries, std::uint64_t seed,
              SoakTraffic traffic);
  ~SoakCallers();

  /// Submits the next job, whose shape is random. Its retries, queries and cancellation follow on
  /// the I/O thread.
  void SubmitNextJob();
  /// Queries each accepted job once more, with answers or without. The job counts as open until
  /// then.
  void QueryAllOnce();
  /// Returns the number of jobs whose end hasn't been observed and whose submission hasn't been
  /// given up.
  std::size_t open() const;
  /// Returns the number of jobs whose submission was answered with a 2xx status.
  std::size_t accepted() const;
  /// Returns the HTTP status that an entry answers to a request with this API key.
  int StatusWithKey(std::size_t entry, const std::string& key);
  /// Adds the observed jobs and broken calls to the record.
  void Collect(SoakRecord& record) const;

 private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  /// Draw the shape of a job.
  void DrawMixed(Job& job);
  void DrawOfThreeKinds(Job& job);
  void Submit(const JobPtr& job);
  void QueryPhase(const JobPtr& job);
  void Cancel(const JobPtr& job);
  void RunAfter(std::int64_t delay_ms, std::function<void()> function);
  void Call(const JobPtr& job, const std::string& method, const std::string& body,
            std::function<void(const HttpResult&)> handler);
  std::uint64_t RandomBelow(std::uint64_t below);

  IoThread& io_;
  HttpClient& http_;
  const std::vector<Address> entries_;
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  const SoakTraffic traffic_;
  std::uint64_t next_job_ = 1;
  std::map<std::string, JobPtr> jobs_;
  std::vector<SoakBrokenCall> broken_calls_;
  /// Set to false by the destructor, so that pending callbacks return without using the object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace basilspring::standin

#endif  // BASILSPRING_STANDIN_SOAK_CALLERS_H_
