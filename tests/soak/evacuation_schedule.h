// Schedule of zones that are evacuated and restored.
#ifndef SAPPHIREFLOW_TESTS_SOAK_EVACUATION_SCHEDULE_H_
#define SAPPHIREFLOW_TESTS_SOAK_EVACUATION_SCHEDULE_H_

#include <vector>

#include "schedule.h"

namespace sapphireflow::soak {

/// @brief One zone, then two and a name that no zone has, then all zones are evacuated for some
/// seconds each. Meanwhile the configuration changes, and a node is killed and started again.
class EvacuationSchedule : public Schedule {
 public:
  EvacuationSchedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, std::size_t zones,
                     Duration length);
  bool direct_callers() const override { return true; }

 private:
  // @param zones indexes of the zones
  void AddEvacuation(const std::vector<std::uint32_t>& zones, Duration at);
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_EVACUATION_SCHEDULE_H_
