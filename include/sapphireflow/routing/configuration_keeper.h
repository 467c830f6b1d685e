// Part of routing: the configuration in force, and how old the knowledge is that it is the newest.
#ifndef SAPPHIREFLOW_ROUTING_CONFIGURATION_KEEPER_H_
#define SAPPHIREFLOW_ROUTING_CONFIGURATION_KEEPER_H_

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

#include "sapphireflow/model/configuration.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Holds the newest configuration seen. Thread-safe.
///
/// A change takes effect everywhere within a time that the platform sets. A VM that is short of CPU
/// time reads of it late, so what counts is when the store last confirmed the configuration, and
/// not whether the store is being watched.
class ConfigurationKeeper {
 public:
  /// @param apply_time time after the acknowledgement of a change by which it is in force
  explicit ConfigurationKeeper(Duration apply_time) : m_apply_time(apply_time) {}
  /// @brief Puts a configuration in force if it is newer than the current one.
  /// @return whether it was newer.
  bool UpdateIfNewer(ConfigurationPtr configuration) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_current && configuration->version() <= m_current->version()) return false;
    m_current = std::move(configuration);
    return true;
  }
  /// @brief No newer configuration had been accepted by the store at this time.
  void Confirm(Instant as_of) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_confirmed_at = std::max(m_confirmed_at.value_or(as_of), as_of);
    m_store_away = false;
  }
  /// @brief The store has failed to answer.
  void OnStoreAway() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_store_away = true;
  }
  /// @brief Whether requests may be handled by the configuration. Without a confirmation it stays
  /// in use while the store is slow or away, because a zone that is cut off has to serve; but not
  /// if it may be this VM that has not read the answer.
  /// @param own_delay how late an event loop of this VM was lately
  bool IsUsable(Instant now, Duration own_delay) const {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_store_away || !m_confirmed_at || own_delay <= kMaxThrottledDelay) return true;
    return now - *m_confirmed_at <= m_apply_time - kHandlingTime;
  }
  /// @return the time since the last confirmation, if there was one.
  std::optional<Duration> Age(Instant now) const {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_confirmed_at) return std::nullopt;
    return now - *m_confirmed_at;
  }
  ConfigurationPtr current() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_current;
  }
  std::uint64_t version() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_current ? m_current->version() : 0;
  }

 private:
  // between the check and the use of the configuration; a throttled core stalls for up to 100 ms
  static constexpr Duration kHandlingTime = std::chrono::milliseconds(150);

  // a throttled core delays its loops by up to 100 ms, and an event may need two periods
  static constexpr Duration kMaxThrottledDelay = std::chrono::milliseconds(250);

  const Duration m_apply_time;
  mutable std::mutex m_mutex;
  // all below guarded by m_mutex
  // invariant: its version never decreases
  ConfigurationPtr m_current;
  // empty before the first answer of the store
  std::optional<Instant> m_confirmed_at;
  bool m_store_away = false;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_CONFIGURATION_KEEPER_H_
