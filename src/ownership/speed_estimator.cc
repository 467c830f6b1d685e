// Part of ownership: implementation of the speed estimate.
#include "sapphireflow/ownership/speed_estimator.h"

#include <algorithm>
#include <cmath>

namespace sapphireflow {
namespace {

// Weight of a new sample once there are enough of them. Low, because declared times are off by
// 50 % on average, so that a single sample says little.
constexpr double kSmoothingFactor = 0.06;
constexpr double kMaxAbsLogRatio = 3.0;

}  // namespace

void SpeedEstimator::Learn(const WorkerId& worker, Duration declared, Duration measured) {
  if (declared.count() <= 0 || measured.count() <= 0) return;
  const double ratio = std::log(ToMillis(measured) / ToMillis(declared));
  LogRatioMean& log_ratio_mean = m_log_ratios[worker];
  log_ratio_mean.sample_count += 1;
  // the first samples are averaged with a prior of one run that took its declared time
  const double smoothing = std::max(kSmoothingFactor, 1 / (log_ratio_mean.sample_count + 1));
  const double bounded = std::clamp(ratio, -kMaxAbsLogRatio, kMaxAbsLogRatio);
  log_ratio_mean.mean += smoothing * (bounded - log_ratio_mean.mean);
}

double SpeedEstimator::Slowness(const WorkerId& worker) const {
  const auto found = m_log_ratios.find(worker);
  return found == m_log_ratios.end() ? 1.0 : std::exp(found->second.mean);
}

}  // namespace sapphireflow
