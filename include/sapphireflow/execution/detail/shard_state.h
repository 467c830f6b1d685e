// Part of execution: the state of one shard, which its stages share under the shard's lock.
#ifndef SAPPHIREFLOW_EXECUTION_DETAIL_SHARD_STATE_H_
#define SAPPHIREFLOW_EXECUTION_DETAIL_SHARD_STATE_H_

#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sapphireflow/admission/admission_checks.h"
#include "sapphireflow/execution/job_ledger.h"
#include "sapphireflow/execution/retry_policy.h"
#include "sapphireflow/execution/shard.h"
#include "sapphireflow/placement/run_time_estimator.h"
#include "sapphireflow/placement/slot_pool.h"
#include "sapphireflow/queueing/job_queue.h"

namespace sapphireflow::detail {

/// @brief An attempt that may be running.
struct AttemptRecord {
  AcquiredSlot slot;
  Instant started_at;
  Instant lease_until;
  // the start request got no reply; a stop request has been sent, whose reply tells how it ended
  bool uncertain = false;
};

enum class TimerKind { kJobDeadline, kLeaseEnd, kInherited, kLoanRequestTimeout, kReevaluate };

/// @brief A timer of a job, an attempt or the shard; has no effect if it is stale when it fires.
struct Timer {
  Instant at;
  TimerKind kind;
  // timers of a job use only the job id; timers of the shard use the default value
  AttemptId subject;

  friend bool operator>(const Timer& a, const Timer& b) { return a.at > b.at; }
};

/// @brief The whole state of a shard. Not thread-safe: guarded by the shard's lock.
class ShardState : public LoadView {
 public:
  ShardState(const ShardAddress& self, const ShardOptions& options, std::uint64_t seed);

  // LoadView
  std::uint32_t InFlight(const TableRow& row) const override;
  bool AnyWorkerFits(const ResourceSpec& needs) const override;
  Duration PredictedResponse(const JobSpec& spec, double weight) const override;
  std::uint32_t QuotaShares() const override { return m_quota_shares; }

  /// @brief Queues the job at its current rank if it is active with waiting tasks, else dequeues
  /// it.
  void UpdateQueuePosition(const JobId& id, const JobRecord& record);
  void AddTimer(Instant at, TimerKind kind, const AttemptId& subject) {
    m_timers.push(Timer{at, kind, subject});
  }
  /// @brief Removes stale timers from the front of the queue. Complexity: logarithmic in the number
  /// of timers for each one removed.
  void DropStaleTimers();
  /// @brief The earliest due time of the timers, the slot pool and the ledger.
  Instant NextDue() const;

  bool IsStale(const Timer& timer);

  const ShardAddress m_self;
  const ShardOptions m_options;
  TablePtr m_table;
  JobLedger m_ledger;
  RunTimeEstimator m_estimator;
  SlotPool m_pool;
  JobQueue m_queue;
  std::unique_ptr<RetryPolicy> m_retry;
  std::unique_ptr<AdmissionChain> m_admission;
  std::unordered_map<AttemptId, AttemptRecord> m_attempts;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
  // number of tasks of active jobs, keyed by kind and the team of their row; the tasks of a job are
  // counted until the job is settled; invariant: no zero counts
  std::map<std::pair<std::string, std::string>, std::uint32_t> m_in_flight;
  std::set<ResourceSpec> m_capacities;
  // invariant: >= 1
  std::uint32_t m_quota_shares = 1;
  std::uint32_t m_peer_free_slots = 0;
  std::uint64_t m_next_arrival = 1;
  // number of inherited jobs that their old homes have not answered yet
  std::size_t m_unanswered_inherited = 0;
  bool m_sealed = false;
  // no loan request is sent before this time
  Instant m_next_borrow{};
  std::uint32_t m_consecutive_empty_grants = 0;
  bool m_borrow_pending = false;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_EXECUTION_DETAIL_SHARD_STATE_H_
