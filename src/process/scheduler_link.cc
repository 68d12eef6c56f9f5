#include "basilspring/process/scheduler_link.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace basilspring {
namespace {

// A region has about 8 entries. The limit bounds the list if an answer is faulty.
constexpr std::size_t kMaxEntries = 64;

}  // namespace

SchedulerLink::SchedulerLink(CellId cell, WorkerId worker, std::vector<Address> entries,
                             const Timings& timings)
    : cell_(std::move(cell)),
      worker_(std::move(worker)),
      configured_entries_(std::move(entries)),
      entries_(configured_entries_),
      timings_(timings) {}

bool SchedulerLink::AcceptEpoch(TimePoint now, const Address& from, Epoch epoch, AgentOutput& out) {
  if (epoch < epoch_ || epoch == Epoch()) return false;
  if (epoch > epoch_ || scheduler_ != from) SetScheduler(now, from, epoch, out);
  last_heard_ = now;
  silence_logged_ = false;
  election_ = Election::kNone;
  return true;
}

void SchedulerLink::SetScheduler(TimePoint now, const Address& holder, Epoch epoch,
                                 AgentOutput& out) {
  scheduler_ = holder;
  epoch_ = epoch;
  election_ = Election::kNone;
  next_heartbeat_ = now;
  out.log.push_back(
      {EventId::kSchedulerChanged, fmt::format("cell={} scheduler={} epoch={}", cell_.value(),
                                               holder.ToString(), epoch.value())});
}

void SchedulerLink::OnCellHolder(TimePoint now, const CellHolder& answer, AgentOutput& out) {
  if (answer.cell != cell_) return;
  UpdateEntries(answer.entries, out);
  if (!answer.holder.empty()) {
    // An entry's view can be stale, so an epoch lower than the highest one seen is ignored.
    if (answer.epoch < epoch_) return;
    election_ = Election::kNone;
    if (answer.epoch > epoch_ || scheduler_ != answer.holder) {
      // This does not update `last_heard_`: the search continues until the holder itself answers.
      SetScheduler(now, answer.holder, answer.epoch, out);
    }
    return;
  }
  const bool silent = !last_heard_ || now - *last_heard_ >= timings_.scheduler_silence_timeout;
  // Without the store no agent can become the scheduler, and the current holder continues.
  if (!silent || !answer.store_reachable || !may_contend_) return;
  epoch_ = std::max(epoch_, answer.epoch);
  if (election_ == Election::kNone) {
    BeginElection(now);
  } else if (election_ == Election::kConfirming) {
    election_ = Election::kNone;
    next_find_cell_ = now + timings_.find_cell_interval;
    out.contend = Contend{epoch_};
    out.log.push_back({EventId::kElectionEntered,
                       fmt::format("cell={} last_epoch={}", cell_.value(), epoch_.value())});
  }
}

void SchedulerLink::OnGoodbye(TimePoint now, const SchedulerGoodbye& goodbye) {
  if (goodbye.cell != cell_ || goodbye.epoch != epoch_) return;
  scheduler_ = Address();
  last_heard_.reset();
  if (may_contend_) {
    BeginElection(now);
  } else {
    next_find_cell_ = now;
  }
}

void SchedulerLink::Tick(TimePoint now, AgentOutput& out) {
  if (last_heard_ && now - *last_heard_ < timings_.scheduler_silence_timeout) return;
  if (!scheduler_.empty() && last_heard_ && !silence_logged_) {
    silence_logged_ = true;
    out.log.push_back(
        {EventId::kSchedulerSilent, fmt::format("cell={} scheduler={} epoch={}", cell_.value(),
                                                scheduler_.ToString(), epoch_.value())});
  }
  if (election_ == Election::kWaiting) {
    if (now < contend_time_) return;
    election_ = Election::kConfirming;
    next_find_cell_ = now;
  }
  if (now >= next_find_cell_) SendFindCell(now, out);
}

bool SchedulerLink::TakeDueHeartbeat(TimePoint now) {
  if (scheduler_.empty() || now < next_heartbeat_) return false;
  next_heartbeat_ = now + timings_.heartbeat_interval;
  return true;
}

void SchedulerLink::UpdateEntries(const std::vector<Address>& entries, AgentOutput& out) {
  if (entries.empty()) return;
  std::vector<Address> known_entries(
      entries.begin(),
      entries.begin() + static_cast<std::ptrdiff_t>(std::min(entries.size(), kMaxEntries)));
  // The configured entries stay at the end of the list, in case all received ones are replaced.
  for (const Address& entry : configured_entries_) {
    if (std::find(known_entries.begin(), known_entries.end(), entry) == known_entries.end()) {
      known_entries.push_back(entry);
    }
  }
  if (known_entries == entries_) return;
  entries_ = known_entries;
  out.entries = std::move(known_entries);
}

void SchedulerLink::SendFindCell(TimePoint now, AgentOutput& out) {
  next_find_cell_ = now + timings_.find_cell_interval;
  if (entries_.empty()) return;
  const Address& entry = entries_[next_entry_++ % entries_.size()];
  out.messages.push_back({entry, FindCell{cell_, worker_}, true});
}

void SchedulerLink::BeginElection(TimePoint now) {
  election_ = Election::kWaiting;
  contend_time_ = now + ElectionDelay();
}

Duration SchedulerLink::ElectionDelay() const {
  const std::uint64_t hash = XXH64(worker_.value().data(), worker_.value().size(), epoch_.value());
  const auto spread = static_cast<std::uint64_t>(timings_.max_election_delay.milliseconds());
  return Duration(static_cast<std::int64_t>(((hash >> 32) * spread) >> 32));
}

}  // namespace basilspring
