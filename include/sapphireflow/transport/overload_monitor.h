// Part of transport: connects the overload control of a process with its loops, clock, log and
// metrics.
#ifndef SAPPHIREFLOW_TRANSPORT_OVERLOAD_MONITOR_H_
#define SAPPHIREFLOW_TRANSPORT_OVERLOAD_MONITOR_H_

#include <cstdint>
#include <memory>
#include <mutex>

#include "sapphireflow/admission/overload_controller.h"
#include "sapphireflow/observe/event_log.h"
#include "sapphireflow/observe/metrics.h"
#include "sapphireflow/transport/clock.h"
#include "sapphireflow/transport/loop_delay.h"
#include "sapphireflow/transport/recent_delay.h"

namespace sapphireflow {

/// @brief Passes measurements to the overload controller and reports what it does. Thread-safe.
class OverloadMonitor {
 public:
  /// @param milli_cores CPU share of the process
  /// All references must outlive the monitor.
  OverloadMonitor(std::unique_ptr<OverloadController> controller, std::uint32_t milli_cores,
                  const Clock& clock, Metrics& metrics, EventLog& log);

  /// @return a function that passes the delays of a loop on; valid as long as the monitor.
  OnLoopDelay Listener(EventLoop loop);
  /// @brief Decides on a job that arrives now.
  /// @param time_left time until its answer has no value for the caller
  OverloadVerdict Decide(JobKey key, std::uint32_t priority, Duration time_left);
  /// @brief How late a loop was within the last second.
  Duration LongestRecentDelay();
  /// @brief Counts a job that was refused by such a decision.
  void CountRefusal(std::uint32_t priority);
  /// @brief Called regularly, at least several times a second: measures the CPU time, writes
  /// changes to the log and sets the metrics.
  void OnTick();

 private:
  void MeasureCpu(Instant now);
  void Report(Instant now);

  const std::unique_ptr<OverloadController> m_controller;
  const double m_cores;
  const Clock& m_clock;
  Metrics& m_metrics;
  EventLog& m_log;

  std::mutex m_recent_mutex;
  // guarded by m_recent_mutex
  RecentDelay m_recent_delay;
  std::mutex m_mutex;
  // all below guarded by m_mutex
  Instant m_cpu_measured_at{};
  Duration m_cpu_used{};
  Instant m_metrics_set_at{};
  Instant m_logged_at{};
  // state that was last logged
  bool m_overloaded = false;
  double m_least_share = 1;
  Duration m_longest_delay{};
  // refusals since the last line
  std::uint64_t m_refused = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_OVERLOAD_MONITOR_H_
