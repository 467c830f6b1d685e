// Part of experiment: simulated baseline scheduler that knows every run time and every free slot
// in advance and at no cost.
#ifndef SAPPHIREFLOW_EXPERIMENT_IDEAL_SCHEDULER_H_
#define SAPPHIREFLOW_EXPERIMENT_IDEAL_SCHEDULER_H_

#include <optional>
#include <vector>

#include "sapphireflow/experiment/workload.h"

namespace sapphireflow {

/// @brief Simulates the ideal scheduler.
///
/// It keeps one queue for all workers, knows the true run times and uses the fastest free slot.
/// The job with the least remaining work per weight goes first. A job that can no longer complete
/// by its deadline is dropped at once.
/// Complexity: O(t log(j + s)) for t tasks, j jobs and s slots.
/// @return the response time of each arrival; nullopt if it does not complete by its deadline.
std::vector<std::optional<Duration>> RunIdealScheduler(const Experiment& experiment,
                                                       const std::vector<Arrival>& arrivals);

/// @brief Critical path of a job on the fastest worker when idle: the run time of its longest task
/// there, without any waiting.
Duration CriticalPathTime(const Experiment& experiment, const Arrival& arrival);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXPERIMENT_IDEAL_SCHEDULER_H_
