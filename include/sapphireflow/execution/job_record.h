// Part of execution: what a home remembers of a job, from admission until it is forgotten.
#ifndef SAPPHIREFLOW_EXECUTION_JOB_RECORD_H_
#define SAPPHIREFLOW_EXECUTION_JOB_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sapphireflow/execution/effect.h"
#include "sapphireflow/model/job.h"
#include "sapphireflow/observe/journal.h"

namespace sapphireflow {

/// @brief Where a task of an active job stands.
enum class TaskPhase { kWaiting, kRunning, kDone };

/// @brief State of one task of an active job.
struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  // attempts made, whatever became of them; the next attempt's number is one more
  std::uint32_t attempts = 0;
  // invariant: refusals <= attempts; these certainly did not run
  std::uint32_t refusals = 0;
  // as predicted at admission; its share of the job's work_left
  Duration expected_run{0};
  // the worker of the last attempt that ended without a result; default if there was none
  Address last_failed_worker;
  std::string result;

  bool MayHaveRun() const { return attempts > refusals; }
};

/// @brief Unfinished tasks of one row's kind and team.
struct RowUsage {
  std::string kind;
  std::string team;
  std::uint32_t tasks;
};

/// @brief What the job's home knows of it.
enum class JobPhase {
  kActive,     ///< admitted, not answered
  kSettled,    ///< answered for good
  kInherited,  ///< inherited; its old home still runs it
};

/// @brief One job in the ledger. Guarded by its shard's lock.
struct JobRecord {
  JobPhase phase = JobPhase::kActive;
  // digest of the work, to tell a resubmission from another job under the same id
  std::uint64_t digest = 0;
  Instant admitted_at{};
  // null once settled: the tasks are not needed any more
  JobSpecPtr spec;
  double weight = 1;
  std::uint32_t max_starts = 1;
  std::uint64_t arrival = 0;
  std::vector<TaskState> tasks;
  // indexes of waiting tasks, next one last; invariant: exactly those in phase kWaiting
  std::vector<std::uint32_t> waiting;
  std::uint32_t tasks_left = 0;
  Duration work_left{0};
  std::vector<RowUsage> usage;
  std::vector<Waiter> waiters;
  // invariant: set exactly when settled
  JobAnswerPtr answer;
  Journal journal;
};

/// @brief Digest of team, idempotency and tasks, stable across processes (FNV-1a).
std::uint64_t WorkDigest(const JobSpec& spec);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_JOB_RECORD_H_
