// Part of experiment: report on the results of a run as text, JSON and SVG.
#ifndef SAPPHIREFLOW_EXPERIMENT_REPORT_H_
#define SAPPHIREFLOW_EXPERIMENT_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/experiment/workload.h"
#include "sapphireflow/observe/distribution.h"

namespace sapphireflow {

/// @brief Outcome of one job as its caller observed it.
class ObservedOutcome : public Comparable<ObservedOutcome> {
 public:
  ObservedOutcome(std::string verdict, std::string error, Duration response)
      : m_verdict(std::move(verdict)), m_error(std::move(error)), m_response(response) {}
  /// @brief `complete`, `failed`, `refused`, `unknown`, or `lost` if there was no readable answer.
  const std::string& verdict() const { return m_verdict; }
  const std::string& error() const { return m_error; }
  const Duration& response() const { return m_response; }
  auto Fields() const { return std::tie(m_verdict, m_error, m_response); }

 private:
  std::string m_verdict;
  std::string m_error;
  Duration m_response;
};

/// @brief CPU time and resident memory of one entry VM's process; in a report, the CPU time used
/// during the run.
class ProcessUsage : public Comparable<ProcessUsage> {
 public:
  ProcessUsage(std::string name, double cpu_seconds, double memory_mb)
      : m_name(std::move(name)), m_cpu_seconds(cpu_seconds), m_memory_mb(memory_mb) {}
  const std::string& name() const { return m_name; }
  double cpu_seconds() const { return m_cpu_seconds; }
  double memory_mb() const { return m_memory_mb; }
  auto Fields() const { return std::tie(m_name, m_cpu_seconds, m_memory_mb); }

 private:
  std::string m_name;
  double m_cpu_seconds;
  double m_memory_mb;
};

/// @brief Statistics of the jobs of one kind, or of all jobs.
struct KindStatistics {
  std::uint64_t jobs = 0;
  std::uint64_t in_time = 0;
  double weight_offered = 0;
  double weight_in_time = 0;
  double ideal_weight_in_time = 0;
  // jobs complete in time: ratio of the response time to CriticalPathTime()
  Distribution over_ideal;
  // jobs complete in time that the ideal scheduler also completes: ratio of the response times
  Distribution over_scheduler;
  Distribution response_ms;
  Distribution scheduler_ms;
  std::map<std::string, std::uint64_t> errors;
};

/// @brief Results of one run, compared with the ideal scheduler. Jobs that arrive during the
/// warm-up are left out.
class Report {
 public:
  Report(const Experiment& experiment, std::string policy, std::uint64_t seed,
         const std::vector<Arrival>& arrivals,
         const std::vector<std::optional<ObservedOutcome>>& observed_jobs,
         std::map<std::string, double> counters, std::vector<ProcessUsage> costs);

  /// @brief The report as a human-readable table.
  std::string Text() const;
  /// @brief The report as JSON.
  std::string Json() const;
  /// @brief Cumulative distributions of the ratio of response time to critical path, as an SVG
  /// plot with one line per kind.
  std::string Svg() const;
  /// @brief Weight answered in time relative to the weight that the ideal scheduler answers in
  /// time.
  double WeightedShare() const;
  /// @brief Number of messages beyond one start and one answer per task, by cause.
  std::map<std::string, double> Wasted() const;

 private:
  std::string m_name;
  std::string m_policy;
  std::uint64_t m_seed;
  std::map<std::string, KindStatistics> m_kinds;
  // how far each counter of the entry VMs rose during the run
  std::map<std::string, double> m_counters;
  std::vector<ProcessUsage> m_costs;
  // shows recovery after a fault: start of each interval in ms, and weight answered in time of the
  // jobs that arrived in it, relative to the ideal scheduler's
  std::vector<std::pair<double, double>> m_timeline;
  Duration m_length{0};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXPERIMENT_REPORT_H_
