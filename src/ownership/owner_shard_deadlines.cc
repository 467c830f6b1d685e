// Part of ownership: runs for which the time left does not suffice.
#include <algorithm>

#include "sapphireflow/ownership/owner_shard.h"

namespace sapphireflow {

void OwnerShard::DeclineHopeless(Instant now, OwnerEffects& out) {
  const auto is_in_time = [now](const WaitingRun& waiting) { return CanEndInTime(waiting, now); };
  if (std::all_of(m_waiting.begin(), m_waiting.end(), is_in_time)) return;
  // a fast worker ends some of them in time
  double slowness = 1.0;
  for (const auto& [id, owned] : m_workers) slowness = std::min(slowness, m_speeds.Slowness(id));
  const auto first_removed = std::stable_partition(
      m_waiting.begin(), m_waiting.end(),
      [&](const WaitingRun& waiting) { return CanEndInTime(waiting, now, slowness); });
  for (auto waiting = first_removed; waiting != m_waiting.end(); ++waiting) {
    // the coordinator closes the job for the first reason, and checks it for the second
    Decline(*waiting, now >= waiting->useful_until() ? "too_late" : "cannot_end");
    out.emplace_back(CounterIncrement("late_runs_declined_total", "priority",
                                      std::to_string(waiting->priority())));
  }
  m_waiting.erase(first_removed, m_waiting.end());
}

void OwnerShard::UpdateNotice(OwnedWorker& owned, Instant now) {
  const auto& time_left = owned.session.listing().time_left();
  if (!time_left) {
    owned.leaves_at.reset();
    return;
  }
  // The entry may have been read a while ago, and is passed again when the members change: the
  // earliest time is the one that is nearest to the truth.
  owned.leaves_at = std::min(owned.leaves_at.value_or(Instant::max()), now + *time_left);
}

bool OwnerShard::StaysFor(const OwnedWorker& owned, Duration estimate, Instant now) const {
  if (!owned.leaves_at) return true;
  const double slowness = m_speeds.Slowness(owned.session.listing().id());
  return now + FromMillis(ToMillis(estimate) * slowness) <= *owned.leaves_at;
}

}  // namespace sapphireflow
