// Part of execution: the state of one shard, shared by its stages under the shard's one lock.
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

#include "sapphireflow/admission/checks.h"
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
  // the start request was lost; a stop has been sent to learn what became of it
  bool uncertain = false;
};

enum class TimerKind { kJobDeadline, kLeaseEnd, kInherited, kLoanRequestTimeout, kReevaluate };

/// @brief Something to look at later; stale timers are ignored when they fire.
struct Timer {
  Instant at;
  TimerKind kind;
  // for job timers only the job part counts
  AttemptId subject;

  friend bool operator>(const Timer& a, const Timer& b) { return a.at > b.at; }
};

/// @brief All state of a shard. Not thread-safe by itself.
class ShardState : public LoadView {
 public:
  ShardState(const ShardAddress& self, const ShardOptions& options, std::uint64_t seed);

  // LoadView
  std::uint32_t InFlight(const TableRow& row) const override;
  bool AnyWorkerFits(const Needs& needs) const override;
  Duration PredictedResponse(const JobSpec& spec, double weight) const override;
  std::uint32_t QuotaShares() const override { return m_quota_shares; }

  /// @brief Puts an active job with waiting tasks into the queue, or takes it out.
  void UpdateQueuePosition(const JobId& id, const JobRecord& record);
  void AddTimer(Instant at, TimerKind kind, const AttemptId& subject) {
    m_timers.push(Timer{at, kind, subject});
  }
  /// @brief Removes timers from the front whose job or attempt is over. Complexity: amortized
  /// logarithmic in the timers for each one removed.
  void DropStaleTimers();
  /// @brief Earliest of all timers.
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
  // unfinished tasks by kind and the team of their row; invariant: no zero counts
  std::map<std::pair<std::string, std::string>, std::uint32_t> m_in_flight;
  std::set<Needs> m_capacities;
  // invariant: >= 1
  std::uint32_t m_quota_shares = 1;
  std::uint32_t m_peer_free_slots = 0;
  std::uint64_t m_next_arrival = 1;
  // inherited jobs that their old homes have not answered yet
  std::size_t m_unanswered_inherited = 0;
  bool m_sealed = false;
  // borrowing: no ask before this time
  Instant m_next_borrow{};
  std::uint32_t m_consecutive_empty_grants = 0;
  bool m_borrow_pending = false;
};

}  // namespace sapphireflow::detail

#endif  // SAPPHIREFLOW_EXECUTION_DETAIL_SHARD_STATE_H_
