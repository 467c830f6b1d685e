// Part of routing: evacuations of zones, as the platform's store lists them.
#include "sapphireflow/routing/dispatch_node.h"

namespace sapphireflow {

void DispatchNode::HandleEvent(const EvacuationsAwaited& /*event*/, EventContext& ctx) {
  m_evacuation.AwaitRead();
  UseEvacuations(ctx);
}

void DispatchNode::HandleEvent(const EvacuationsListed& event, EventContext& ctx) {
  for (LogEvent& line : m_evacuation.OnListed(event.zones())) ctx.out.emplace_back(std::move(line));
  UseEvacuations(ctx);
}

void DispatchNode::HandleEvent(const EvacuationsUnavailable& /*event*/, EventContext& ctx) {
  m_evacuation.OnUnavailable();
  UseEvacuations(ctx);
}

void DispatchNode::UseEvacuations(EventContext& ctx) {
  // read under the lock, so that the newest evacuations are the last ones in force
  std::lock_guard<std::mutex> lock(m_assign_mutex);
  const EvacuatedZones in_force = m_evacuation.InForce();
  m_capacity.SetEvacuated(m_evacuation.Listed());
  for (std::size_t i = 0; i < m_owners.size(); ++i) {
    ApplyToOwnerShard(OwnerWork{i, in_force}, ctx);
  }
}

void DispatchNode::ShowEvacuatedRuns(EventContext& ctx) {
  RunsByZone runs;
  if (!m_evacuation.Listed().empty()) {
    for (const auto& shard : m_owners) {
      for (const auto& [zone, count] : shard->EvacuatedRuns()) runs[zone] += count;
    }
  }
  for (GaugeValue& gauge : m_evacuation.ChangedGauges(runs)) ctx.out.emplace_back(std::move(gauge));
}

}  // namespace sapphireflow
