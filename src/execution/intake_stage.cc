// Part of execution: idempotent submission. A submission gets the stored answer, waits for the job
// in progress, is admitted, or is refused. A refusal is stored like any other answer.
#include <algorithm>
#include <memory>
#include <utility>

#include "sapphireflow/execution/detail/shard_stages.h"

namespace sapphireflow::detail {
namespace {

// an inherited job fails if its old home does not answer it within this time
constexpr Duration kInheritedAnswerTimeout = std::chrono::seconds(30);

JobAnswerPtr MakeAnswerPtr(JobAnswer answer) {
  return std::make_shared<JobAnswer>(std::move(answer));
}

JobAnswer MayHaveRun(ErrorId id, const std::string& message, std::size_t tasks) {
  return {Verdict::kFailed, Error(id, message),
          std::vector<TaskOutcome>(tasks, TaskOutcome(TaskFate::kMayHaveRun, ""))};
}

}  // namespace

ShardEffects IntakeStage::Apply(const ShardInput& input) {
  ShardEffects out;
  const Instant now = input.now();
  if (const auto* submit = std::get_if<SubmitJob>(&input.event())) Submit(*submit, now, out);
  if (const auto* ask = std::get_if<JobRequest>(&input.event())) Ask(*ask, now, out);
  if (const auto* inherit = std::get_if<InheritJobs>(&input.event())) Inherit(*inherit, now, out);
  if (const auto* gone = std::get_if<HomeGone>(&input.event())) {
    for (const JobId& id : m_state.m_ledger.UnansweredJobsOf(gone->home())) {
      m_settlement.FailOrphaned(id, *m_state.m_ledger.Find(id), now, out);
    }
  }
  m_state.m_ledger.EvictExpired(now);
  return out;
}

void IntakeStage::Submit(const SubmitJob& submit, Instant now, ShardEffects& out) {
  JobRecord* known = m_state.m_ledger.Find(submit.job());
  if (known != nullptr) {
    Resubmit(submit, *known, out);
    return;
  }
  if (m_state.m_ledger.MayHaveExpired(submit.job(), now)) {
    out.emplace_back(ReplyAnswer(
        submit.waiter(), submit.job(),
        MakeAnswerPtr(MayHaveRun(ErrorId::kIdExpired,
                                 "the id is so old that its answer may have been deleted",
                                 submit.spec()->tasks().size()))));
    return;
  }
  if (m_state.m_sealed) {
    out.emplace_back(ForwardSubmission(submit.waiter(), submit.job(), submit.spec()));
    return;
  }
  const Candidate candidate(submit.spec(), m_state.m_table, now);
  std::optional<Error> rejection = m_state.m_admission->Apply(candidate);
  if (rejection) {
    Refuse(submit, std::move(*rejection), now, out);
  } else {
    Admit(submit, candidate, now);
  }
}

void IntakeStage::Resubmit(const SubmitJob& submit, JobRecord& record, ShardEffects& out) {
  // a job without digest was stopped before it was submitted
  if (record.digest != 0 && record.digest != WorkDigest(*submit.spec())) {
    const Error cause(ErrorId::kIdReused, "the id belongs to a job with different tasks");
    out.emplace_back(
        ReplyAnswer(submit.waiter(), submit.job(), MakeAnswerPtr(JobAnswer::Refused(cause))));
    return;
  }
  if (record.answer) {
    out.emplace_back(ReplyAnswer(submit.waiter(), submit.job(), record.answer));
  } else {
    record.waiters.push_back(submit.waiter());
  }
}

void IntakeStage::Admit(const SubmitJob& submit, const Candidate& candidate, Instant now) {
  const JobSpec& spec = *submit.spec();
  JobRecord& record = m_state.m_ledger.Add(submit.job());
  record.digest = WorkDigest(spec);
  record.admitted_at = now;
  record.spec = submit.spec();
  record.weight = candidate.Weight();
  record.arrival = m_state.m_next_arrival++;
  record.max_starts = UINT32_MAX;
  record.tasks.resize(spec.tasks().size());
  record.tasks_left = static_cast<std::uint32_t>(spec.tasks().size());
  record.waiters.push_back(submit.waiter());
  for (std::uint32_t i = record.tasks_left; i > 0; --i) record.waiting.push_back(i - 1);
  for (std::size_t i = 0; i < spec.tasks().size(); ++i) {
    record.tasks[i].expected_run = m_state.m_estimator.Mean(spec.tasks()[i]);
    record.work_left += record.tasks[i].expected_run;
  }
  for (const RowDemand& demand : candidate.rows()) {
    const TableRow& row = demand.row();
    record.max_starts = std::min(record.max_starts, row.attempts());
    m_state.m_in_flight[std::make_pair(row.kind(), row.team())] += demand.tasks();
    record.usage.push_back(RowUsage{row.kind(), row.team(), demand.tasks()});
  }
  // usual number of entries: admission, a start and an end for each task, completion
  record.journal.reserve(2 + 2 * spec.tasks().size());
  record.journal.emplace_back(now, Decision::kAdmitted, 0, Address(),
                              "table version " + std::to_string(m_state.m_table->version()));
  m_state.AddTimer(spec.deadline() - m_state.m_options.reply_margin(), TimerKind::kJobDeadline,
                   AttemptId(submit.job(), 0, 0));
  m_state.UpdateQueuePosition(submit.job(), record);
}

void IntakeStage::Refuse(const SubmitJob& submit, Error cause, Instant now, ShardEffects& out) {
  // Store the refusal as the final answer: otherwise a duplicate of the submission that is still in
  // flight could be admitted.
  JobRecord& record = m_state.m_ledger.Add(submit.job());
  record.digest = WorkDigest(*submit.spec());
  record.admitted_at = now;
  record.spec = submit.spec();
  record.waiters.push_back(submit.waiter());
  record.journal.emplace_back(now, Decision::kRefused, 0, Address(), cause.message());
  m_settlement.FinishWithAnswer(submit.job(), record,
                                MakeAnswerPtr(JobAnswer::Refused(std::move(cause))), now, out);
}

void IntakeStage::Ask(const JobRequest& ask, Instant now, ShardEffects& out) {
  JobRecord* record = m_state.m_ledger.Find(ask.job());
  if (ask.request_kind() == JobRequestKind::kExplain) {
    out.emplace_back(ReplyJournal(ask.waiter(), ask.job(), record ? record->journal : Journal()));
    return;
  }
  if (ask.request_kind() == JobRequestKind::kStop) {
    Stop(ask, now, out);
    return;
  }
  if (record == nullptr) {
    const Error cause(ErrorId::kNoSuchResource, "nothing has been submitted under this id here");
    out.emplace_back(
        ReplyAnswer(ask.waiter(), ask.job(), MakeAnswerPtr(JobAnswer::Unknown(cause))));
  } else if (record->answer) {
    out.emplace_back(ReplyAnswer(ask.waiter(), ask.job(), record->answer));
  } else {
    record->waiters.push_back(ask.waiter());
  }
}

void IntakeStage::Stop(const JobRequest& ask, Instant now, ShardEffects& out) {
  JobRecord* record = m_state.m_ledger.Find(ask.job());
  const Error cause(ErrorId::kCancelled, "stopped by request");
  if (record == nullptr && (m_state.m_sealed || m_state.m_ledger.MayHaveExpired(ask.job(), now))) {
    const Error unknown(ErrorId::kNoSuchResource, "the id is no longer known here");
    out.emplace_back(
        ReplyAnswer(ask.waiter(), ask.job(), MakeAnswerPtr(JobAnswer::Unknown(unknown))));
    return;
  }
  if (record == nullptr) {
    // the submission may still be in flight: store the refusal so that the job never runs
    record = &m_state.m_ledger.Add(ask.job());
    record->waiters.push_back(ask.waiter());
    record->journal.emplace_back(now, Decision::kRefused, 0, Address(), cause.message());
    m_settlement.FinishWithAnswer(ask.job(), *record, MakeAnswerPtr(JobAnswer::Refused(cause)), now,
                                  out);
    return;
  }
  if (record->answer) {
    out.emplace_back(ReplyAnswer(ask.waiter(), ask.job(), record->answer));
    return;
  }
  record->waiters.push_back(ask.waiter());
  if (record->phase == JobPhase::kActive) m_settlement.Fail(ask.job(), *record, cause, now, out);
}

void IntakeStage::Inherit(const InheritJobs& inherit, Instant now, ShardEffects& out) {
  m_state.m_ledger.RaiseEvictionWatermark(inherit.evicted_up_to());
  for (const InheritedJob& inherited_job : inherit.jobs()) InheritJob(inherited_job, now, out);
}

void IntakeStage::InheritJob(const InheritedJob& inherited_job, Instant now, ShardEffects& out) {
  JobRecord* record = m_state.m_ledger.Find(inherited_job.job());
  if (record == nullptr) {
    record = &m_state.m_ledger.Add(inherited_job.job());
    record->phase = JobPhase::kInherited;
    ++m_state.m_unanswered_inherited;
    record->digest = inherited_job.digest();
    record->admitted_at = now;
    record->journal.emplace_back(now, Decision::kHandedOver, 0, Address(), "inherited");
    m_state.AddTimer(now + kInheritedAnswerTimeout, TimerKind::kInherited,
                     AttemptId(inherited_job.job(), 0, 0));
  }
  if (!inherited_job.answer() || record->phase != JobPhase::kInherited) return;
  m_settlement.FinishWithAnswer(inherited_job.job(), *record,
                                MakeAnswerPtr(*inherited_job.answer()), now, out);
}

}  // namespace sapphireflow::detail
