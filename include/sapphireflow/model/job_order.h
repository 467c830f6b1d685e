// Part of the model: multi-step jobs under caller-chosen keys, and the runs of their tasks.
#ifndef SAPPHIREFLOW_MODEL_JOB_ORDER_H_
#define SAPPHIREFLOW_MODEL_JOB_ORDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief An amount of CPU, memory and accelerators: a capacity or a requirement.
class Resources : public Comparable<Resources> {
 public:
  /// @brief Largest plausible amount, in the unit of each dimension: sums over all workers of a
  /// fleet are far from overflowing.
  static constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
  Resources() = default;
  Resources(std::int64_t milli_cores, std::int64_t memory_mb, std::int64_t accelerators)
      : m_milli_cores(milli_cores), m_memory_mb(memory_mb), m_accelerators(accelerators) {}
  /// @brief Thousandths of a core.
  std::int64_t milli_cores() const { return m_milli_cores; }
  std::int64_t memory_mb() const { return m_memory_mb; }
  std::int64_t accelerators() const { return m_accelerators; }
  /// @brief Returns whether `other` fits into this amount in every dimension.
  bool Covers(const Resources& other) const {
    return other.m_milli_cores <= m_milli_cores && other.m_memory_mb <= m_memory_mb &&
           other.m_accelerators <= m_accelerators;
  }
  Resources operator+(const Resources& other) const {
    return {m_milli_cores + other.m_milli_cores, m_memory_mb + other.m_memory_mb,
            m_accelerators + other.m_accelerators};
  }
  Resources operator-(const Resources& other) const {
    return {m_milli_cores - other.m_milli_cores, m_memory_mb - other.m_memory_mb,
            m_accelerators - other.m_accelerators};
  }
  auto Fields() const { return std::tie(m_milli_cores, m_memory_mb, m_accelerators); }

 private:
  std::int64_t m_milli_cores = 0;
  std::int64_t m_memory_mb = 0;
  std::int64_t m_accelerators = 0;
};

/// @brief 64-bit key of a job, chosen by its caller.
using JobKey = std::uint64_t;

/// @brief Identifies one task of a job.
class TaskKey : public Comparable<TaskKey> {
 public:
  TaskKey() = default;
  TaskKey(JobKey job, std::uint32_t occurrence, std::uint32_t step, std::uint32_t index)
      : m_job(job), m_occurrence(occurrence), m_step(step), m_index(index) {}
  JobKey job() const { return m_job; }
  /// @brief Repetition of the job's steps; 0 for a job that is not repeated.
  std::uint32_t occurrence() const { return m_occurrence; }
  std::uint32_t step() const { return m_step; }
  /// @brief Index of the task within its step.
  std::uint32_t index() const { return m_index; }
  auto Fields() const { return std::tie(m_job, m_occurrence, m_step, m_index); }

 private:
  JobKey m_job = 0;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;
};

/// @brief Identifies one run of a task. Run numbers start at 1 and increase with each start.
class RunKey : public Comparable<RunKey> {
 public:
  RunKey() = default;
  RunKey(const TaskKey& task, std::uint32_t number) : m_task(task), m_number(number) {}
  const TaskKey& task() const { return m_task; }
  std::uint32_t number() const { return m_number; }
  auto Fields() const { return std::tie(m_task, m_number); }

 private:
  TaskKey m_task;
  std::uint32_t m_number = 0;
};

/// @brief A step of a job: a number of identical tasks.
class StepSpec : public Comparable<StepSpec> {
 public:
  StepSpec(std::uint32_t count, const Resources& needs, Duration estimate,
           std::vector<std::uint32_t> after, std::string label, std::string near_rack,
           std::uint32_t per_worker_limit)
      : m_count(count),
        m_needs(needs),
        m_estimate(estimate),
        m_after(std::move(after)),
        m_label(std::move(label)),
        m_near_rack(std::move(near_rack)),
        m_per_worker_limit(per_worker_limit) {}
  std::uint32_t count() const { return m_count; }
  /// @brief Resources that each task requires.
  const Resources& needs() const { return m_needs; }
  /// @brief Run time estimated by the caller; often inaccurate.
  Duration estimate() const { return m_estimate; }
  /// @brief Indexes of earlier steps that must complete first.
  const std::vector<std::uint32_t>& after() const { return m_after; }
  /// @brief Label that the worker must have; empty if any worker is allowed.
  const std::string& label() const { return m_label; }
  /// @brief Preferred rack, where the data is stored; empty for no preference.
  const std::string& near_rack() const { return m_near_rack; }
  /// @brief Maximum number of this step's tasks on one worker; 0 for no limit.
  std::uint32_t per_worker_limit() const { return m_per_worker_limit; }
  auto Fields() const {
    return std::tie(m_count, m_needs, m_estimate, m_after, m_label, m_near_rack,
                    m_per_worker_limit);
  }

 private:
  // invariant: >= 1
  std::uint32_t m_count;
  Resources m_needs;
  Duration m_estimate;
  // invariant: each index is smaller than the step's own index
  std::vector<std::uint32_t> m_after;
  std::string m_label;
  std::string m_near_rack;
  std::uint32_t m_per_worker_limit;
};

/// @brief A job as submitted by its caller, with the limits of its queue.
class JobOrder : public Comparable<JobOrder> {
 public:
  JobOrder(JobKey key, std::string queue, std::string service,
           std::shared_ptr<const std::string> payload, std::vector<StepSpec> steps,
           std::uint32_t priority, std::uint32_t max_attempts, Duration objective,
           Duration answer_timeout)
      : m_key(key),
        m_queue(std::move(queue)),
        m_service(std::move(service)),
        m_payload(std::move(payload)),
        m_steps(std::move(steps)),
        m_priority(priority),
        m_max_attempts(max_attempts),
        m_objective(objective),
        m_answer_timeout(answer_timeout) {}
  JobKey key() const { return m_key; }
  const std::string& queue() const { return m_queue; }
  /// @brief Service whose workers run the job.
  const std::string& service() const { return m_service; }
  /// @brief Passed to the workers unchanged.
  const std::shared_ptr<const std::string>& payload() const { return m_payload; }
  const std::vector<StepSpec>& steps() const { return m_steps; }
  /// @brief 0 is the highest priority.
  std::uint32_t priority() const { return m_priority; }
  /// @brief Number of failed runs of one task after which the job fails.
  std::uint32_t max_attempts() const { return m_max_attempts; }
  /// @brief Response time objective: a later answer counts as late.
  Duration objective() const { return m_objective; }
  /// @brief How long the caller waits for the answer.
  Duration answer_timeout() const { return m_answer_timeout; }
  auto Fields() const {
    return std::tie(m_key, m_queue, m_service, *m_payload, m_steps, m_priority, m_max_attempts,
                    m_objective, m_answer_timeout);
  }

 private:
  JobKey m_key;
  std::string m_queue;
  std::string m_service;
  // invariant: not null
  std::shared_ptr<const std::string> m_payload;
  // invariant: not empty
  std::vector<StepSpec> m_steps;
  std::uint32_t m_priority;
  // invariant: >= 1
  std::uint32_t m_max_attempts;
  Duration m_objective;
  Duration m_answer_timeout;
};

using JobOrderPtr = std::shared_ptr<const JobOrder>;

}  // namespace sapphireflow

template <>
struct std::hash<sapphireflow::TaskKey> {
  std::size_t operator()(const sapphireflow::TaskKey& key) const noexcept {
    constexpr std::uint64_t kOddMultiplier = 0x9e3779b97f4a7c15ULL;
    const std::uint64_t rest = (static_cast<std::uint64_t>(key.occurrence()) << 40) ^
                               (static_cast<std::uint64_t>(key.step()) << 20) ^ key.index();
    return key.job() ^ (rest * kOddMultiplier);
  }
};

template <>
struct std::hash<sapphireflow::RunKey> {
  std::size_t operator()(const sapphireflow::RunKey& key) const noexcept {
    return std::hash<sapphireflow::TaskKey>()(key.task()) * 31 + key.number();
  }
};

#endif  // SAPPHIREFLOW_MODEL_JOB_ORDER_H_
