// Part of routing: the configuration in force; its version never decreases.
#ifndef SAPPHIREFLOW_ROUTING_CONFIGURATION_KEEPER_H_
#define SAPPHIREFLOW_ROUTING_CONFIGURATION_KEEPER_H_

#include <mutex>
#include <utility>

#include "sapphireflow/model/configuration.h"

namespace sapphireflow {

/// @brief Holds the newest configuration seen. Thread-safe.
class ConfigurationKeeper {
 public:
  /// @brief Puts a configuration in force if it is newer than the current one.
  /// @return whether it was newer.
  bool UpdateIfNewer(ConfigurationPtr configuration) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_current && configuration->version() <= m_current->version()) return false;
    m_current = std::move(configuration);
    return true;
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
  mutable std::mutex m_mutex;
  // guarded by m_mutex; invariant: its version never decreases
  ConfigurationPtr m_current;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ROUTING_CONFIGURATION_KEEPER_H_
