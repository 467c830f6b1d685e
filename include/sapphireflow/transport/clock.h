// Part of transport: the clock interface; the only code that reads the wall clock.
#ifndef SAPPHIREFLOW_TRANSPORT_CLOCK_H_
#define SAPPHIREFLOW_TRANSPORT_CLOCK_H_

#include <ctime>

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Source of the current time. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
};

/// @brief Wall-clock time at construction plus the time elapsed since then. It never goes backwards
/// and includes the time during which the machine was suspended.
class MonotonicClock : public Clock {
 public:
  MonotonicClock()
      : m_wall_start(std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())),
        m_boot_start(SinceBoot()) {}
  Instant Now() const override { return m_wall_start + (SinceBoot() - m_boot_start); }

 private:
  static Duration SinceBoot() {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                std::chrono::nanoseconds(time.tv_nsec));
  }

  const Instant m_wall_start;
  const Duration m_boot_start;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_CLOCK_H_
