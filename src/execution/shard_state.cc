// Part of execution: the load view for admission, the job queue and the timers of a shard.
#include "sapphireflow/execution/detail/shard_state.h"

#include <algorithm>

namespace sapphireflow::detail {

ShardState::ShardState(const ShardAddress& self, const ShardOptions& options, std::uint64_t seed)
    : m_self(self),
      m_options(options),
      m_ledger(options.retention()),
      m_pool(self, MakePlacer(options.placement(), seed), MakeOutlierDetector(options.outliers()),
             m_estimator),
      m_queue(MakeOrderPolicy(options.order())),
      m_retry(MakeRetryPolicy(options.retry())),
      m_admission(MakeAdmission(options.admission(), *this)) {}

std::uint32_t ShardState::InFlight(const TableRow& row) const {
  const auto found = m_in_flight.find(std::make_pair(row.kind(), row.team()));
  return found == m_in_flight.end() ? 0 : found->second;
}

bool ShardState::AnyWorkerFits(const ResourceSpec& needs) const {
  return std::any_of(
      m_capacities.begin(), m_capacities.end(), [&needs](const ResourceSpec& capacity) {
        return needs.cores() <= capacity.cores() && needs.memory_mb() <= capacity.memory_mb() &&
               needs.accelerators() <= capacity.accelerators();
      });
}

Duration ShardState::PredictedResponse(const JobSpec& spec, double weight) const {
  Duration longest{0};
  Duration work{0};
  for (const Task& task : spec.tasks()) {
    const Duration run = m_estimator.Mean(task);
    longest = std::max(longest, run);
    work += run;
  }
  const std::uint32_t slots = m_pool.total_slots() + m_peer_free_slots;
  // without any slot the wait cannot be predicted; the deadline decides
  if (slots == 0) return longest;
  const auto tasks = static_cast<std::uint32_t>(spec.tasks().size());
  Duration wait{0};
  if (!m_queue.empty() || m_pool.free_slots() + m_peer_free_slots == 0) {
    const WaitingJob self(m_next_arrival, spec.deadline(), weight, work, tasks);
    wait = m_queue.WorkAhead(self) / slots;
  }
  return wait + std::max(longest, work / slots);
}

void ShardState::UpdateQueuePosition(const JobId& id, const JobRecord& record) {
  if (record.phase != JobPhase::kActive || record.waiting.empty()) {
    m_queue.Remove(id);
    return;
  }
  m_queue.Put(id, WaitingJob(record.arrival, record.spec->deadline(), record.weight,
                             record.work_left, record.tasks_left));
}

bool ShardState::IsStale(const Timer& timer) {
  if (timer.kind == TimerKind::kLoanRequestTimeout) return !m_borrow_pending;
  if (timer.kind == TimerKind::kReevaluate && timer.subject == AttemptId()) return false;
  if (timer.kind == TimerKind::kLeaseEnd) return m_attempts.count(timer.subject) == 0;
  const JobRecord* record = m_ledger.Find(timer.subject.job());
  if (record == nullptr || record->phase == JobPhase::kSettled) return true;
  return timer.kind == TimerKind::kReevaluate && record->waiting.empty();
}

void ShardState::DropStaleTimers() {
  while (!m_timers.empty() && IsStale(m_timers.top())) m_timers.pop();
}

Instant ShardState::NextDue() const {
  Instant due = std::min(m_pool.NextDue(), m_ledger.NextDue());
  if (!m_timers.empty()) due = std::min(due, m_timers.top().at);
  return due;
}

}  // namespace sapphireflow::detail
