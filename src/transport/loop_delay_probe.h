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

  void Start() {
    m_timer.expires_after(kInterval);
    m_timer.async_wait([this](const asio::error_code& failed) {
      if (failed) return;
      m_on_delay(
          std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_timer.expiry()),
          kInterval);
      Start();
    });
  }

 private:
  // Two samples in each interval of the controller; each wake-up costs about 20 us of CPU time.
  static constexpr std::chrono::milliseconds kInterval{40};

  asio::steady_timer m_timer;
  const OnLoopDelay m_on_delay;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SRC_TRANSPORT_LOOP_DELAY_PROBE_H_
