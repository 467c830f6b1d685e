// Part of dispatch: decisions whether a job as a whole can still be answered in time.
#ifndef SAPPHIREFLOW_DISPATCH_JOB_FEASIBILITY_H_
#define SAPPHIREFLOW_DISPATCH_JOB_FEASIBILITY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/job_order.h"

namespace sapphireflow {

/// @brief The waiting runs and the workers of one owner.
class OwnerQueue : public Comparable<OwnerQueue> {
 public:
  OwnerQueue(Duration wait, std::int64_t milli_cores) : m_wait(wait), m_milli_cores(milli_cores) {}
  /// @brief Estimated wait of a run of the job's priority for which no worker has room, less the
  /// age of the estimate.
  Duration wait() const { return m_wait; }
  /// @brief Total of all the owner's usable workers; greater than 0.
  std::int64_t milli_cores() const { return m_milli_cores; }
  auto Fields() const { return std::tie(m_wait, m_milli_cores); }

 private:
  Duration m_wait;
  std::int64_t m_milli_cores;
};

/// @brief Room for the tasks of a job's first step, as far as the coordinator knows.
class StepRoom : public Comparable<StepRoom> {
 public:
  StepRoom(std::uint32_t fitting, std::vector<OwnerQueue> queues)
      : m_fitting(fitting), m_queues(std::move(queues)) {}
  /// @brief How many of the tasks fit in free capacity at once.
  std::uint32_t fitting() const { return m_fitting; }
  /// @brief The owners that have a usable worker.
  const std::vector<OwnerQueue>& queues() const { return m_queues; }
  /// @brief Estimated time until a worker has room for one task; empty if no owner has a worker.
  std::optional<Duration> FirstStart() const;
  auto Fields() const { return std::tie(m_fitting, m_queues); }

 private:
  std::uint32_t m_fitting;
  std::vector<OwnerQueue> m_queues;
};

/// @brief State of the tasks of one step.
enum class StepState {
  kDone,
  kAtWork,          ///< each task is done or its run has started
  kMayHaveStarted,  ///< a task is placed, and the report of its start may be on the way
  kWaiting,         ///< a task is certainly not at work
};

/// @brief Lower bound of the time until the job ends. Complexity: linear in the number of steps and
/// of their predecessors.
/// @param slowness smallest known ratio of expected to declared run time
Duration EarliestEnd(const JobOrder& order, const std::vector<StepState>& states, double slowness);

/// @brief Time by which the last task of the first step can start, if the tasks are spread over the
/// owners in the best way. Complexity: n log n in the number of owners.
/// @param room of at least one owner
/// @param slowness smallest known ratio of expected to declared run time
Duration LastStart(const JobOrder& order, const StepRoom& room, double slowness = 1.0);

/// @brief Policy that decides which jobs can no longer be answered before their caller's deadline.
///
/// A decision rests on the time that the caller has, the work that is left and what is known of the
/// fleet. The objective of the job is no part of it.
class JobFeasibility {
 public:
  virtual ~JobFeasibility() = default;
  /// @brief Decides on a job on its arrival.
  /// @param room of at least one owner
  /// @param time_left until the caller's deadline
  /// @param slowness smallest known ratio of expected to declared run time
  /// @return if the job is to be refused, the wait for room.
  virtual std::optional<Duration> RefusalWait(const JobOrder& order, const StepRoom& room,
                                              Duration time_left, double slowness) const = 0;
  /// @brief Whether the job can be answered before its caller's deadline.
  /// @param time_left until that deadline
  virtual bool CanEndInTime(const JobOrder& order, const std::vector<StepState>& states,
                            Duration time_left, double slowness) const = 0;
  /// @brief How long the runs of a job may still wait for room.
  /// @return `std::nullopt` if the job waits until its caller's deadline.
  virtual std::optional<Duration> LongestWait(const JobOrder& order,
                                              const std::vector<StepState>& states,
                                              Duration time_left, double slowness) const = 0;
};

/// @brief Baseline: considers the wait for the first task only, and holds jobs until their
/// deadline.
class FirstStartFeasibility : public JobFeasibility {
 public:
  std::optional<Duration> RefusalWait(const JobOrder& order, const StepRoom& room,
                                      Duration time_left, double slowness) const override;
  bool CanEndInTime(const JobOrder& order, const std::vector<StepState>& states, Duration time_left,
                    double slowness) const override;
  std::optional<Duration> LongestWait(const JobOrder& order, const std::vector<StepState>& states,
                                      Duration time_left, double slowness) const override;
};

/// @brief Refuses in addition jobs whose last task of the first step starts too late, and gives up
/// jobs of which even the shortest plausible rest ends too late.
class WholeJobFeasibility : public JobFeasibility {
 public:
  std::optional<Duration> RefusalWait(const JobOrder& order, const StepRoom& room,
                                      Duration time_left, double slowness) const override;
  bool CanEndInTime(const JobOrder& order, const std::vector<StepState>& states, Duration time_left,
                    double slowness) const override;
  std::optional<Duration> LongestWait(const JobOrder& order, const std::vector<StepState>& states,
                                      Duration time_left, double slowness) const override;
};

/// @brief Creates a policy from its name in the settings: `whole-job` or `first-start`.
/// @return null for an unknown name.
std::unique_ptr<JobFeasibility> MakeJobFeasibility(const std::string& name);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_DISPATCH_JOB_FEASIBILITY_H_
