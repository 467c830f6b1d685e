// Schedule of faults of all kinds at random times.
#ifndef SAPPHIREFLOW_TESTS_SOAK_MIXED_SCHEDULE_H_
#define SAPPHIREFLOW_TESTS_SOAK_MIXED_SCHEDULE_H_

#include "schedule.h"

namespace sapphireflow::soak {

/// @brief Four to eleven independent faults, or a single planned stop.
class MixedSchedule : public Schedule {
 public:
  MixedSchedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, Duration length);
  // a proxy would accept connections for a process that has ended
  bool direct_callers() const override { return only_planned_stops(); }
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_MIXED_SCHEDULE_H_
