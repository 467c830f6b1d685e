// Part of transport: the longest delay of the event loops within the last seconds.
#ifndef SAPPHIREFLOW_TRANSPORT_RECENT_DELAY_H_
#define SAPPHIREFLOW_TRANSPORT_RECENT_DELAY_H_

#include <algorithm>

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief A maximum over a window of time. Not thread-safe.
class RecentDelay {
 public:
  void Add(Duration delay, Instant now) {
    Turn(now);
    m_current = std::max(m_current, delay);
  }
  /// @return the longest delay added within the last second; some are counted for up to two.
  Duration Longest(Instant now) {
    Turn(now);
    return std::max(m_current, m_last);
  }

 private:
  static constexpr Duration kPeriod = std::chrono::milliseconds(1000);

  void Turn(Instant now) {
    if (now - m_began_at < kPeriod) return;
    m_last = now - m_began_at < 2 * kPeriod ? m_current : Duration::zero();
    m_current = Duration::zero();
    m_began_at = now;
  }

  Instant m_began_at{};
  Duration m_current{};
  Duration m_last{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_RECENT_DELAY_H_
