// Part of transport: limits the reads of one value to one at a time.
#ifndef SAPPHIREFLOW_TRANSPORT_SINGLE_READ_H_
#define SAPPHIREFLOW_TRANSPORT_SINGLE_READ_H_

#include <mutex>
#include <utility>

namespace sapphireflow {

/// @brief State of the reads of one value of the platform's store. Thread-safe: one lock.
///
/// A change that is noticed during a read may not be in its result, so that the read is repeated.
class SingleRead {
 public:
  /// @brief The value has to be read.
  /// @return whether the caller has to send the read; otherwise the one in progress is repeated.
  bool Begin() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_must_repeat = true;
    return !std::exchange(m_is_reading, true);
  }
  /// @brief The read is about to be sent, and will show all changes that were noticed before.
  void OnSend() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_must_repeat = false;
  }
  /// @return whether the read, which has succeeded, has to be sent again.
  bool End() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_is_reading = m_must_repeat;
    return m_must_repeat;
  }

 private:
  std::mutex m_mutex;
  // both guarded by m_mutex; a read that is to be retried counts as in progress
  bool m_is_reading = false;
  bool m_must_repeat = false;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_TRANSPORT_SINGLE_READ_H_
