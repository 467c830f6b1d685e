// Part of routing: changes of the evacuations in force.
#include "sapphireflow/routing/evacuation_keeper.h"

namespace sapphireflow {

void EvacuationKeeper::AwaitRead() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_is_awaiting = true;
}

void EvacuationKeeper::OnUnavailable() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_is_awaiting = false;
}

std::vector<LogEvent> EvacuationKeeper::OnListed(const EvacuatedZones& zones) {
  std::vector<LogEvent> lines;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const std::string& zone : zones.names()) {
    if (m_listed.Contains(zone)) continue;
    lines.emplace_back(LogLevel::kWarning, "zone_evacuated", LogEvent::Pairs{{"zone", zone}});
  }
  for (const std::string& zone : m_listed.names()) {
    if (zones.Contains(zone)) continue;
    lines.emplace_back(LogLevel::kInfo, "zone_restored", LogEvent::Pairs{{"zone", zone}});
  }
  m_is_awaiting = false;
  m_listed = zones;
  return lines;
}

EvacuatedZones EvacuationKeeper::InForce() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_is_awaiting ? EvacuatedZones::All() : m_listed;
}

EvacuatedZones EvacuationKeeper::Listed() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_listed;
}

std::vector<GaugeValue> EvacuationKeeper::ChangedGauges(const RunsByZone& runs) {
  std::vector<GaugeValue> gauges;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const std::string& zone : m_listed.names()) {
    const auto counted = runs.find(zone);
    const std::size_t count = counted == runs.end() ? 0 : counted->second;
    const auto [shown, is_new] = m_shown.emplace(zone, count);
    if (is_new) gauges.emplace_back("evacuated_zones", "zone", zone, 1);
    if (!is_new && shown->second == count) continue;
    shown->second = count;
    gauges.emplace_back("evacuated_runs", "zone", zone, static_cast<double>(count));
  }
  for (auto shown = m_shown.begin(); shown != m_shown.end();) {
    if (m_listed.Contains(shown->first)) {
      ++shown;
      continue;
    }
    gauges.emplace_back("evacuated_zones", "zone", shown->first, 0);
    gauges.emplace_back("evacuated_runs", "zone", shown->first, 0);
    shown = m_shown.erase(shown);
  }
  return gauges;
}

}  // namespace sapphireflow
