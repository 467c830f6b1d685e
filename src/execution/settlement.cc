// Part of execution: implementation of the settlement of jobs.
#include "sapphireflow/execution/detail/settlement.h"

#include <map>
#include <memory>
#include <utility>

namespace sapphireflow::detail {

void Settlement::Complete(const JobId& id, JobRecord& record, Instant now, ShardEffects& out) {
  std::vector<TaskOutcome> outcomes;
  outcomes.reserve(record.tasks.size());
  for (TaskState& task : record.tasks) {
    outcomes.emplace_back(TaskFate::kRan, std::move(task.result));
  }
  record.journal.emplace_back(now, Decision::kCompleted, 0, Address(), "");
  FinishWithAnswer(
      id, record,
      std::make_shared<JobAnswer>(Verdict::kComplete, std::nullopt, std::move(outcomes)), now, out);
}

void Settlement::Fail(const JobId& id, JobRecord& record, Error cause, Instant now,
                      ShardEffects& out) {
  std::vector<TaskOutcome> outcomes;
  outcomes.reserve(record.tasks.size());
  for (const TaskState& task : record.tasks) {
    TaskFate fate = TaskFate::kNotRun;
    if (task.MayHaveRun()) fate = TaskFate::kMayHaveRun;
    if (task.phase == TaskPhase::kDone) fate = TaskFate::kRan;
    // leave out the results, so that a failed answer cannot be mistaken for a partial one
    outcomes.emplace_back(fate, "");
  }
  StopRunning(id, record, now, out);
  record.journal.emplace_back(now, Decision::kFailed, 0, Address(), cause.message());
  FinishWithAnswer(
      id, record,
      std::make_shared<JobAnswer>(Verdict::kFailed, std::move(cause), std::move(outcomes)), now,
      out);
}

void Settlement::FailOrphaned(const JobId& id, JobRecord& record, Instant now, ShardEffects& out) {
  const Error cause(ErrorId::kHomeGone, "the job's home is gone; the tasks may have run");
  FinishWithAnswer(id, record,
                   std::make_shared<JobAnswer>(Verdict::kFailed, cause, std::vector<TaskOutcome>()),
                   now, out);
}

void Settlement::StopRunning(const JobId& id, JobRecord& record, Instant now, ShardEffects& out) {
  std::map<Address, std::vector<AttemptId>> by_worker;
  for (std::uint32_t i = 0; i < record.tasks.size(); ++i) {
    if (record.tasks[i].phase != TaskPhase::kRunning) continue;
    const AttemptId attempt(id, i, record.tasks[i].attempts);
    const auto found = m_state.m_attempts.find(attempt);
    if (found == m_state.m_attempts.end()) continue;
    const Address worker = found->second.slot.worker();
    by_worker[worker].push_back(attempt);
    record.journal.emplace_back(now, Decision::kStopped, i, worker, "its job has failed");
  }
  for (auto& [worker, attempts] : by_worker) out.emplace_back(StopAttempts(worker, attempts));
}

void Settlement::FinishWithAnswer(const JobId& id, JobRecord& record, JobAnswerPtr answer,
                                  Instant now, ShardEffects& out) {
  record.answer = std::move(answer);
  if (record.phase == JobPhase::kActive) EmitJobSettled(id, record, now, out);
  if (record.phase == JobPhase::kInherited) --m_state.m_unanswered_inherited;
  record.phase = JobPhase::kSettled;
  m_state.m_queue.Remove(id);
  for (const RowUsage& usage : record.usage) {
    const auto found = m_state.m_in_flight.find(std::make_pair(usage.kind, usage.team));
    if (found == m_state.m_in_flight.end()) continue;
    found->second -= usage.tasks;
    if (found->second == 0) m_state.m_in_flight.erase(found);
  }
  for (const Waiter& waiter : record.waiters) {
    out.emplace_back(ReplyAnswer(waiter, id, record.answer));
  }
  // from here on, only the digest, the answer and the journal are needed
  record.waiters.clear();
  record.usage.clear();
  record.tasks.clear();
  record.waiting.clear();
  record.spec.reset();
  m_state.m_ledger.MarkSettled(id, now);
}

void Settlement::EmitJobSettled(const JobId& id, const JobRecord& record, Instant now,
                                ShardEffects& out) {
  if (!record.spec || record.spec->tasks().empty()) return;
  out.emplace_back(JobSettled(id, record.spec->team(), record.spec->tasks().front().kind(),
                              record.spec->tasks().size(), record.answer,
                              now - record.admitted_at));
}

}  // namespace sapphireflow::detail
