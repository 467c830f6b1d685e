// Part of queueing: policies that rank the waiting jobs; `JobQueue` sorts by the rank.
#ifndef SAPPHIREFLOW_QUEUEING_ORDER_POLICY_H_
#define SAPPHIREFLOW_QUEUEING_ORDER_POLICY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief The properties of a waiting job that a policy may use.
class WaitingJob : public Comparable<WaitingJob> {
 public:
  WaitingJob(std::uint64_t arrival, Instant deadline, double weight, Duration work_left,
             std::uint32_t tasks_left)
      : m_arrival(arrival),
        m_deadline(deadline),
        m_weight(weight),
        m_work_left(work_left),
        m_tasks_left(tasks_left) {}
  /// @brief Admission sequence number; increases with each admitted job.
  std::uint64_t arrival() const { return m_arrival; }
  Instant deadline() const { return m_deadline; }
  /// @brief Value of answering the whole job in time.
  double weight() const { return m_weight; }
  /// @brief Sum of the predicted run times of all unfinished tasks.
  Duration work_left() const { return m_work_left; }
  /// @brief Number of unfinished tasks, including running ones.
  std::uint32_t tasks_left() const { return m_tasks_left; }
  auto Fields() const {
    return std::tie(m_arrival, m_deadline, m_weight, m_work_left, m_tasks_left);
  }

 private:
  std::uint64_t m_arrival;
  Instant m_deadline;
  double m_weight;
  Duration m_work_left;
  std::uint32_t m_tasks_left;
};

/// @brief Ranks waiting jobs; the job with the lowest rank starts first.
class OrderPolicy {
 public:
  virtual ~OrderPolicy() = default;
  /// @return a finite rank; its unit depends on the policy. Complexity: constant.
  virtual double Rank(const WaitingJob& job) const = 0;
};

/// @brief Baseline: first in, first out (by admission).
class FifoOrder : public OrderPolicy {
 public:
  double Rank(const WaitingJob& job) const override;
};

/// @brief Baseline: earliest deadline first (EDF).
class EarliestDeadlineOrder : public OrderPolicy {
 public:
  double Rank(const WaitingJob& job) const override;
};

/// @brief Weighted shortest remaining processing time: least remaining work per weight first.
///
/// Nearly finished jobs come first, and short jobs do not wait behind long ones.
class WeightedShortestOrder : public OrderPolicy {
 public:
  double Rank(const WaitingJob& job) const override;
};

/// @brief Creates the policy that the settings name. @return null for an unknown name.
std::unique_ptr<OrderPolicy> MakeOrderPolicy(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_QUEUEING_ORDER_POLICY_H_
