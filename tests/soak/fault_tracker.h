// Tracks active faults: guarantees with a time bound are only checked while no fault is active.
#ifndef SAPPHIREFLOW_TESTS_SOAK_FAULT_TRACKER_H_
#define SAPPHIREFLOW_TESTS_SOAK_FAULT_TRACKER_H_

#include <mutex>

#include "sapphireflow/transport/clock.h"

namespace sapphireflow::soak {

/// @brief Counts the faults that are active. Thread-safe.
class FaultTracker {
 public:
  /// @param clock must outlive the tracker
  explicit FaultTracker(const Clock& clock) : m_clock(clock) {}
  void BeginFault() {
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_faults;
  }
  void EndFault() {
    std::lock_guard<std::mutex> lock(m_mutex);
    --m_faults;
    m_last_end = m_clock.Now();
  }
  /// @return whether no fault is active and the last one ended at least `length` ago
  bool NoFaultFor(Duration length) const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults == 0 && m_clock.Now() - m_last_end >= length;
  }
  Instant last_end() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_last_end;
  }

 private:
  const Clock& m_clock;
  mutable std::mutex m_mutex;
  // all members below are guarded by m_mutex
  int m_faults = 0;
  Instant m_last_end{};
};

}  // namespace sapphireflow::soak

#endif  // SAPPHIREFLOW_TESTS_SOAK_FAULT_TRACKER_H_
