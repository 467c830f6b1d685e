// Part of routing: the evacuations in force, and what is logged and shown of them.
#ifndef SAPPHIREFLOW_ROUTING_EVACUATION_KEEPER_H_
#define SAPPHIREFLOW_ROUTING_EVACUATION_KEEPER_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "sapphireflow/model/evacuated_zones.h"
#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/observe/gauge_value.h"

namespace sapphireflow {

/// @brief Number of runs in progress on workers of each evacuated zone.
using RunsByZone = std::map<std::string, std::size_t>;

/// @brief Holds which zones are evacuated. Thread-safe: one lock.
///
/// A process that begins to read the evacuations starts no task before it knows them, or knows that
/// the store does not answer. After that the last known evacuations stay in force.
class EvacuationKeeper {
 public:
  /// @brief The first read has begun: until its end all zones count as evacuated.
  void AwaitRead();
  /// @brief The store does not answer.
  void OnUnavailable();
  /// @return a line for each zone that has been evacuated or restored.
  std::vector<LogEvent> OnListed(const EvacuatedZones& zones);
  /// @return the zones on whose workers no task may start now.
  EvacuatedZones InForce() const;
  /// @return the zones that the store has listed; unlike `InForce`, never all.
  EvacuatedZones Listed() const;
  /// @return the gauges that have changed since the last call.
  std::vector<GaugeValue> ChangedGauges(const RunsByZone& runs);

 private:
  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  bool m_is_awaiting = false;
  EvacuatedZones m_listed;
  // the runs that are shown for each zone that is shown as evacuated
  RunsByZone m_shown;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_EVACUATION_KEEPER_H_
