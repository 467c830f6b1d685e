// Part of execution: starts attempts of waiting tasks on free slots.
#include <algorithm>

#include "sapphireflow/execution/detail/shard_stages.h"

namespace sapphireflow::detail {
namespace {

// maximum number of jobs skipped in one pass because no free slot fits their needs
constexpr std::size_t kMaxSkippedJobs = 32;
// with more waiting jobs than this, other jobs can use every slot
constexpr std::size_t kContendedQueueLength = 4;

}  // namespace

ShardEffects DispatchStage::Apply(const ShardInput& input) {
  ShardEffects out;
  std::size_t skipped_jobs = 0;
  auto next_job = m_state.m_queue.begin();
  while (next_job != m_state.m_queue.end() && skipped_jobs < kMaxSkippedJobs) {
    if (!m_state.m_pool.MayHaveFreeSlot()) break;
    const JobId id = next_job->second;
    // advance first: StartTasks may remove the job from the queue
    ++next_job;
    if (!StartTasks(id, input.now(), out)) ++skipped_jobs;
  }
  return out;
}

bool DispatchStage::StartTasks(const JobId& id, Instant now, ShardEffects& out) {
  JobRecord& record = *m_state.m_ledger.Find(id);
  if (CannotFinishInTime(record, now)) {
    m_settlement.Fail(
        id, record,
        Error(ErrorId::kCannotFinishInTime, "a waiting task cannot finish before the deadline"),
        now, out);
    return true;
  }
  const Instant lease_until = record.spec->deadline() - m_state.m_options.reply_margin();
  while (!record.waiting.empty()) {
    const std::uint32_t index = record.waiting.back();
    const Task& task = record.spec->tasks()[index];
    const auto slot = m_state.m_pool.AcquireSlot(
        task.needs(), record.tasks[index].last_failed_worker, now, lease_until);
    if (!slot) return false;
    Start(id, record, *slot, now, out);
  }
  m_state.m_queue.Remove(id);
  return true;
}

void DispatchStage::Start(const JobId& id, JobRecord& record, const AcquiredSlot& slot, Instant now,
                          ShardEffects& out) {
  const Instant lease_until = record.spec->deadline() - m_state.m_options.reply_margin();
  const std::uint32_t index = record.waiting.back();
  record.waiting.pop_back();
  TaskState& state = record.tasks[index];
  state.phase = TaskPhase::kRunning;
  ++state.attempts;
  if (state.attempts == 1) m_state.m_retry->OnFirstStart();
  const AttemptId attempt(id, index, state.attempts);
  m_state.m_attempts.emplace(attempt, AttemptRecord{slot, now, lease_until, false});
  m_state.AddTimer(lease_until, TimerKind::kLeaseEnd, attempt);
  record.journal.emplace_back(now, Decision::kStarted, index, slot.worker(),
                              slot.loan() ? "on a borrowed slot" : "");
  out.emplace_back(StartAttempt(attempt, slot.worker(), record.spec, lease_until));
}

bool DispatchStage::CannotFinishInTime(const JobRecord& record, Instant now) const {
  const Instant limit = record.spec->deadline() - m_state.m_options.reply_margin();
  if (now >= limit) return true;
  // While other jobs wait, do not spend a slot on a job that is more likely late than in time: use
  // the mean instead of the optimistic estimate.
  const bool contended = m_state.m_queue.size() > kContendedQueueLength;
  return std::any_of(record.waiting.begin(), record.waiting.end(), [&](std::uint32_t index) {
    const Task& task = record.spec->tasks()[index];
    const Duration run =
        contended ? m_state.m_estimator.Mean(task) : m_state.m_estimator.OptimisticEstimate(task);
    return now + run > limit;
  });
}

}  // namespace sapphireflow::detail
