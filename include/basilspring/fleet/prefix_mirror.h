#ifndef BASILSPRING_FLEET_PREFIX_MIRROR_H_
#define BASILSPRING_FLEET_PREFIX_MIRROR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspring/fleet/store.h"

namespace basilspring::fleet {

/// The items of a watched prefix as of a revision of the store, from which a process answers the
/// reads of peers that have no way to the store.
class PrefixMirror {
 public:
  explicit PrefixMirror(std::string prefix) : prefix_(std::move(prefix)) {}

  /// Takes over what a PrefixWatch on the prefix has read (see PrefixWatch::Handler). `revision` is
  /// the one up to which changes are known.
  void Update(const std::vector<StoreItem>& items, bool snapshot, std::int64_t revision);
  /// Whether the call is a range or watch on the whole prefix.
  bool Covers(const StoreCall& call) const;
  /// Answers a call that is covered, as the store would have at `revision`. Returns std::nullopt
  /// for a watch without a newer change.
  std::optional<StoreReply> Answer(const StoreCall& call, std::int64_t revision) const;

 private:
  std::string prefix_;
  /// By key; removed items stay, so that watches learn of their removal.
  std::map<std::string, StoreItem> items_;
  /// Removals up to this revision are not known.
  std::int64_t snapshot_revision_ = 0;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_PREFIX_MIRROR_H_
