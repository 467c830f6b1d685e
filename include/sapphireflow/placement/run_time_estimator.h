// Part of placement: predicts run times from measurements per task kind and per worker. Before the
// first sample of a kind, it uses the declared run time.
#ifndef SAPPHIREFLOW_PLACEMENT_RUN_TIME_ESTIMATOR_H_
#define SAPPHIREFLOW_PLACEMENT_RUN_TIME_ESTIMATOR_H_

#include <string>
#include <unordered_map>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/model/job_spec.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Exponentially weighted statistics of run times. Not thread-safe: guarded by its shard's
/// lock.
///
/// Models a run time as the run time on an average worker times the worker's factor. For each kind,
/// an exponentially weighted regression in log space estimates how well declared run times predict
/// measured ones. If they are uncorrelated, the prediction is the kind's mean; if they are
/// accurate, the prediction follows the declared run time.
class RunTimeEstimator {
 public:
  /// @brief Adds the run time of a finished task to the statistics. Complexity: constant.
  void Learn(const Task& task, const Address& worker, Duration run);
  /// @brief Predicted mean run time on an average worker. Complexity: constant.
  Duration Mean(const Task& task) const;
  /// @brief Predicted run time on an average worker that most runs exceed; 0 without samples.
  Duration OptimisticEstimate(const Task& task) const;
  /// @brief Run time on the worker relative to an average worker; 1 until measured.
  double RunTimeFactor(const Address& worker) const;
  /// @brief Discards the statistics of a worker that has left.
  void Forget(const Address& worker) { m_factors.erase(worker); }

 private:
  // exponentially weighted moments; times in microseconds
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
