// Part of observe: counters and response-time distributions, rendered for scraping.
#ifndef SAPPHIREFLOW_OBSERVE_METRICS_H_
#define SAPPHIREFLOW_OBSERVE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Counters and histograms in shards with a lock each. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// @brief Adds to a counter, e.g. `jobs_total`, label `verdict`, value `complete`.
  void Count(const std::string& name, const std::string& label, const std::string& value,
             std::uint64_t by = 1);
  /// @brief Adds a response time to the distribution of a kind; beyond some dozens of kinds, of
  /// `other`.
  void Response(const std::string& kind, Duration response);
  /// @return all metrics in the text format that Prometheus reads. Complexity: linear.
  std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OBSERVE_METRICS_H_
