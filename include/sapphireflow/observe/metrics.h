// Part of observe: counters, gauges and response time distributions in the Prometheus text format.
#ifndef SAPPHIREFLOW_OBSERVE_METRICS_H_
#define SAPPHIREFLOW_OBSERVE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Counters and response time distributions, sharded with one lock per shard, and gauges.
/// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// @brief Increments a counter, e.g. `jobs_total` with label `verdict` and value `complete`.
  void IncrementCounter(const std::string& name, const std::string& label, const std::string& value,
                        std::uint64_t by = 1);
  /// @brief Sets a value that may rise and fall, e.g. `admitted_share`.
  void SetGauge(const std::string& name, const std::string& label, const std::string& value,
                double number);
  /// @brief Records a response time of a kind. The number of kinds is bounded; kinds beyond the
  /// limit share the distribution `other`.
  void RecordResponse(const std::string& kind, Duration response);
  /// @return all metrics in the Prometheus text format. Complexity: linear.
  std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_METRICS_H_
