// Part of admission: decides which new jobs a VM refuses while it is short of processor time.
#ifndef SAPPHIREFLOW_ADMISSION_OVERLOAD_CONTROLLER_H_
#define SAPPHIREFLOW_ADMISSION_OVERLOAD_CONTROLLER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/job_order.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief The event loops of a process, each with threads of its own.
enum class EventLoop : std::uint8_t { kCallers, kPeers, kCalls, kTimers };
inline constexpr std::size_t kEventLoops = 4;

/// @return the name of the loop in metrics and logs.
const char* EventLoopName(EventLoop loop);

/// @brief How late a loop handled an event that was due.
class LoopDelaySample : public Comparable<LoopDelaySample> {
 public:
  LoopDelaySample(EventLoop loop, Duration delay, Instant at, Instant next_due = kNever)
      : m_loop(loop), m_delay(delay), m_at(at), m_next_due(next_due) {}
  EventLoop loop() const { return m_loop; }
  Duration delay() const { return m_delay; }
  /// @brief When the event was handled.
  Instant at() const { return m_at; }
  /// @brief When the event of the next sample is due; `kNever` if there may be none.
  Instant next_due() const { return m_next_due; }
  auto Fields() const { return std::tie(m_loop, m_delay, m_at, m_next_due); }

 private:
  EventLoop m_loop;
  Duration m_delay;
  Instant m_at;
  Instant m_next_due;
};

/// @brief CPU time that the process used since the previous sample, as a part of its share.
class CpuUseSample : public Comparable<CpuUseSample> {
 public:
  CpuUseSample(double share_used, Instant at) : m_share_used(share_used), m_at(at) {}
  /// @brief 1 if the process has used all of its share.
  double share_used() const { return m_share_used; }
  Instant at() const { return m_at; }
  auto Fields() const { return std::tie(m_share_used, m_at); }

 private:
  double m_share_used;
  Instant m_at;
};

/// @brief A job that a caller submits, as far as it is known before its body is decoded.
class ArrivingJob : public Comparable<ArrivingJob> {
 public:
  ArrivingJob(JobKey key, std::uint32_t priority, Duration time_left, Instant at)
      : m_key(key), m_priority(priority), m_time_left(time_left), m_at(at) {}
  JobKey key() const { return m_key; }
  /// @brief 0 is the highest priority.
  std::uint32_t priority() const { return m_priority; }
  /// @brief Time until the answer has no value for the caller.
  Duration time_left() const { return m_time_left; }
  Instant at() const { return m_at; }
  auto Fields() const { return std::tie(m_key, m_priority, m_time_left, m_at); }

 private:
  JobKey m_key;
  std::uint32_t m_priority;
  Duration m_time_left;
  Instant m_at;
};

/// @brief Whether a job is admitted, and when its caller may come back if it is not.
class OverloadVerdict : public Comparable<OverloadVerdict> {
 public:
  static OverloadVerdict Admit() { return OverloadVerdict(true, std::chrono::seconds(0)); }
  static OverloadVerdict Refuse(std::chrono::seconds retry_after) {
    return OverloadVerdict(false, retry_after);
  }
  bool admitted() const { return m_admitted; }
  /// @brief At least 1 s if the job is refused.
  std::chrono::seconds retry_after() const { return m_retry_after; }
  auto Fields() const { return std::tie(m_admitted, m_retry_after); }

 private:
  OverloadVerdict(bool admitted, std::chrono::seconds retry_after)
      : m_admitted(admitted), m_retry_after(retry_after) {}
  bool m_admitted;
  std::chrono::seconds m_retry_after;
};

/// @brief The state of a controller, for logs and metrics.
class OverloadState : public Comparable<OverloadState> {
 public:
  using Delays = std::array<Duration, kEventLoops>;
  OverloadState(bool overloaded, double admitted_share, const Delays& delays, EventLoop worst)
      : m_overloaded(overloaded),
        m_admitted_share(admitted_share),
        m_delays(delays),
        m_worst(worst) {}
  /// @brief Whether jobs may be refused.
  bool overloaded() const { return m_overloaded; }
  double admitted_share() const { return m_admitted_share; }
  /// @brief Standing delay of each loop, indexed by `EventLoop`.
  const Delays& delays() const { return m_delays; }
  /// @brief The loop with the longest delay.
  EventLoop worst() const { return m_worst; }
  Duration worst_delay() const { return m_delays[static_cast<std::size_t>(m_worst)]; }
  auto Fields() const { return std::tie(m_overloaded, m_admitted_share, m_delays, m_worst); }

 private:
  bool m_overloaded;
  double m_admitted_share;
  Delays m_delays;
  EventLoop m_worst;
};

/// @brief Admits or refuses new jobs by the delay of the event loops. Thread-safe.
class OverloadController {
 public:
  virtual ~OverloadController() = default;
  virtual void OnLoopDelay(const LoopDelaySample& sample) = 0;
  virtual void OnCpuUse(const CpuUseSample& sample) = 0;
  /// @brief Decides on one job. Complexity: constant.
  virtual OverloadVerdict Decide(const ArrivingJob& job) = 0;
  virtual OverloadState State(Instant now) const = 0;
};

namespace detail {

/// @brief The standing delay of one loop: the smallest one of an interval, because a queue that
/// empties within the interval is a burst and no overload (as in CoDel).
class StandingDelay {
 public:
  void Add(const LoopDelaySample& sample);
  /// @brief Zero if the loop has given no sample for some time. A sample that is overdue counts if
  /// the one before was late.
  Duration At(Instant now) const;
  /// @brief When the newest interval ended; now, if a sample is overdue for longer than that.
  Instant MeasuredAt(Instant now) const;

 private:
  // for how long the next sample is overdue, at most as long as the newest one was
  Duration Overdue(Instant now) const;

  Instant m_began_at{};
  Instant m_measured_at{};
  Instant m_next_due = kNever;
  std::uint32_t m_samples = 0;
  Duration m_newest{};
  // of the interval in progress and of the last one
  Duration m_least{};
  Duration m_last_least{};
  Duration m_delay{};
};

}  // namespace detail

/// @brief Baseline: admits all jobs, and measures the delays for the metrics only.
class AdmitAll : public OverloadController {
 public:
  void OnLoopDelay(const LoopDelaySample& sample) override;
  void OnCpuUse(const CpuUseSample& /*sample*/) override {}
  OverloadVerdict Decide(const ArrivingJob& /*job*/) override { return OverloadVerdict::Admit(); }
  OverloadState State(Instant now) const override;

 private:
  mutable std::mutex m_mutex;
  // guarded by m_mutex; indexed by `EventLoop`
  std::array<detail::StandingDelay, kEventLoops> m_loops;
};

/// @brief Admits a share of the jobs, which falls while the standing delay of a loop is above the
/// target and rises while it is below. The share goes to the highest priorities first.
class AdaptiveOverloadController : public OverloadController {
 public:
  void OnLoopDelay(const LoopDelaySample& sample) override;
  void OnCpuUse(const CpuUseSample& sample) override;
  OverloadVerdict Decide(const ArrivingJob& job) override;
  OverloadState State(Instant now) const override;

 private:
  // higher numbers are treated as the last class
  static constexpr std::size_t kClasses = 32;
  struct PriorityClass {
    // jobs offered lately: a sum that decays with each step
    double offered = 0;
    // share of them that is admitted
    double share = 1;
    // what remains of the share of earlier jobs; a job costs 1
    double credit = 1;
  };

  // All below require m_mutex.
  EventLoop WorstLoop(Instant now) const;
  // adjusts the share once for each interval
  void Step(Instant now);
  void Lower(Duration delay);
  void Raise();
  // part of the offered jobs that have priority 0
  double TopPortion() const;
  // gives the share of all offered jobs to the classes. Complexity: linear in the classes.
  void ShareOut();

  mutable std::mutex m_mutex;
  // all below guarded by m_mutex; indexed by `EventLoop`
  std::array<detail::StandingDelay, kEventLoops> m_loops;
  std::array<PriorityClass, kClasses> m_classes;
  // invariant: above 0, at most 1
  double m_share = 1;
  // jobs offered within the last few steps, a sum that decays with each step
  double m_offered = 0;
  // those that the share admitted of them when it was last lowered
  double m_sustained = 0;
  double m_cpu_use = 0;
  Instant m_stepped_at{};
  // standing delay at the last step
  Duration m_delay{};
  // steps in a row at which the delay was under the target
  std::uint32_t m_good_steps = 0;
  // steps in a row at which only priority 0 was left to refuse
  std::uint32_t m_last_class_steps = 0;
};

/// @brief Creates a controller by its name in the settings: `adaptive` or `admit-all`.
/// @return null for an unknown name.
std::unique_ptr<OverloadController> MakeOverloadController(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ADMISSION_OVERLOAD_CONTROLLER_H_
