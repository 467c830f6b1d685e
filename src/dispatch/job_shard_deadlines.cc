// Part of dispatch: jobs that are given up because they cannot be answered in time.
#include <algorithm>
#include <utility>

#include "sapphireflow/dispatch/detail/job_key_text.h"
#include "sapphireflow/dispatch/detail/log_fields.h"
#include "sapphireflow/dispatch/job_shard.h"
#include "sapphireflow/dispatch/shortest_run_time.h"

namespace sapphireflow {
std::vector<StepState> JobShard::StatesOf(const Job& job) {
  std::vector<StepState> states;
  states.reserve(job.tasks.size());
  for (const std::vector<Task>& step : job.tasks) {
    StepState state = StepState::kDone;
    for (const Task& task : step) {
      StepState task_state = StepState::kDone;
      if (task.phase == TaskPhase::kBlocked || task.phase == TaskPhase::kReady) {
        task_state = StepState::kWaiting;
      } else if (task.phase != TaskPhase::kDone) {
        task_state = task.worker.empty() ? StepState::kMayHaveStarted : StepState::kAtWork;
      }
      state = std::max(state, task_state);
    }
    states.push_back(state);
  }
  return states;
}

Instant JobShard::DeadlineOf(const Job& job) {
  Instant last{};
  for (const Caller& caller : job.callers) last = std::max(last, caller.deadline);
  return last;
}

bool JobShard::GiveUpLate(Job& job, Instant now, JobEffects& out) {
  if (job.closing || job.refusing) return false;
  const JobOrder& order = *job.order;
  const Duration time_left = DeadlineOf(job) - now;
  Duration longest{};
  for (const StepSpec& step : order.steps()) longest += ShortestRunTime(step.estimate());
  // the usual case: also with all steps in a row there is time
  if (longest <= time_left) return false;
  const std::vector<StepState> states = StatesOf(job);
  if (m_feasibility->CanEndInTime(order, states, time_left, 1.0)) return false;
  const double slowness = m_capacity_view.SmallestSlowness(order.service());
  if (m_feasibility->CanEndInTime(order, states, time_left, slowness)) return false;
  out.emplace_back(
      CounterIncrement("jobs_given_up_total", "state", job.may_have_run ? "started" : "unstarted"));
  out.emplace_back(
      LogEvent(LogLevel::kInfo, "job_given_up",
               {{"job", detail::JobKeyText(order.key())},
                {"priority", std::to_string(order.priority())},
                {"started", job.may_have_run ? "yes" : "no"},
                {"left_ms", detail::MillisText(time_left)},
                {"needs_ms", detail::MillisText(EarliestEnd(order, states, slowness))}}));
  if (job.may_have_run) {
    Close(job, JobVerdict::kExpired,
          Error(ErrorId::kDeadlinePassed,
                "the tasks that are left cannot end before the caller's deadline"),
          now, out);
  } else {
    StartRefusal(job, now, out);
  }
  return true;
}

void JobShard::StartRefusal(Job& job, Instant now, JobEffects& out) {
  job.refusing = true;
  job.refused_until = DeadlineOf(job);
  CancelPlaced(job, now, out);
  FinishRefusal(job, now, out);
}

bool JobShard::IsCrowdedOut(const Job& job, Instant now) const {
  const JobOrder& order = *job.order;
  const auto longest_wait =
      m_feasibility->LongestWait(order, StatesOf(job), DeadlineOf(job) - now,
                                 m_capacity_view.SmallestSlowness(order.service()));
  return longest_wait && m_capacity_view.IsFullFor(order, *longest_wait, now);
}

void JobShard::RefuseUnstarted(Job& job, Instant now, JobEffects& out) {
  if (job.closing || job.refusing || job.may_have_run) return;
  // a run that is still placed may have started in an evacuated zone, where it is not to be stopped
  const bool is_evacuated = m_capacity_view.IsEvacuated(job.order->service()) && !HasRunsLeft(job);
  if (is_evacuated || IsCrowdedOut(job, now)) StartRefusal(job, now, out);
}

void JobShard::FinishRefusal(Job& job, Instant now, JobEffects& out) {
  if (job.may_have_run) {
    job.refusing = false;
    PlaceReady(job, now, out);
  } else if (!HasRunsLeft(job) && DeadlineOf(job) > job.refused_until) {
    // callers that have come since have more time than those before, for which the job may still
    // run
    job.refusing = false;
    AnswerCallers(job, job.refused_until, out);
    PlaceReady(job, now, out);
  } else if (!HasRunsLeft(job)) {
    Close(job, JobVerdict::kRefused,
          Error(ErrorId::kCannotFinishInTime, "no worker became free in time"), now, out);
  }
}

void JobShard::AnswerCallers(Job& job, Instant until, JobEffects& out) {
  const auto first =
      std::stable_partition(job.callers.begin(), job.callers.end(),
                            [until](const Caller& caller) { return caller.deadline > until; });
  for (auto caller = first; caller != job.callers.end(); ++caller) {
    out.emplace_back(
        AnswerCaller(caller->token, JobVerdict::kExpired,
                     Error(ErrorId::kDeadlinePassed,
                           "the job cannot end before this caller's deadline, but goes on for "
                           "another one"),
                     Duration::zero(), 0));
    m_callers.erase(caller->token);
  }
  job.callers.erase(first, job.callers.end());
}

void JobShard::ExpireCallers(Job& job, Instant now, JobEffects& out) {
  if (job.closing) return;
  if (now < DeadlineOf(job)) {
    AnswerCallers(job, now, out);
    return;
  }
  Close(job, JobVerdict::kExpired,
        Error(ErrorId::kDeadlinePassed, "the caller's deadline has passed"), now, out);
}

void JobShard::GiveUpResubmissions(Job& job, Instant now, JobEffects& out) {
  if (job.resubmissions.empty()) return;
  const double slowness = m_capacity_view.SmallestSlowness(job.order->service());
  const auto can_end = [&](const Resubmission& waiting) {
    const JobOrder& order = *waiting.event.order();
    const std::vector<StepState> unstarted(order.steps().size(), StepState::kWaiting);
    return m_feasibility->CanEndInTime(order, unstarted, waiting.deadline() - now, slowness) &&
           now < waiting.deadline();
  };
  const auto first =
      std::stable_partition(job.resubmissions.begin(), job.resubmissions.end(), can_end);
  for (auto waiting = first; waiting != job.resubmissions.end(); ++waiting) {
    m_callers.erase(waiting->event.token());
    out.emplace_back(
        AnswerCaller(waiting->event.token(), JobVerdict::kExpired,
                     Error(ErrorId::kDeadlinePassed, "earlier runs of the job did not end in time"),
                     Duration::zero(), 0));
  }
  job.resubmissions.erase(first, job.resubmissions.end());
}

}  // namespace sapphireflow
