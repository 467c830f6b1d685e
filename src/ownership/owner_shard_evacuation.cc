// Part of ownership: what an owner does with workers of evacuated zones and the runs for them.
#include <algorithm>

#include "sapphireflow/ownership/owner_shard.h"

namespace sapphireflow {

void OwnerShard::On(const EvacuatedZones& event, Instant /*now*/, OwnerEffects& /*out*/) {
  m_evacuated = event;
  MarkEvacuated();
}

void OwnerShard::MarkEvacuated() {
  for (auto& [id, owned] : m_workers) {
    owned.session.SetEvacuated(m_evacuated.Contains(owned.session.listing().zone()));
  }
}

void OwnerShard::DeclineEvacuated() {
  if (m_evacuated.empty() || m_waiting.empty()) return;
  const auto suits = [](const Session& session, const WaitingRun& waiting) {
    const std::string& label = waiting.order().label();
    return session.listing().service() == waiting.service() &&
           session.listing().capacity().Covers(waiting.order().needs()) &&
           (label.empty() || session.listing().HasLabel(label));
  };
  const auto first_removed =
      std::stable_partition(m_waiting.begin(), m_waiting.end(), [&](const WaitingRun& waiting) {
        bool has_evacuated = false;
        for (const auto& [id, owned] : m_workers) {
          if (!suits(owned.session, waiting)) continue;
          if (!owned.session.evacuated()) return true;
          has_evacuated = true;
        }
        // another run of the task may still be on a worker here
        return !has_evacuated || HasRunOf(waiting.order().run().task());
      });
  for (auto waiting = first_removed; waiting != m_waiting.end(); ++waiting) {
    Decline(*waiting, "zone_evacuated");
  }
  m_waiting.erase(first_removed, m_waiting.end());
}

std::map<std::string, std::size_t> OwnerShard::EvacuatedRuns() const {
  std::map<std::string, std::size_t> runs;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [id, owned] : m_workers) {
    if (owned.session.evacuated()) runs[owned.session.listing().zone()] += owned.session.runs();
  }
  return runs;
}

}  // namespace sapphireflow
