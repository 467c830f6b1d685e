// Part of transport: measurements and reports of the overload control.
#include "sapphireflow/transport/overload_monitor.h"

#include <algorithm>
#include <ctime>
#include <string>
#include <utility>

namespace sapphireflow {
namespace {

// The interval in which the controller adjusts the share.
constexpr Duration kCpuInterval = std::chrono::milliseconds(100);
constexpr Duration kMetricsInterval = std::chrono::milliseconds(500);
constexpr Duration kLogInterval = std::chrono::seconds(1);
constexpr double kMilliCoresPerCore = 1000.0;

Duration ProcessCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

OverloadMonitor::OverloadMonitor(std::unique_ptr<OverloadController> controller,
                                 std::uint32_t milli_cores, const Clock& clock, Metrics& metrics,
                                 EventLog& log)
    : m_controller(std::move(controller)),
      m_cores(milli_cores / kMilliCoresPerCore),
      m_clock(clock),
      m_metrics(metrics),
      m_log(log) {}

OnLoopDelay OverloadMonitor::Listener(EventLoop loop) {
  return [this, loop](Duration delay, Duration next_in) {
    const Instant now = m_clock.Now();
    const Instant next_due = next_in > Duration::zero() ? now + next_in : kNever;
    m_controller->OnLoopDelay(LoopDelaySample(loop, delay, now, next_due));
    std::lock_guard<std::mutex> lock(m_recent_mutex);
    m_recent_delay.Add(delay, now);
  };
}

OverloadVerdict OverloadMonitor::Decide(JobKey key, std::uint32_t priority, Duration time_left) {
  return m_controller->Decide(ArrivingJob(key, priority, time_left, m_clock.Now()));
}

Duration OverloadMonitor::LongestRecentDelay() {
  const Instant now = m_clock.Now();
  std::lock_guard<std::mutex> lock(m_recent_mutex);
  return m_recent_delay.Longest(now);
}

void OverloadMonitor::CountRefusal(std::uint32_t priority) {
  m_metrics.IncrementCounter("jobs_shed_total", "priority", std::to_string(priority));
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_refused;
}

void OverloadMonitor::OnTick() {
  const Instant now = m_clock.Now();
  std::lock_guard<std::mutex> lock(m_mutex);
  MeasureCpu(now);
  Report(now);
}

void OverloadMonitor::MeasureCpu(Instant now) {
  const Duration passed = now - m_cpu_measured_at;
  if (passed < kCpuInterval || m_cores <= 0) return;
  const Duration used = ProcessCpuTime();
  if (m_cpu_measured_at != Instant{}) {
    m_controller->OnCpuUse(
        CpuUseSample(ToMillis(used - m_cpu_used) / (ToMillis(passed) * m_cores), now));
  }
  m_cpu_measured_at = now;
  m_cpu_used = used;
}

void OverloadMonitor::Report(Instant now) {
  const OverloadState state = m_controller->State(now);
  if (now - m_metrics_set_at >= kMetricsInterval) {
    m_metrics_set_at = now;
    for (std::size_t i = 0; i < kEventLoops; ++i) {
      m_metrics.SetGauge("loop_delay_ms", "loop", EventLoopName(static_cast<EventLoop>(i)),
                         ToMillis(state.delays()[i]));
    }
    m_metrics.SetGauge("admitted_share", "priority", "all", state.admitted_share());
    m_metrics.SetGauge("read_lag_ms", "", "", ToMillis(LongestRecentDelay()));
  }
  m_least_share = std::min(m_least_share, state.admitted_share());
  m_longest_delay = std::max(m_longest_delay, state.worst_delay());
  const bool changed = state.overloaded() != m_overloaded;
  if (now - m_logged_at < kLogInterval || (!changed && m_refused == 0)) return;
  const char* name = "jobs_shed";
  if (changed) name = state.overloaded() ? "overload_began" : "overload_ended";
  m_log.Write(LogEvent(state.overloaded() ? LogLevel::kWarning : LogLevel::kInfo, name,
                       {{"loop", EventLoopName(state.worst())},
                        {"delay_ms", std::to_string(ToMillis(state.worst_delay()))},
                        {"longest_delay_ms", std::to_string(ToMillis(m_longest_delay))},
                        {"admitted_share", std::to_string(state.admitted_share())},
                        {"least_share", std::to_string(m_least_share)},
                        {"refused", std::to_string(m_refused)}}));
  m_logged_at = now;
  m_overloaded = state.overloaded();
  m_least_share = state.admitted_share();
  m_longest_delay = Duration::zero();
  m_refused = 0;
}

}  // namespace sapphireflow
