// Base of the schedules of faults, which are derived from a seed: the kinds of faults.
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

/// @brief The steps of a run. The same seed and fleet size give the same steps.
class Schedule {
 public:
  virtual ~Schedule() = default;
  Schedule(const Schedule&) = delete;
  Schedule& operator=(const Schedule&) = delete;
  const std::vector<Step>& steps() const { return m_steps; }
  /// @brief Whether all steps belong to planned stops, reloads and changes of the configuration.
  bool only_planned_stops() const { return m_only_planned_stops; }
  /// @brief Whether callers connect to the nodes without a proxy.
  virtual bool direct_callers() const = 0;
  /// @brief Whether some jobs have tasks of several seconds and long deadlines.
  virtual bool has_long_jobs() const { return false; }

 protected:
  /// @param length time within which faults begin; they may end a few seconds after it
  Schedule(std::uint32_t seed, std::size_t nodes, std::size_t workers, Duration length);
  void SetOnlyPlannedStops(bool only_planned_stops) { m_only_planned_stops = only_planned_stops; }
  void SortSteps();
  void AddStep(Duration at, std::string text, std::function<void(Fleet&)> action);
  void AddNodeFault();
  // signals a node's process and starts a new one after the pause
  void AddNodeStop(const std::string& text, std::size_t node, int signal, Duration at,
                   Duration pause);
  void AddStoreFault();
  void AddWorkerFault();
  void AddLinkFault();
  // one of the store, of a worker or of links
  void AddSingleFault();
  void AddConfigurationChanges();
  // signals to one node that follow each other closely
  void AddNodeSeries(std::size_t node, Duration at);
  void AddWorkerSeries(std::size_t worker, Duration at);
  void AddConfigurationSeries(Duration at);
  // adds a fault with a random begin and duration
  void AddTimedFault(const std::string& text, std::function<void(Fleet&)> begin,
                     std::function<void(Fleet&)> end);
  int RandomBelow(int below);
  Duration RandomMillis(int from, int below);
  Duration RandomTime();
  std::size_t RandomIndex(std::size_t below) {
    return static_cast<std::size_t>(RandomBelow(static_cast<int>(below)));
  }
  std::size_t RandomNode() { return RandomIndex(m_nodes); }
  std::size_t RandomWorker() { return RandomIndex(m_workers); }

 private:
  void AddSignal(std::size_t node, Duration at, int signal);
  // ends the process by the signal, and starts the next one as soon as the platform would
  void AddEnd(std::size_t node, Duration at, int signal);
  void AddFreeze(std::size_t node, Duration at);
  // a signal that may come at any time, also while the node stops
  void AddRandomSignal(std::size_t node, Duration at);

  std::mt19937 m_random;
  const std::size_t m_nodes;
  const std::size_t m_workers;
  const Duration m_length;
  bool m_only_planned_stops = false;
  // when the last step of the series that is being added is due
  Duration m_series_end{};
  std::vector<Step> m_steps;
};

/// @brief Name of a step, with the number of its node or worker, counting from 1.
std::string WithNumber(const std::string& text, std::size_t index);

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_SCHEDULE_H_
