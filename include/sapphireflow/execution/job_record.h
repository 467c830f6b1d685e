// Part of execution: what a job's home stores about it, from admission to eviction.
#ifndef SAPPHIREFLOW_EXECUTION_JOB_RECORD_H_
#define SAPPHIREFLOW_EXECUTION_JOB_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sapphireflow/execution/shard_effect.h"
#include "sapphireflow/model/job_spec.h"
#include "sapphireflow/observe/journal.h"

namespace sapphireflow {

/// @brief Phase of a task of an active job.
enum class TaskPhase { kWaiting, kRunning, kDone };

/// @brief State of one task of an active job.
struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  // attempts made, whatever their outcome; the next attempt gets this number plus one
  std::uint32_t attempts = 0;
  // attempts that certainly did not run; invariant: refusals <= attempts
  std::uint32_t refusals = 0;
  // predicted at admission; counted in the job's work_left until the task is done
  Duration expected_run{0};
  // the worker of the last attempt that ended without a result; default if there was none
  Address last_failed_worker;
  std::string result;

  bool MayHaveRun() const { return attempts > refusals; }
};

/// @brief Number of a job's tasks that count towards the limit of one table row.
struct RowUsage {
  std::string kind;
  std::string team;
  std::uint32_t tasks;
};

/// @brief Phase of a job at its home.
enum class JobPhase {
  kActive,     ///< admitted, not answered
  kSettled,    ///< has its final answer
  kInherited,  ///< inherited; its old home still runs it
};

/// @brief One job in the ledger. Guarded by its shard's lock.
struct JobRecord {
  JobPhase phase = JobPhase::kActive;
  // digest of the work, to tell a resubmission from a different job with the same id; 0 if the job
  // was stopped before it was submitted
  std::uint64_t digest = 0;
  Instant admitted_at{};
  // null once settled: the tasks are no longer needed
  JobSpecPtr spec;
  double weight = 1;
  std::uint32_t max_starts = 1;
  std::uint64_t arrival = 0;
  std::vector<TaskState> tasks;
  // indexes of waiting tasks, the next one to start last; invariant: exactly those in phase
  // kWaiting
  std::vector<std::uint32_t> waiting;
  std::uint32_t tasks_left = 0;
  Duration work_left{0};
  std::vector<RowUsage> usage;
  std::vector<Waiter> waiters;
  // invariant: set if and only if settled
  JobAnswerPtr answer;
  Journal journal;
};

/// @brief Digest of team, idempotency and tasks, stable across processes (FNV-1a).
std::uint64_t WorkDigest(const JobSpec& spec);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_JOB_RECORD_H_
