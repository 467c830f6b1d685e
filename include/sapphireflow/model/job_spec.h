// Part of the model: the job that a caller submits and the answer it receives.
#ifndef SAPPHIREFLOW_MODEL_JOB_SPEC_H_
#define SAPPHIREFLOW_MODEL_JOB_SPEC_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/error.h"
#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Resources that a task requires or that a worker provides.
class ResourceSpec : public Comparable<ResourceSpec> {
 public:
  ResourceSpec() = default;
  ResourceSpec(std::uint32_t cores, std::uint32_t memory_mb, std::uint32_t accelerators)
      : m_cores(cores), m_memory_mb(memory_mb), m_accelerators(accelerators) {}
  std::uint32_t cores() const { return m_cores; }
  std::uint32_t memory_mb() const { return m_memory_mb; }
  std::uint32_t accelerators() const { return m_accelerators; }
  auto Fields() const { return std::tie(m_cores, m_memory_mb, m_accelerators); }

 private:
  std::uint32_t m_cores = 1;
  std::uint32_t m_memory_mb = 0;
  std::uint32_t m_accelerators = 0;
};

/// @brief One unit of work that runs on one slot of one worker.
class Task : public Comparable<Task> {
 public:
  Task(std::string kind, std::string payload, ResourceSpec needs, Duration declared_run)
      : m_kind(std::move(kind)),
        m_payload(std::move(payload)),
        m_needs(needs),
        m_declared_run(declared_run) {}
  const std::string& kind() const { return m_kind; }
  const std::string& payload() const { return m_payload; }
  const ResourceSpec& needs() const { return m_needs; }
  /// @brief Run time estimated by the caller; often inaccurate.
  Duration declared_run() const { return m_declared_run; }
  auto Fields() const { return std::tie(m_kind, m_payload, m_needs, m_declared_run); }

 private:
  std::string m_kind;
  std::string m_payload;
  ResourceSpec m_needs;
  Duration m_declared_run;
};

/// @brief A submission: tasks that share one answer, which is never partial.
class JobSpec : public Comparable<JobSpec> {
 public:
  JobSpec(std::string team, Instant deadline, bool idempotent, std::vector<Task> tasks)
      : m_team(std::move(team)),
        m_deadline(deadline),
        m_idempotent(idempotent),
        m_tasks(std::move(tasks)) {}
  const std::string& team() const { return m_team; }
  /// @brief The complete answer must reach the caller before this time.
  Instant deadline() const { return m_deadline; }
  /// @brief If false, a task that may have run is never attempted again.
  bool idempotent() const { return m_idempotent; }
  const std::vector<Task>& tasks() const { return m_tasks; }
  auto Fields() const { return std::tie(m_team, m_deadline, m_idempotent, m_tasks); }
  /// @brief Compares everything but the deadline, which a resubmission computes from its own time.
  bool EqualsIgnoringDeadline(const JobSpec& other) const {
    return m_team == other.m_team && m_idempotent == other.m_idempotent && m_tasks == other.m_tasks;
  }

 private:
  std::string m_team;
  Instant m_deadline;
  bool m_idempotent;
  // invariant: not empty once admitted
  std::vector<Task> m_tasks;
};

using JobSpecPtr = std::shared_ptr<const JobSpec>;

/// @brief Whether a task ran, as far as known when its job is answered.
enum class TaskFate { kNotRun, kMayHaveRun, kRan };

/// @brief Fate of one task and, if it ran, its result.
class TaskOutcome : public Comparable<TaskOutcome> {
 public:
  TaskOutcome(TaskFate fate, std::string result) : m_fate(fate), m_result(std::move(result)) {}
  TaskFate fate() const { return m_fate; }
  const std::string& result() const { return m_result; }
  auto Fields() const { return std::tie(m_fate, m_result); }

 private:
  TaskFate m_fate;
  std::string m_result;
};

/// @brief Outcome of a job.
enum class Verdict {
  kComplete,  ///< every task ran; all results are present
  kFailed,    ///< the task outcomes state what happened to each task
  kRefused,   ///< final: no task ran or will run under this id
  kUnknown,   ///< outcome not known here: the caller should retry under the same id
};

/// @brief Name of the verdict as printed, e.g. `complete`.
const char* VerdictName(Verdict verdict);

/// @brief The answer to a submission: complete or marked as failed, never partial.
class JobAnswer : public Comparable<JobAnswer> {
 public:
  JobAnswer(Verdict verdict, std::optional<Error> cause, std::vector<TaskOutcome> outcomes)
      : m_verdict(verdict), m_cause(std::move(cause)), m_outcomes(std::move(outcomes)) {}
  static JobAnswer Refused(Error cause) { return {Verdict::kRefused, std::move(cause), {}}; }
  static JobAnswer Unknown(Error cause) { return {Verdict::kUnknown, std::move(cause), {}}; }
  Verdict verdict() const { return m_verdict; }
  /// @brief Set unless the verdict is `kComplete`.
  const std::optional<Error>& cause() const { return m_cause; }
  /// @brief In the order of the job's tasks; empty for `kRefused` and `kUnknown`, and if the tasks
  /// are not known because the job's home is gone.
  const std::vector<TaskOutcome>& outcomes() const { return m_outcomes; }
  auto Fields() const { return std::tie(m_verdict, m_cause, m_outcomes); }

 private:
  Verdict m_verdict;
  std::optional<Error> m_cause;
  std::vector<TaskOutcome> m_outcomes;
};

using JobAnswerPtr = std::shared_ptr<const JobAnswer>;

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MODEL_JOB_SPEC_H_
