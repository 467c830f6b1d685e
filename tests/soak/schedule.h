// Random schedule of faults, which may overlap, derived from a seed.
#ifndef SAPPHIREFLOW_TESTS_SOAK_SCHEDULE_H_
#define SAPPHIREFLOW_TESTS_SOAK_SCHEDULE_H_

#include <random>
#include <string>
#include <vector>

#include "fleet.h"

namespace sapphireflow::soak {

/// @brief An action on the fleet at a time relative to the start of the schedule.
struct Step {
  Duration at;
  std::string text;
  std::function<void(Fleet&)> action;
};

/// @brief Generates the steps of a run. The same seed and fleet size give the same steps.
class Schedule {
 public:
  /// @param length time within which faults begin; they may end a few seconds after it
  Schedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, Duration length);
  const std::vector<Step>& steps() const { return m_steps; }
  /// @brief Whether all steps belong to planned stops.
  bool only_planned_stops() const { return m_only_planned_stops; }

 private:
  void AddNodeFault();
  // signals a node's process and starts a new one after the pause
  void AddNodeStop(const std::string& text, std::size_t node, int signal, Duration at,
                   Duration pause);
  void AddStoreFault();
  void AddWorkerFault();
  void AddLinkFault();
  void AddConfigurationChanges();
  // adds a fault with a random begin and duration
  void AddTimedFault(const std::string& text, std::function<void(Fleet&)> begin,
                     std::function<void(Fleet&)> end);
  int RandomBelow(int below);
  Duration RandomTime();

  std::mt19937 m_random;
  const std::size_t m_nodes;
  const std::size_t m_workers;
  const Duration m_length;
  bool m_only_planned_stops = false;
  std::vector<Step> m_steps;
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_SCHEDULE_H_
