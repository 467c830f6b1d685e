// Schedule of links between nodes that break and heal many times.
#ifndef SAPPHIREFLOW_TESTS_SOAK_LINK_SCHEDULE_H_
#define SAPPHIREFLOW_TESTS_SOAK_LINK_SCHEDULE_H_

#include <string>
#include <vector>

#include "schedule.h"

namespace sapphireflow::soak {

/// @brief Unstable links of one node, of a zone or of all nodes, in series and overlapping. One
/// seed in three has no other fault; in the others they overlap with those of series.
class LinkSchedule : public Schedule {
 public:
  LinkSchedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, std::size_t zones,
               Duration length);
  bool direct_callers() const override { return true; }
  bool has_long_jobs() const override { return true; }

 private:
  void AddUnstableLinks(std::size_t nodes, std::size_t zones, Duration at);
  void AddOtherFaults(int begin_ms);
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_LINK_SCHEDULE_H_
