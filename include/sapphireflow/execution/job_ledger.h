// Part of execution: stores the jobs known to a shard by id, which makes submission idempotent.
#ifndef SAPPHIREFLOW_EXECUTION_JOB_LEDGER_H_
#define SAPPHIREFLOW_EXECUTION_JOB_LEDGER_H_

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sapphireflow/execution/job_record.h"
#include "sapphireflow/execution/shard_event.h"

namespace sapphireflow {

/// @brief The jobs that one shard stores. Not thread-safe: guarded by its shard's lock.
///
/// An id is stored, or was certainly never used, or was issued no later than the newest evicted id.
/// Ids of the last group are refused, so eviction never lets a job start twice, even if the clock
/// steps back.
class JobLedger {
 public:
  explicit JobLedger(Duration retention) : m_retention(retention) {}

  /// @return the record, or null if the id is not stored. Complexity: constant.
  JobRecord* Find(const JobId& id);
  /// @brief Stores a new job. Precondition: `Find(id)` is null and `MayHaveExpired(id)` is false.
  JobRecord& Add(const JobId& id);
  /// @brief Whether an id that is not stored may have been used and evicted.
  bool MayHaveExpired(const JobId& id, Instant now) const;
  /// @brief Schedules the eviction of a settled job.
  void MarkSettled(const JobId& id, Instant now);
  /// @brief Evicts settled jobs whose retention has ended. Complexity: constant per evicted job.
  void EvictExpired(Instant now);
  /// @return the time at which `EvictExpired` is due next; `kNever` if no job is settled.
  Instant NextDue() const {
    return m_eviction_queue.empty() ? kNever : m_eviction_queue.front().first;
  }

  /// @brief Copies all jobs for a successor. Complexity: linear.
  InheritJobs Export() const;
  /// @brief Raises the eviction watermark to that of another ledger; its jobs are added one by one.
  void RaiseEvictionWatermark(Instant evicted_up_to);
  std::size_t size() const { return m_records.size(); }
  /// @brief Number of jobs that are not settled.
  std::size_t active() const { return m_active; }
  /// @brief The inherited jobs that `home` has not answered yet.
  std::vector<JobId> UnansweredJobsOf(const NodeId& home) const;

 private:
  const Duration m_retention;
  std::unordered_map<JobId, JobRecord> m_records;
  // invariant: every evicted id was issued at this time or before
  Instant m_eviction_watermark{};
  // settled ids with their eviction time; invariant: sorted by time
  std::deque<std::pair<Instant, JobId>> m_eviction_queue;
  // invariant: number of records that are not settled
  std::size_t m_active = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_JOB_LEDGER_H_
