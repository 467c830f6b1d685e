// Part of transport: measures the delay of an asio event loop.
#ifndef SAPPHIREFLOW_SRC_TRANSPORT_LOOP_DELAY_PROBE_H_
#define SAPPHIREFLOW_SRC_TRANSPORT_LOOP_DELAY_PROBE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "sapphireflow/transport/loop_delay.h"

namespace sapphireflow {

/// @brief A timer in a loop whose lateness is the time that any event of the loop waits. It must be
/// started before the loop runs, and outlive it.
class LoopDelayProbe {
 public:
  LoopDelayProbe(asio::io_context& context, OnLoopDelay on_delay)
      : m_timer(context), m_on_delay(std::move(on_delay)) {}

  void Start() { Wait(kCalmInterval); }

 private:
  // At least two samples in each interval of the controller, which is 100 ms or longer. A wake-up
  // costs 40 to 50 us of CPU time.
  static constexpr std::chrono::milliseconds kCalmInterval{60};
  static constexpr std::chrono::milliseconds kLateInterval{40};
  static constexpr std::chrono::milliseconds kLate{10};

  void Wait(std::chrono::milliseconds interval) {
    m_timer.expires_after(interval);
    m_timer.async_wait([this](const asio::error_code& failed) {
      if (failed) return;
      const auto delay = std::chrono::steady_clock::now() - m_timer.expiry();
      const auto next = delay > kLate ? kLateInterval : kCalmInterval;
      m_on_delay(std::chrono::duration_cast<Duration>(delay), next);
      Wait(next);
    });
  }

  asio::steady_timer m_timer;
  const OnLoopDelay m_on_delay;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SRC_TRANSPORT_LOOP_DELAY_PROBE_H_
