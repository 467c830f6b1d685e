// Part of ownership: which of the owned workers a run goes to.
#ifndef SAPPHIREFLOW_OWNERSHIP_WORKER_CHOICE_H_
#define SAPPHIREFLOW_OWNERSHIP_WORKER_CHOICE_H_

#include <memory>
#include <string>
#include <vector>

#include "sapphireflow/ownership/start_order.h"

namespace sapphireflow {

/// @brief A worker that has room for the run.
class Candidate : public Comparable<Candidate> {
 public:
  Candidate(const WorkerListing& listing, const Resources& room, double slowness)
      : m_listing(&listing), m_room(room), m_slowness(slowness) {}
  const WorkerListing& listing() const { return *m_listing; }
  const Resources& room() const { return m_room; }
  /// @brief Expected run time over the declared one.
  double slowness() const { return m_slowness; }
  auto Fields() const { return std::tie(*m_listing, m_room, m_slowness); }

 private:
  // invariant: not null
  const WorkerListing* m_listing;
  Resources m_room;
  double m_slowness;
};

/// @brief Chooses a worker for a run.
class WorkerChoice {
 public:
  virtual ~WorkerChoice() = default;
  /// @param time_left until the job's objective
  /// @param candidates not empty
  /// @return the chosen one's position. Complexity: linear.
  virtual std::size_t Choose(const RunOrder& order, Duration time_left,
                             const std::vector<Candidate>& candidates) const = 0;
};

/// @brief Baseline: the first with room.
class FirstFitChoice : public WorkerChoice {
 public:
  std::size_t Choose(const RunOrder& order, Duration time_left,
                     const std::vector<Candidate>& candidates) const override;
};

/// @brief The slowest worker that suffices, so that fast ones are left to long runs; where none
/// suffices, the one at which the run ends first. Among equals the tightest fit.
class SlowestSufficientChoice : public WorkerChoice {
 public:
  /// @param remote_factor how much longer a task takes away from the rack of its data
  explicit SlowestSufficientChoice(double remote_factor) : m_remote_factor(remote_factor) {}
  std::size_t Choose(const RunOrder& order, Duration time_left,
                     const std::vector<Candidate>& candidates) const override;

 private:
  const double m_remote_factor;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_OWNERSHIP_WORKER_CHOICE_H_
