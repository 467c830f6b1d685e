// Part of ownership: which of the waiting runs goes first.
#ifndef SAPPHIREFLOW_OWNERSHIP_START_ORDER_H_
#define SAPPHIREFLOW_OWNERSHIP_START_ORDER_H_

#include <memory>
#include <string>
#include <utility>

#include "sapphireflow/dispatch/dispatch_message.h"

namespace sapphireflow {

/// @brief A run that waits for room, with the owner's own points in time.
class WaitingRun : public Comparable<WaitingRun> {
 public:
  WaitingRun(RunOrder order, const NodeId& coordinator, std::string service,
             std::shared_ptr<const std::string> payload, std::uint32_t priority, Instant since,
             Instant objective_at, Instant useless_at)
      : m_order(std::move(order)),
        m_coordinator(coordinator),
        m_service(std::move(service)),
        m_payload(std::move(payload)),
        m_priority(priority),
        m_since(since),
        m_objective_at(objective_at),
        m_useless_at(useless_at) {}
  const RunOrder& order() const { return m_order; }
  const NodeId& coordinator() const { return m_coordinator; }
  const std::string& service() const { return m_service; }
  const std::shared_ptr<const std::string>& payload() const { return m_payload; }
  std::uint32_t priority() const { return m_priority; }
  Instant since() const { return m_since; }
  /// @brief When the job's answer becomes late.
  Instant objective_at() const { return m_objective_at; }
  /// @brief When the job's answer becomes useless.
  Instant useless_at() const { return m_useless_at; }
  auto Fields() const {
    return std::tie(m_order, m_coordinator, m_service, *m_payload, m_priority, m_since,
                    m_objective_at, m_useless_at);
  }

 private:
  RunOrder m_order;
  NodeId m_coordinator;
  std::string m_service;
  // invariant: not null
  std::shared_ptr<const std::string> m_payload;
  std::uint32_t m_priority;
  Instant m_since;
  Instant m_objective_at;
  Instant m_useless_at;
};

/// @brief Orders waiting runs.
class StartOrder {
 public:
  virtual ~StartOrder() = default;
  /// @return whether `a` goes before `b`.
  virtual bool Before(const WaitingRun& a, const WaitingRun& b, Instant now) const = 0;
};

/// @brief Baseline: first in, first out.
class ArrivalOrder : public StartOrder {
 public:
  bool Before(const WaitingRun& a, const WaitingRun& b, Instant now) const override;
};

/// @brief Least slack first among runs that can still meet their objective; the others follow.
class LeastSlackOrder : public StartOrder {
 public:
  bool Before(const WaitingRun& a, const WaitingRun& b, Instant now) const override;
};

/// @brief Makes an order from its name in the settings. @return null for an unknown name.
std::unique_ptr<StartOrder> MakeStartOrder(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_START_ORDER_H_
