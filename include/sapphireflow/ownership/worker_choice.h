// Part of ownership: policies that choose the worker for a run.
#ifndef SAPPHIREFLOW_OWNERSHIP_WORKER_CHOICE_H_
#define SAPPHIREFLOW_OWNERSHIP_WORKER_CHOICE_H_

#include <memory>
#include <string>
#include <vector>

#include "sapphireflow/ownership/start_order_policy.h"

namespace sapphireflow {

/// @brief A worker that is eligible for the run and has enough free capacity.
class WorkerCandidate : public Comparable<WorkerCandidate> {
 public:
  WorkerCandidate(const WorkerListing& listing, const Resources& free_capacity, double slowness)
      : m_listing(&listing), m_free_capacity(free_capacity), m_slowness(slowness) {}
  const WorkerListing& listing() const { return *m_listing; }
  const Resources& free_capacity() const { return m_free_capacity; }
  /// @brief Ratio of expected to declared run time.
  double slowness() const { return m_slowness; }
  auto Fields() const { return std::tie(*m_listing, m_free_capacity, m_slowness); }

 private:
  // invariant: not null
  const WorkerListing* m_listing;
  Resources m_free_capacity;
  double m_slowness;
};

/// @brief Policy that chooses a worker for a run.
class WorkerChoice {
 public:
  virtual ~WorkerChoice() = default;
  /// @param time_left until the job's objective
  /// @param candidates not empty
  /// @return the index of the chosen candidate. Complexity: linear.
  virtual std::size_t Choose(const RunOrder& order, Duration time_left,
                             const std::vector<WorkerCandidate>& candidates) const = 0;
};

/// @brief Baseline policy: the first candidate.
class FirstFitChoice : public WorkerChoice {
 public:
  std::size_t Choose(const RunOrder& order, Duration time_left,
                     const std::vector<WorkerCandidate>& candidates) const override;
};

/// @brief Chooses the slowest worker that meets the objective, which keeps fast workers free for
/// long runs. If none meets it, chooses the worker with the shortest expected run time. Ties go to
/// the worker with the least free CPU capacity.
class SlowestSufficientChoice : public WorkerChoice {
 public:
  /// @param remote_factor by what factor a task takes longer outside the rack of its data
  explicit SlowestSufficientChoice(double remote_factor) : m_remote_factor(remote_factor) {}
  std::size_t Choose(const RunOrder& order, Duration time_left,
                     const std::vector<WorkerCandidate>& candidates) const override;

 private:
  const double m_remote_factor;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_WORKER_CHOICE_H_
