// Part of ownership: how slow each worker is, from measured run times.
#ifndef SAPPHIREFLOW_OWNERSHIP_SPEED_ESTIMATOR_H_
#define SAPPHIREFLOW_OWNERSHIP_SPEED_ESTIMATOR_H_

#include <unordered_map>

#include "sapphireflow/model/worker_state.h"

namespace sapphireflow {

/// @brief Moving mean of the logarithm of measured over declared run time, by worker.
/// Not thread-safe: its shard's lock guards it.
class SpeedEstimator {
 public:
  /// @brief Learns from one finished run. Complexity: constant.
  void Learn(const WorkerId& worker, Duration declared, Duration measured);
  /// @brief Expected run time over the declared one; 1 until measured.
  double Slowness(const WorkerId& worker) const;
  void Forget(const WorkerId& worker) { m_log_ratios.erase(worker); }

 private:
  struct Sample {
    double mean = 0;
    double weight = 0;
  };
  std::unordered_map<WorkerId, Sample> m_log_ratios;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_SPEED_ESTIMATOR_H_
