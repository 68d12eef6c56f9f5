#ifndef BASILSPRING_IDS_H_
#define BASILSPRING_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace basilspring {

/// A string that identifies one kind of object. Ids with different tags don't convert to each
/// other.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const StringId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::string value_;
};

/// An unsigned 64-bit number that identifies or orders one kind of object.
template <typename Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  constexpr auto operator<=>(const NumberId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::uint64_t value_ = 0;
};

/// Name of a process from its settings; unique among the processes that run at the same time.
using ProcessId = StringId<struct ProcessIdTag>;
/// Name of a worker; equal to the ProcessId of the agent that owns it.
using WorkerId = StringId<struct WorkerIdTag>;
using RackId = StringId<struct RackIdTag>;
using RegionId = StringId<struct RegionIdTag>;
using DataCentreId = StringId<struct DataCentreIdTag>;
/// Name of a cell, "<data centre>/<number>".
using CellId = StringId<struct CellIdTag>;
using WorkspaceId = StringId<struct WorkspaceIdTag>;
/// Id of a job, unique in the whole deployment.
using JobId = StringId<struct JobIdTag>;
/// A caller's own id of its request; unique within a workspace.
using RequestKey = StringId<struct RequestKeyTag>;
/// Id of an attempt, "<job>#<epoch>.<number>". An attempt is one try to run a job with all tasks of
/// its gang.
using AttemptId = StringId<struct AttemptIdTag>;

/// Fencing token of a cell's scheduler: the store revision at which its lease key was created. Zero
/// means that no scheduler is known.
using Epoch = NumberId<struct EpochTag>;
/// Modification revision of the configuration guard key. Zero means that no configuration is known.
using ConfigRevision = NumberId<struct ConfigRevisionTag>;
/// Random number that is drawn when a process starts and distinguishes restarts of the same
/// process.
using Incarnation = NumberId<struct IncarnationTag>;

}  // namespace basilspring

template <typename Tag>
struct std::hash<basilspring::StringId<Tag>> {
  std::size_t operator()(const basilspring::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<basilspring::NumberId<Tag>> {
  std::size_t operator()(const basilspring::NumberId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>()(id.value());
  }
};

#endif  // BASILSPRING_IDS_H_
