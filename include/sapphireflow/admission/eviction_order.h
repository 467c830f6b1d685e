// Part of admission: policies for which connection is closed first when a bound is reached.
#ifndef SAPPHIREFLOW_ADMISSION_EVICTION_ORDER_H_
#define SAPPHIREFLOW_ADMISSION_EVICTION_ORDER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief A connection that may be closed: none of its requests waits for an answer.
class EvictionCandidate : public Comparable<EvictionCandidate> {
 public:
  EvictionCandidate(std::size_t held_bytes, Instant since, bool reading, bool served)
      : m_held_bytes(held_bytes), m_since(since), m_reading(reading), m_served(served) {}
  std::size_t held_bytes() const { return m_held_bytes; }
  /// @brief When its unfinished request began; if it has none, when it became idle.
  Instant since() const { return m_since; }
  /// @brief Whether a request has arrived in part.
  bool reading() const { return m_reading; }
  /// @brief Whether an earlier request was answered.
  bool served() const { return m_served; }
  auto Fields() const { return std::tie(m_held_bytes, m_since, m_reading, m_served); }

 private:
  std::size_t m_held_bytes;
  Instant m_since;
  bool m_reading;
  bool m_served;
};

class EvictionOrder {
 public:
  virtual ~EvictionOrder() = default;
  /// @return whether `a` is closed before `b`
  virtual bool Before(const EvictionCandidate& a, const EvictionCandidate& b,
                      Instant now) const = 0;
};

/// @brief Unfinished requests by the product of what they hold and for how long; then connections
/// that never sent a request; then idle ones by how long they have been idle.
class HeldLongestOrder : public EvictionOrder {
 public:
  bool Before(const EvictionCandidate& a, const EvictionCandidate& b, Instant now) const override;
};

/// @brief Baseline: by age alone.
class OldestFirstOrder : public EvictionOrder {
 public:
  bool Before(const EvictionCandidate& a, const EvictionCandidate& b, Instant now) const override;
};

/// @param name `held-longest` or `oldest-first`
std::unique_ptr<EvictionOrder> MakeEvictionOrder(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_ADMISSION_EVICTION_ORDER_H_
