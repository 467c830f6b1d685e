// Part of execution: the home's memory of job ids, which makes submission idempotent.
#ifndef SAPPHIREFLOW_EXECUTION_JOB_LEDGER_H_
#define SAPPHIREFLOW_EXECUTION_JOB_LEDGER_H_

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sapphireflow/execution/job_record.h"
#include "sapphireflow/execution/shard_event.h"

namespace sapphireflow {

/// @brief All remembered jobs of one shard. Not thread-safe: its shard's lock guards it.
///
/// An id is either remembered, or certainly never used, or issued no later than the newest id
/// that was ever forgotten; the last are refused. So forgetting never lets a job start twice,
/// whatever the clock does.
class JobLedger {
 public:
  explicit JobLedger(Duration retention) : m_retention(retention) {}

  /// @return the record, or null. Complexity: constant.
  JobRecord* Find(const JobId& id);
  /// @brief Remembers a new job. Precondition: `Find(id)` is null and `MayHaveExpired(id)` false.
  JobRecord& Add(const JobId& id);
  /// @brief Whether an id that is not remembered may have been used and forgotten.
  bool MayHaveExpired(const JobId& id, Instant now) const;
  /// @brief Starts the time after which a settled job is forgotten.
  void MarkSettled(const JobId& id, Instant now);
  /// @brief Forgets what is past its retention. Complexity: constant for each job forgotten.
  void EvictExpired(Instant now);
  /// @return when `EvictExpired` is due next.
  Instant NextDue() const {
    return m_eviction_queue.empty() ? kNever : m_eviction_queue.front().first;
  }

  /// @brief Everything a successor needs. Complexity: linear.
  InheritJobs Export() const;
  /// @brief Takes another ledger's mark; its jobs are added one by one.
  void RaiseEvictionWatermark(Instant forgotten_up_to);
  std::size_t size() const { return m_records.size(); }
  /// @brief Jobs that are active here.
  std::size_t active() const { return m_active; }
  /// @brief The remembered jobs whose unfinished work runs at `home`.
  std::vector<JobId> UnansweredJobsOf(const NodeId& home) const;

 private:
  const Duration m_retention;
  std::unordered_map<JobId, JobRecord> m_records;
  // invariant: every id ever forgotten was issued at this time or before
  Instant m_eviction_watermark{};
  // settled ids with the time to forget them; invariant: in order of time
  std::deque<std::pair<Instant, JobId>> m_eviction_queue;
  // invariant: number of records that were added and not settled
  std::size_t m_active = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_JOB_LEDGER_H_
