// Part of execution: handles the end of attempts. A task is started again only after its previous
// attempt has ended.
#include <utility>

#include "sapphireflow/execution/detail/shard_stages.h"

namespace sapphireflow::detail {
namespace {

// Leases are sent to workers in whole milliseconds, so a worker may stop slightly before the lease
// ends here.
constexpr Duration kLeaseRounding = std::chrono::milliseconds(2);

const char* AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSucceeded:
      return "succeeded";
    case AttemptEnd::kTaskFailed:
      return "task-failed";
    case AttemptEnd::kStopped:
      return "stopped";
    case AttemptEnd::kWorkerFull:
      return "refused-full";
    case AttemptEnd::kWorkerLeaving:
      return "refused-leaving";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kNotSent:
      return "not-sent";
    case AttemptEnd::kLost:
      return "lost";
  }
  return "";
}

SlotOutcome SlotOutcomeFor(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSucceeded:
      return SlotOutcome::kTaskSucceeded;
    case AttemptEnd::kStopped:
      return SlotOutcome::kUnused;
    case AttemptEnd::kWorkerLeaving:
      return SlotOutcome::kRefusedLeaving;
    case AttemptEnd::kWorkerFull:
      return SlotOutcome::kRefusedFull;
    case AttemptEnd::kTaskFailed:
    case AttemptEnd::kRefused:
    case AttemptEnd::kNotSent:
    case AttemptEnd::kLost:
      return SlotOutcome::kFailed;
  }
  return SlotOutcome::kUnused;
}

// Treats the end of an attempt whose reply was lost as "may have run". A worker that does not know
// the attempt may have restarted since, so the attempt has certainly ended but may have run.
AttemptReport AsMayHaveRun(const AttemptReport& report) {
  if (!DidNotRun(report.end())) return report;
  return {report.attempt(), AttemptEnd::kStopped, report.detail()};
}

}  // namespace

ShardEffects AttemptStage::Apply(const ShardInput& input) {
  ShardEffects out;
  const auto* report = std::get_if<AttemptReport>(&input.event());
  if (report != nullptr) HandleAttemptReport(*report, input.now(), out);
  return out;
}

void AttemptStage::HandleAttemptReport(const AttemptReport& report, Instant now,
                                       ShardEffects& out) {
  const auto found = m_state.m_attempts.find(report.attempt());
  // this attempt has already ended
  if (found == m_state.m_attempts.end()) return;
  const bool lease_over = now >= found->second.lease_until;
  if (report.end() == AttemptEnd::kLost && !lease_over) {
    HandleLostAttempt(report.attempt(), found->second, now, out);
    return;
  }
  const AttemptRecord attempt = found->second;
  m_state.m_attempts.erase(found);
  FinishAttempt(attempt.uncertain ? AsMayHaveRun(report) : report, attempt, now, out);
}

void AttemptStage::FinishAttempt(const AttemptReport& report, const AttemptRecord& attempt,
                                 Instant now, ShardEffects& out) {
  ReleaseSlot(report, attempt, now);
  if (report.end() != AttemptEnd::kSucceeded) {
    out.emplace_back(
        AttemptWasted(report.attempt(), attempt.slot.worker(), AttemptEndName(report.end())));
  }

  JobRecord* record = m_state.m_ledger.Find(report.attempt().job());
  if (record == nullptr || record->phase != JobPhase::kActive) return;
  if (report.end() == AttemptEnd::kSucceeded) {
    CompleteTask(report, attempt, *record, now, out);
  } else {
    RetryOrFailTask(report, attempt.slot.worker(), *record, now, out);
  }
}

void AttemptStage::ReleaseSlot(const AttemptReport& report, const AttemptRecord& attempt,
                               Instant now) {
  const bool worker_suspect = attempt.uncertain && report.end() != AttemptEnd::kSucceeded;
  m_state.m_pool.Release(attempt.slot,
                         worker_suspect ? SlotOutcome::kFailed : SlotOutcomeFor(report.end()), now);
}

void AttemptStage::CompleteTask(const AttemptReport& report, const AttemptRecord& attempt,
                                JobRecord& record, Instant now, ShardEffects& out) {
  const std::uint32_t index = report.attempt().task();
  const Address worker = attempt.slot.worker();
  m_state.m_estimator.Learn(record.spec->tasks()[index], worker, now - attempt.started_at);
  TaskState& state = record.tasks[index];
  state.phase = TaskPhase::kDone;
  state.result = report.detail();
  --record.tasks_left;
  record.work_left -= state.expected_run;
  record.journal.emplace_back(now, Decision::kTaskDone, index, worker, "");
  if (record.tasks_left == 0) {
    m_settlement.Complete(report.attempt().job(), record, now, out);
    return;
  }
  // less remaining work may improve the rank
  if (!record.waiting.empty()) m_state.UpdateQueuePosition(report.attempt().job(), record);
}

void AttemptStage::RetryOrFailTask(const AttemptReport& report, const Address& worker,
                                   JobRecord& record, Instant now, ShardEffects& out) {
  const std::uint32_t index = report.attempt().task();
  const Task& task = record.spec->tasks()[index];
  TaskState& state = record.tasks[index];
  if (DidNotRun(report.end())) ++state.refusals;
  state.phase = TaskPhase::kWaiting;
  state.last_failed_worker = worker;
  record.waiting.push_back(index);
  record.journal.emplace_back(now, Decision::kAttemptEnded, index, worker,
                              std::string(AttemptEndName(report.end())) + ", " + report.detail());
  const FailedAttempt failed(!DidNotRun(report.end()), record.spec->idempotent(),
                             state.attempts - state.refusals, state.refusals, record.max_starts,
                             record.spec->deadline() - now,
                             m_state.m_estimator.OptimisticEstimate(task));
  if (m_state.m_retry->ShouldRetry(failed)) {
    record.journal.emplace_back(now, Decision::kRetried, index, worker, "within the retry limits");
    m_state.UpdateQueuePosition(report.attempt().job(), record);
    return;
  }
  const Instant lease_until = record.spec->deadline() - m_state.m_options.reply_margin();
  const bool ended_by_lease =
      report.end() == AttemptEnd::kStopped || report.end() == AttemptEnd::kLost;
  if (ended_by_lease && now + kLeaseRounding >= lease_until) {
    m_settlement.Fail(report.attempt().job(), record,
                      Error(ErrorId::kDeadlinePassed, "task " + std::to_string(index) +
                                                          " did not end before its lease expired"),
                      now, out);
    return;
  }
  m_settlement.Fail(
      report.attempt().job(), record,
      Error(ErrorId::kTaskFailed, "task " + std::to_string(index) + " " +
                                      AttemptEndName(report.end()) + ": " + report.detail()),
      now, out);
}

void AttemptStage::HandleLostAttempt(const AttemptId& id, AttemptRecord& attempt, Instant now,
                                     ShardEffects& out) {
  if (attempt.uncertain) return;
  attempt.uncertain = true;
  // The reply to the stop request tells how the attempt ended; without a reply, the attempt ends
  // with its lease.
  out.emplace_back(StopAttempts(attempt.slot.worker(), {id}));
  JobRecord* record = m_state.m_ledger.Find(id.job());
  if (record == nullptr || record->phase != JobPhase::kActive) return;
  record->journal.emplace_back(now, Decision::kAttemptEnded, id.task(), attempt.slot.worker(),
                               "the connection was lost; asking the worker to stop it");
}

}  // namespace sapphireflow::detail
