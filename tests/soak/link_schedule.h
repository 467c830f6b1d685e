// Schedule of links between nodes that break and heal many times.
#ifndef SAPPHIREFLOW_TESTS_SOAK_LINK_SCHEDULE_H_
#define SAPPHIREFLOW_TESTS_SOAK_LINK_SCHEDULE_H_

#include <functional>
#include <string>
#include <vector>

#include "schedule.h"

namespace sapphireflow::soak {

/// @brief Unstable links of one node, between two, of a zone or of all nodes, in series and
/// overlapping. One seed in three has no other fault; in the others they overlap with those of
/// series.
class LinkSchedule : public Schedule {
 public:
  LinkSchedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, std::size_t zones,
               Duration length);
  bool direct_callers() const override { return true; }
  bool has_long_jobs() const override { return true; }

 private:
  LinkDirection RandomDirection();
  void AddUnstableLinks(std::size_t nodes, std::size_t zones, Duration at);
  // the links between a node and one other
  void AddUnstablePair(std::size_t nodes, Duration at);
  void AddOtherFaults(int begin_ms);
  // calls the steps at the begin of each break and at its end, for several seconds
  void AddBreaks(const std::string& text, Duration at,
                 const std::function<void(Fleet&, LinkFault)>& begin,
                 const std::function<void(Fleet&)>& end);
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_LINK_SCHEDULE_H_
