// Part of ownership: measured speeds.
#include "sapphireflow/ownership/speed_estimator.h"

#include <algorithm>
#include <cmath>

namespace sapphireflow {
namespace {

// share of a new sample once enough were seen; declared times are off by a half on average, so
// single samples tell little
constexpr double kSampleShare = 0.06;
constexpr double kLargestLogRatio = 3.0;

}  // namespace

void SpeedEstimator::Learn(const WorkerId& worker, Duration declared, Duration measured) {
  if (declared.count() <= 0 || measured.count() <= 0) return;
  const double ratio = std::log(ToMillis(measured) / ToMillis(declared));
  Sample& sample = m_log_ratios[worker];
  sample.weight += 1;
  // the first samples count towards a prior of one run at the declared speed
  const double share = std::max(kSampleShare, 1 / (sample.weight + 1));
  const double bounded = std::clamp(ratio, -kLargestLogRatio, kLargestLogRatio);
  sample.mean += share * (bounded - sample.mean);
}

double SpeedEstimator::Slowness(const WorkerId& worker) const {
  const auto found = m_log_ratios.find(worker);
  return found == m_log_ratios.end() ? 1.0 : std::exp(found->second.mean);
}

}  // namespace sapphireflow
