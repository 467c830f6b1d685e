// Part of ownership: estimates each worker's speed from measured run times.
#ifndef SAPPHIREFLOW_OWNERSHIP_SPEED_ESTIMATOR_H_
#define SAPPHIREFLOW_OWNERSHIP_SPEED_ESTIMATOR_H_

#include <unordered_map>

#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow {

/// @brief Exponential moving average of log(measured run time / declared run time), by worker.
/// Not thread-safe: guarded by the lock of its shard.
class SpeedEstimator {
 public:
  /// @brief Adds the run times of a finished run. Complexity: constant.
  void Learn(const WorkerId& worker, Duration declared, Duration measured);
  /// @return the ratio of expected to declared run time; 1 without samples.
  double Slowness(const WorkerId& worker) const;
  void Forget(const WorkerId& worker) { m_log_ratios.erase(worker); }

 private:
  struct LogRatioMean {
    double mean = 0;
    double sample_count = 0;
  };
  std::unordered_map<WorkerId, LogRatioMean> m_log_ratios;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_SPEED_ESTIMATOR_H_
