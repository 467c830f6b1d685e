// Part of ownership: policies for the order in which waiting runs start.
#ifndef SAPPHIREFLOW_OWNERSHIP_START_ORDER_POLICY_H_
#define SAPPHIREFLOW_OWNERSHIP_START_ORDER_POLICY_H_

#include <memory>
#include <string>
#include <utility>

#include "sapphireflow/dispatch/dispatch_message.h"

namespace sapphireflow {

/// @brief A run that waits for free capacity. Its points in time are on the owner's clock.
class WaitingRun : public Comparable<WaitingRun> {
 public:
  WaitingRun(RunOrder order, const NodeId& coordinator, std::string service, std::string queue,
             std::shared_ptr<const std::string> payload, std::uint32_t priority,
             Instant queued_since, Instant objective_at, Instant useful_until, Instant wanted_at,
             bool job_begun = false)
      : m_order(std::move(order)),
        m_coordinator(coordinator),
        m_service(std::move(service)),
        m_queue(std::move(queue)),
        m_payload(std::move(payload)),
        m_priority(priority),
        m_queued_since(queued_since),
        m_objective_at(objective_at),
        m_useful_until(useful_until),
        m_wanted_at(wanted_at),
        m_job_begun(job_begun) {}
  /// @brief Returns a copy for a job of which a run has started.
  WaitingRun WithJobBegun() const {
    WaitingRun copy(*this);
    copy.m_job_begun = true;
    return copy;
  }
  const RunOrder& order() const { return m_order; }
  const NodeId& coordinator() const { return m_coordinator; }
  const std::string& service() const { return m_service; }
  const std::string& queue() const { return m_queue; }
  const std::shared_ptr<const std::string>& payload() const { return m_payload; }
  std::uint32_t priority() const { return m_priority; }
  Instant queued_since() const { return m_queued_since; }
  /// @brief After this time the job's answer is late.
  Instant objective_at() const { return m_objective_at; }
  /// @brief After this time the job's answer is of no use to the caller.
  Instant useful_until() const { return m_useful_until; }
  /// @brief When the coordinator certainly wanted the run, by what its order echoes.
  Instant wanted_at() const { return m_wanted_at; }
  /// @brief Whether a run of the job may have started.
  bool job_begun() const { return m_job_begun; }
  auto Fields() const {
    return std::tie(m_order, m_coordinator, m_service, m_queue, *m_payload, m_priority,
                    m_queued_since, m_objective_at, m_useful_until, m_wanted_at, m_job_begun);
  }

 private:
  RunOrder m_order;
  NodeId m_coordinator;
  std::string m_service;
  std::string m_queue;
  // invariant: not null
  std::shared_ptr<const std::string> m_payload;
  std::uint32_t m_priority;
  Instant m_queued_since;
  Instant m_objective_at;
  Instant m_useful_until;
  Instant m_wanted_at;
  bool m_job_begun;
};

/// @brief Whether the run can end before its caller's deadline, if it is as short as is plausible.
/// @param slowness smallest known ratio of expected to declared run time
bool CanEndInTime(const WaitingRun& waiting, Instant now, double slowness = 1.0);

/// @brief Policy that orders waiting runs.
class StartOrderPolicy {
 public:
  virtual ~StartOrderPolicy() = default;
  /// @return whether `a` starts before `b`.
  virtual bool Before(const WaitingRun& a, const WaitingRun& b, Instant now) const = 0;
  /// @brief Whether runs of a higher priority start before all others.
  virtual bool IsByPriority() const { return false; }
};

/// @brief Baseline policy: first in, first out.
class ArrivalOrder : public StartOrderPolicy {
 public:
  bool Before(const WaitingRun& a, const WaitingRun& b, Instant now) const override;
};

/// @brief Baseline policy: least slack until the objective first, whether it has passed or not.
class LeastSlackOrder : public StartOrderPolicy {
 public:
  bool Before(const WaitingRun& a, const WaitingRun& b, Instant now) const override;
};

/// @brief Highest priority first; within a priority, runs of jobs that have begun before others,
/// then runs that are expected to end before their caller's deadline, then as `LeastSlackOrder`.
/// Runs that cannot end before their deadline come after all others.
///
/// The caller's time decides which runs come first, because a worker's time is lost on a run that
/// ends too late. The objective only orders runs that can all be answered: one that has passed puts
/// no run behind later ones.
class PrioritySlackOrder : public StartOrderPolicy {
 public:
  bool Before(const WaitingRun& a, const WaitingRun& b, Instant now) const override;
  bool IsByPriority() const override { return true; }
};

/// @brief Creates a policy by its name in the settings. @return null for an unknown name.
std::unique_ptr<StartOrderPolicy> MakeStartOrderPolicy(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_START_ORDER_POLICY_H_
