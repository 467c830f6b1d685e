// Part of execution: handles due timers.
#include <iterator>
#include <utility>

#include "sapphireflow/execution/detail/shard_stages.h"

namespace sapphireflow::detail {

ShardEffects TimerStage::Apply(const ShardInput& input) {
  ShardEffects out;
  const Instant now = input.now();
  m_state.m_pool.Advance(now);
  while (!m_state.m_timers.empty() && m_state.m_timers.top().at <= now) {
    const Timer timer = m_state.m_timers.top();
    m_state.m_timers.pop();
    HandleTimer(timer, now, out);
  }
  return out;
}

void TimerStage::HandleTimer(const Timer& timer, Instant now, ShardEffects& out) {
  const JobId& job = timer.subject.job();
  JobRecord* record = m_state.m_ledger.Find(job);
  switch (timer.kind) {
    case TimerKind::kJobDeadline:
      if (record == nullptr || record->phase != JobPhase::kActive) return;
      m_settlement.Fail(
          job, *record,
          Error(ErrorId::kDeadlinePassed, "the job was not complete before its deadline"), now,
          out);
      return;
    case TimerKind::kLeaseEnd: {
      // The worker stops an attempt at the end of its lease, so an attempt without a report has
      // ended.
      const AttemptReport lease_expired_report(timer.subject, AttemptEnd::kLost,
                                               "no reply before its lease expired");
      ShardEffects effects = m_attempts.Apply(ShardInput(now, lease_expired_report));
      std::move(effects.begin(), effects.end(), std::back_inserter(out));
      return;
    }
    case TimerKind::kInherited:
      if (record == nullptr || record->phase != JobPhase::kInherited) return;
      m_settlement.FailOrphaned(job, *record, now, out);
      return;
    case TimerKind::kLoanRequestTimeout:
      // the reply is late or lost: the borrowing stage may send a new request in this pass
      m_state.m_borrow_pending = false;
      return;
    case TimerKind::kReevaluate:
      // the later stages re-evaluate their state in this pass
      return;
  }
}

}  // namespace sapphireflow::detail
