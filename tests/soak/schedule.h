// Random faults from a seed, in series and overlapping.
#ifndef SAPPHIREFLOW_TESTS_SOAK_SCHEDULE_H_
#define SAPPHIREFLOW_TESTS_SOAK_SCHEDULE_H_

#include <random>
#include <string>
#include <vector>

#include "fleet.h"

namespace sapphireflow::soak {

/// @brief One change of the world at a time of the run.
struct Step {
  Duration at;
  std::string text;
  std::function<void(Fleet&)> action;
};

/// @brief Makes the steps of a seed: the same for the same seed and size.
class Schedule {
 public:
  /// @param length of the time with faults; they end a little later at the latest
  Schedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, Duration length);
  const std::vector<Step>& steps() const { return m_steps; }
  /// @brief Whether the steps are planned stops and nothing else.
  bool only_planned_stops() const { return m_only_planned_stops; }

 private:
  void AddNodeFault();
  // the end of a node's process, and its start again after a pause
  void AddNodeStop(const std::string& text, std::size_t node, int signal, Duration at,
                   Duration pause);
  void AddStoreFault();
  void AddWorkerFault();
  void AddLinkFault();
  void AddConfigurationChanges();
  // a fault that begins and ends
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
