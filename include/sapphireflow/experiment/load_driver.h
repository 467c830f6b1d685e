// Part of experiment: open-loop load generator that submits arrivals at their scheduled times and
// records the outcomes that callers observe.
#ifndef SAPPHIREFLOW_EXPERIMENT_LOAD_DRIVER_H_
#define SAPPHIREFLOW_EXPERIMENT_LOAD_DRIVER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphireflow/experiment/report.h"
#include "sapphireflow/experiment/workload.h"
#include "sapphireflow/model/error.h"

namespace sapphireflow {

/// @brief Generates load on running entry VMs. Open loop: late replies do not delay later
/// submissions.
class LoadDriver {
 public:
  /// @param threads number of threads for HTTP calls
  LoadDriver(const Experiment& experiment, std::string operator_key, int threads);
  ~LoadDriver();
  LoadDriver(const LoadDriver&) = delete;
  LoadDriver& operator=(const LoadDriver&) = delete;

  /// @brief Submits all arrivals and waits until each has an answer or has timed out.
  /// @return the observed outcome of each arrival, in the order of the arrivals; `lost` where no
  /// readable answer came in time.
  std::vector<std::optional<ObservedOutcome>> Run(const std::vector<Arrival>& arrivals,
                                                  std::uint64_t seed);
  /// @brief Reads the counters of all entry VMs and adds them up by name.
  std::map<std::string, double> ReadCounters();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// @brief Reads the CPU time and the resident memory of a process from /proc.
/// @return nullopt if the process does not exist or its entry cannot be read.
std::optional<ProcessUsage> ReadProcessUsage(const std::string& name, int pid);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXPERIMENT_LOAD_DRIVER_H_
