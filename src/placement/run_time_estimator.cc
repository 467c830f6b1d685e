// Part of placement: implementation of the run time estimator.
#include "sapphireflow/placement/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace sapphireflow {
namespace {

constexpr double kKindGain = 0.02;
constexpr double kWorkerGain = 0.05;
constexpr double kMinWorkerFactor = 0.1;
constexpr double kMaxWorkerFactor = 20.0;
// A run time this many standard deviations below the mean, in log space, is exceeded by most runs.
constexpr double kOptimisticDeviations = 1.3;
// Declared run times are ignored until this many samples, and if they vary less than this variance.
constexpr std::uint64_t kMinSamples = 30;
constexpr double kMinVariance = 1e-4;
constexpr Duration kDefaultRun = std::chrono::milliseconds(200);

// the plain mean for the first samples, then an exponentially weighted one
double GainFor(std::uint64_t count, double gain) {
  return std::max(gain, 1.0 / static_cast<double>(count + 1));
}

double LogDeclared(const Task& task, double fallback_log) {
  const auto declared = task.declared_run().count();
  return declared > 0 ? std::log(static_cast<double>(declared)) : fallback_log;
}

}  // namespace

void RunTimeEstimator::Learn(const Task& task, const Address& worker, Duration run) {
  const double factor = RunTimeFactor(worker);
  const double run_us = static_cast<double>(std::max<Duration::rep>(run.count(), 1));
  const double normalized_us = run_us / factor;
  KindSample& sample = m_kinds[task.kind()];
  const double gain = GainFor(sample.count, kKindGain);
  const double error = std::log(normalized_us) - sample.log_mean;
  const double declared_error =
      LogDeclared(task, sample.declared_log_mean) - sample.declared_log_mean;
  if (sample.count > 0) {
    sample.log_variance += gain * (error * error - sample.log_variance);
    sample.declared_log_variance +=
        gain * (declared_error * declared_error - sample.declared_log_variance);
    sample.covariance += gain * (error * declared_error - sample.covariance);
  }
  sample.mean += gain * (normalized_us - sample.mean);
  sample.log_mean += gain * error;
  sample.declared_log_mean += gain * declared_error;
  ++sample.count;

  WorkerSample& worker_sample = m_factors[worker];
  // relative to the kind's mean: relative to the prediction for this task, an error of the
  // prediction would feed back into the factor
  const double observed = run_us / sample.mean;
  worker_sample.factor +=
      GainFor(worker_sample.count + 1, kWorkerGain) * (observed - worker_sample.factor);
  worker_sample.factor = std::clamp(worker_sample.factor, kMinWorkerFactor, kMaxWorkerFactor);
  ++worker_sample.count;
}

double RunTimeEstimator::Slope(const KindSample& sample) {
  if (sample.count < kMinSamples || sample.declared_log_variance < kMinVariance) return 0;
  return std::clamp(sample.covariance / sample.declared_log_variance, 0.0, 1.0);
}

Duration RunTimeEstimator::Mean(const Task& task) const {
  const auto found = m_kinds.find(task.kind());
  if (found == m_kinds.end()) {
    return task.declared_run().count() > 0 ? task.declared_run() : kDefaultRun;
  }
  const KindSample& sample = found->second;
  const double slope = Slope(sample);
  if (slope <= 0) return Duration(static_cast<Duration::rep>(sample.mean));
  const double declared_effect =
      slope * (LogDeclared(task, sample.declared_log_mean) - sample.declared_log_mean);
  // The mean of a log-normal distribution exceeds exp(log mean) because of its variance. The part
  // of the variance that the declared run times explain must not count here.
  const double explained = slope * slope * sample.declared_log_variance / 2;
  return Duration(static_cast<Duration::rep>(sample.mean * std::exp(declared_effect - explained)));
}

Duration RunTimeEstimator::OptimisticEstimate(const Task& task) const {
  const auto found = m_kinds.find(task.kind());
  if (found == m_kinds.end()) return Duration(0);
  const KindSample& sample = found->second;
  const double slope = Slope(sample);
  const double unexplained =
      std::max(0.0, sample.log_variance - slope * slope * sample.declared_log_variance);
  const auto mean = static_cast<double>(Mean(task).count());
  return Duration(
      static_cast<Duration::rep>(mean * std::exp(-kOptimisticDeviations * std::sqrt(unexplained))));
}

double RunTimeEstimator::RunTimeFactor(const Address& worker) const {
  const auto found = m_factors.find(worker);
  return found == m_factors.end() ? 1.0 : found->second.factor;
}

}  // namespace sapphireflow
