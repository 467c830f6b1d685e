// Part of dispatch: admission of jobs.
#include <algorithm>
#include <utility>

#include "sapphireflow/admission/retry_after.h"
#include "sapphireflow/dispatch/detail/job_key_text.h"
#include "sapphireflow/dispatch/job_shard.h"

namespace sapphireflow {

std::optional<Error> JobShard::AdmissionError(const JobOrder& order, Duration time_left,
                                              Instant now, Duration* retry_after) const {
  *retry_after = kDefaultRetryAfter;
  for (const StepSpec& step : order.steps()) {
    if (!m_capacity_view.CouldEverRun(order.service(), step.needs(), step.label())) {
      return Error(ErrorId::kNoWorkerFits, "no listed worker of service \"" + order.service() +
                                               "\" is large enough for a task of the job");
    }
    if (!m_capacity_view.CouldRunNow(order.service(), step.needs(), step.label())) {
      return Error(ErrorId::kNoWorkerFits,
                   "all workers of service \"" + order.service() +
                       "\" that are large enough for a task of the job are in evacuated zones");
    }
  }
  const StepRoom room = m_capacity_view.RoomFor(order, now);
  if (room.queues().empty()) {
    return Error(ErrorId::kNoWorkerFits,
                 "no worker of service \"" + order.service() + "\" is reachable");
  }
  if (const auto wait = m_feasibility->RefusalWait(
          order, room, time_left, m_capacity_view.SmallestSlowness(order.service()))) {
    *retry_after = RetryAfter(order.key(), *wait, *wait);
    return Error(ErrorId::kCannotFinishInTime,
                 "the wait for a free worker is " + std::to_string(ToMillis(*wait)) + " ms");
  }
  const WorkerFilter confinement = m_crashes.ConfinementOf(order.queue(), now);
  // one job may wait for these workers, any further one would only queue behind it
  const auto waits = [&](const auto& item) { return IsWaiting(item.second, order.queue()); };
  if (confinement && std::any_of(m_jobs.begin(), m_jobs.end(), waits) &&
      !m_capacity_view.HasFreeCapacity(order.service(), order.steps().front().needs(),
                                       confinement)) {
    return Error(ErrorId::kCannotFinishInTime,
                 "tasks of queue \"" + order.queue() +
                     "\" crash their workers, and those left to it are taken");
  }
  return std::nullopt;
}

Duration JobShard::RetryAfterRoom(const JobOrder& order, Instant now) const {
  const auto wait = m_capacity_view.RoomFor(order, now).FirstStart();
  if (!wait) return kDefaultRetryAfter;
  return RetryAfter(order.key(), *wait, *wait);
}

void JobShard::Submit(const SubmitJobOrder& event, Instant received_at, Instant now,
                      JobEffects& out) {
  const JobKey key = event.order()->key();
  const auto finished = m_finished.find(key);
  if (finished != m_finished.end()) {
    Answer(event.token(), finished->second.verdict, out);
    return;
  }
  const auto known = m_jobs.find(key);
  if (known == m_jobs.end()) {
    Admit(event, received_at, now, out);
    return;
  }
  const Resubmission resubmission{event, received_at};
  if (known->second.closing) {
    known->second.resubmissions.push_back(resubmission);
  } else {
    known->second.callers.push_back(Caller{event.token(), resubmission.deadline()});
  }
  m_callers[event.token()] = key;
}

void JobShard::Admit(const SubmitJobOrder& event, Instant received_at, Instant now,
                     JobEffects& out) {
  const Instant deadline = received_at + event.order()->answer_timeout();
  Duration retry_after{};
  if (const auto error = AdmissionError(*event.order(), deadline - now, now, &retry_after)) {
    out.emplace_back(AnswerCaller(event.token(), JobVerdict::kRefused, error, retry_after, 0));
    out.emplace_back(JobFinished(event.order()->queue(), JobVerdict::kRefused, error->code(),
                                 Duration::zero(), false));
    out.emplace_back(LogEvent(LogLevel::kWarning, "job_refused",
                              {{"job", detail::JobKeyText(event.order()->key())},
                               {"error", error->code()},
                               {"why", error->message()}}));
    return;
  }
  Job& job = m_jobs[event.order()->key()];
  job.order = event.order();
  job.callers = {Caller{event.token(), deadline}};
  job.received_at = received_at;
  Task first;
  // Run numbers continue from an earlier submission of the job: a late reply to a cancel of one of
  // its runs must not match a run of this submission.
  const auto previous = m_highest_run_numbers.find(event.order()->key());
  if (previous != m_highest_run_numbers.end()) first.run_number = previous->second.highest;
  for (const StepSpec& step : job.order->steps()) job.tasks.emplace_back(step.count(), first);
  m_callers[event.token()] = event.order()->key();
  UnblockSteps(job);
  PlaceReady(job, now, out);
}

}  // namespace sapphireflow
