// Part of placement: measured run times by kind and worker; declared ones only until the first
// sample.
#ifndef SAPPHIREFLOW_PLACEMENT_RUN_TIME_ESTIMATOR_H_
#define SAPPHIREFLOW_PLACEMENT_RUN_TIME_ESTIMATOR_H_

#include <string>
#include <unordered_map>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/job.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Moving statistics of run times. Not thread-safe: its shard's lock guards it.
///
/// A run time is modelled as one on an average worker times the worker's factor. For each kind a
/// moving regression of logarithms learns how much the declared run times are worth: if they tell
/// nothing, the kind's mean is predicted; if they are right, they are.
class RunTimeEstimator {
 public:
  /// @brief Learns from one finished task. Complexity: constant.
  void Learn(const Task& task, const Address& worker, Duration run);
  /// @brief Predicted run time on an average worker. Complexity: constant.
  Duration Mean(const Task& task) const;
  /// @brief A run time that most runs like this exceed, on an average worker.
  Duration OptimisticEstimate(const Task& task) const;
  /// @brief Run time of the worker over that of an average one; 1 until measured.
  double RunTimeFactor(const Address& worker) const;
  /// @brief Drops what was learnt of a worker that left.
  void Forget(const Address& worker) { m_factors.erase(worker); }

 private:
  // moving moments; times in microseconds
  struct KindSample {
    std::uint64_t count = 0;
    double mean = 0;
    double log_mean = 0;
    double log_variance = 0;
    double declared_log_mean = 0;
    double declared_log_variance = 0;
    double covariance = 0;
  };
  struct WorkerSample {
    double factor = 1;
    std::uint64_t count = 0;
  };
  static double Slope(const KindSample& sample);

  std::unordered_map<std::string, KindSample> m_kinds;
  // invariant: every factor lies between kMinWorkerFactor and kMaxWorkerFactor
  std::unordered_map<Address, WorkerSample> m_factors;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_PLACEMENT_RUN_TIME_ESTIMATOR_H_
