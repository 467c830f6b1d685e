// Part of dispatch: the end of a job, and the recovery of runs whose owner was lost.
#include <algorithm>
#include <utility>

#include "sapphireflow/dispatch/detail/job_key_text.h"
#include "sapphireflow/dispatch/detail/log_fields.h"
#include "sapphireflow/dispatch/job_shard.h"

namespace sapphireflow {
namespace {

// interval at which an adopt or cancel request for an orphaned run is repeated
constexpr Duration kOrphanRequestInterval = std::chrono::milliseconds(100);
// A cancel may be lost with a link. Until the runs have ended they hold capacity, and the job
// cannot be admitted again.
constexpr Duration kCancelRetryInterval = std::chrono::milliseconds(200);

}  // namespace

void JobShard::On(const CallerDisconnected& event, Instant now, JobEffects& out) {
  const auto found = m_callers.find(event.token());
  if (found == m_callers.end()) return;
  const JobKey key = found->second;
  m_callers.erase(found);
  const auto item = m_jobs.find(key);
  if (item == m_jobs.end()) return;
  Job& job = item->second;
  auto& waiting = job.resubmissions;
  const auto left = std::find_if(waiting.begin(), waiting.end(), [&](const Resubmission& one) {
    return one.event.token() == event.token();
  });
  if (left != waiting.end()) {
    waiting.erase(left);
    return;
  }
  auto& callers = job.callers;
  callers.erase(std::remove_if(callers.begin(), callers.end(),
                               [&](const Caller& caller) { return caller.token == event.token(); }),
                callers.end());
  if (!callers.empty() || job.closing) return;
  out.emplace_back(LogEvent(LogLevel::kInfo, "caller_gone",
                            {{"job", detail::JobKeyText(key)},
                             {"after_ms", std::to_string(ToMillis(now - job.received_at))}}));
  job.closing = true;
  CancelPlaced(job, now, out);
  FinalizeJob(key, now, out);
}

void JobShard::On(const OwnerLost& event, Instant now, JobEffects& out) {
  std::vector<JobKey> keys;
  for (auto& [key, job] : m_jobs) {
    bool affected = false;
    for (std::uint32_t s = 0; s < job.tasks.size(); ++s) {
      for (std::uint32_t i = 0; i < job.tasks[s].size(); ++i) {
        Task& task = job.tasks[s][i];
        if (task.owner != event.owner()) continue;
        if (task.phase != TaskPhase::kPlaced) continue;
        Orphan(TaskKey(key, 0, s, i), task, "owner_lost", now, out);
        job.may_have_run = true;
        affected = true;
      }
    }
    if (affected) keys.push_back(key);
  }
  for (const JobKey key : keys) HandleOrphans(m_jobs.at(key), now, out);
}

void JobShard::On(const OwnerLinkLost& event, Instant now, JobEffects& out) {
  std::map<std::string, std::vector<RunKey>> unconfirmed;
  std::vector<JobKey> keys;
  for (auto& [key, job] : m_jobs) {
    bool affected = false;
    for (std::uint32_t s = 0; s < job.tasks.size(); ++s) {
      for (std::uint32_t i = 0; i < job.tasks[s].size(); ++i) {
        Task& task = job.tasks[s][i];
        if (task.owner != event.owner() || task.phase != TaskPhase::kPlaced) continue;
        if (task.worker.empty()) {
          // either the order or the report may be lost; the reply to a cancel covers both cases
          unconfirmed[job.order->service()].emplace_back(TaskKey(key, 0, s, i), task.run_number);
          continue;
        }
        Orphan(TaskKey(key, 0, s, i), task, "link_lost", now, out);
        affected = true;
      }
    }
    if (affected) keys.push_back(key);
  }
  for (auto& [service, runs] : unconfirmed) {
    out.emplace_back(SendToOwner(event.owner(), CancelRuns(m_self, service, std::move(runs))));
  }
  for (const JobKey key : keys) HandleOrphans(m_jobs.at(key), now, out);
}

bool JobShard::HasLapsed(const Task& task, Instant now) const {
  const Duration lapse = task.worker.empty() ? m_times.unconfirmed_lapse() : m_times.lapse();
  return now - task.orphaned_at >= lapse && now - task.claimed_at >= m_times.claim_lapse();
}

void JobShard::Orphan(const TaskKey& key, Task& task, const char* why, Instant now,
                      JobEffects& out) {
  task.phase = TaskPhase::kOrphaned;
  task.orphaned_at = now;
  // until now heartbeats have confirmed the run
  task.claimed_at = now;
  task.next_request_at = now;
  task.requests = 0;
  out.emplace_back(CounterIncrement("orphaned_runs_total", "state", "orphaned"));
  out.emplace_back(LogEvent(
      LogLevel::kWarning, "run_orphaned",
      detail::RunFields(RunKey(key, task.run_number),
                        {{"owner", task.owner.text()}, {"worker", task.worker}, {"why", why}})));
}

void JobShard::LogRecovered(const TaskKey& key, const Task& task, Instant now, JobEffects& out) {
  out.emplace_back(CounterIncrement("orphaned_runs_total", "state", "recovered"));
  out.emplace_back(
      LogEvent(LogLevel::kInfo, "run_recovered",
               detail::RunFields(RunKey(key, task.run_number),
                                 {{"owner", task.owner.text()},
                                  {"worker", task.worker},
                                  {"after_ms", detail::MillisText(now - task.orphaned_at)},
                                  {"requests", std::to_string(task.requests)}})));
}

void JobShard::HandleOrphans(Job& job, Instant now, JobEffects& out) {
  const JobOrder& order = *job.order;
  for (std::uint32_t s = 0; s < job.tasks.size(); ++s) {
    const StepSpec& step = order.steps()[s];
    for (std::uint32_t i = 0; i < job.tasks[s].size(); ++i) {
      Task& task = job.tasks[s][i];
      if (task.phase != TaskPhase::kOrphaned) continue;
      const bool unconfirmed = task.worker.empty();
      if (HasLapsed(task, now)) {
        out.emplace_back(
            LogEvent(LogLevel::kWarning, "run_lapsed",
                     detail::RunFields(RunKey(TaskKey(order.key(), 0, s, i), task.run_number),
                                       {{"owner", task.owner.text()},
                                        {"worker", task.worker},
                                        {"waited_ms", detail::MillisText(now - task.orphaned_at)},
                                        {"requests", std::to_string(task.requests)}})));
        out.emplace_back(CounterIncrement("orphaned_runs_total", "state", "lapsed"));
        task.phase = TaskPhase::kReady;
        if (!unconfirmed) task.Avoid(task.worker);
        if (task.incarnation) {
          // the worker was not watched meanwhile: weak evidence
          const TaskAtLoss lost(TaskKey(order.key(), 0, s, i), LossRole::kPresent);
          out.emplace_back(WorkerLoss(*task.incarnation, LossState::kSuspected, 0, "", {lost}));
        }
        continue;
      }
      if (now < task.next_request_at) continue;
      task.next_request_at = now + kOrphanRequestInterval;
      if (unconfirmed) {
        // the repeated cancels of a closing job have the same effect
        if (job.closing) continue;
        // if the owner is reachable, its reply resolves the run at once
        const RunKey run(TaskKey(order.key(), 0, s, i), task.run_number);
        ++task.requests;
        out.emplace_back(SendToOwner(task.owner, CancelRuns(m_self, order.service(), {run})));
        continue;
      }
      const auto owner = m_owners.OwnerOf(task.worker);
      if (!owner) continue;
      task.owner = *owner;
      // Each claim puts off the time at which the run has certainly lapsed. An owner that is
      // reachable will answer one.
      const Duration claim_time =
          m_owners.IsReachable(*owner) ? m_times.lapse() : m_times.lapse() - m_times.claim_lapse();
      const bool to_stop = job.closing || now - task.orphaned_at >= claim_time;
      if (!to_stop) task.claimed_at = now;
      ++task.requests;
      out.emplace_back(CounterIncrement("adoptions_total", "state", "sent"));
      out.emplace_back(SendToOwner(
          *owner,
          AdoptRun(m_self, order.service(), task.worker,
                   RunKey(TaskKey(order.key(), 0, s, i), task.run_number), step.needs(),
                   step.estimate(), task.incarnation ? task.incarnation->process_start_ms() : 0,
                   task.alone, to_stop)));
    }
  }
  PlaceReady(job, now, out);
}

bool JobShard::GiveUpCrashing(Job& job, Instant now, JobEffects& out) {
  const JobOrder& order = *job.order;
  const bool is_confined = m_crashes.ConfinementOf(order.queue(), now) != nullptr;
  const Duration time_left = DeadlineOf(job) - now;
  for (std::uint32_t s = 0; s < job.tasks.size(); ++s) {
    for (std::uint32_t i = 0; i < job.tasks[s].size(); ++i) {
      if (job.tasks[s][i].phase != TaskPhase::kReady) continue;
      const std::string name = "task " + std::to_string(i) + " of step " + std::to_string(s) + " ";
      const TaskStanding standing = m_crashes.StandingOf(TaskKey(order.key(), 0, s, i), now);
      if (standing == TaskStanding::kCondemned) {
        Close(job, JobVerdict::kFailed,
              Error(ErrorId::kTaskCrashesWorkers, name + "has crashed its workers"), now, out);
        return true;
      }
      // Another crash could not be told from a slow run before the caller leaves, and would cost
      // others a worker.
      const bool may_crash =
          standing == TaskStanding::kOnHold || (standing == TaskStanding::kSuspect && is_confined);
      if (may_crash && time_left < order.steps()[s].estimate() + m_times.worker_lapse()) {
        Close(job, JobVerdict::kExpired,
              Error(ErrorId::kTaskCrashesWorkers,
                    name + "may crash its workers, and the time left is too short to see"),
              now, out);
        return true;
      }
    }
  }
  return false;
}

void JobShard::Close(Job& job, JobVerdict verdict, std::optional<Error> cause, Instant now,
                     JobEffects& out) {
  const JobKey key = job.order->key();
  const Duration retry_after =
      verdict == JobVerdict::kRefused ? RetryAfterRoom(*job.order, now) : Duration::zero();
  for (const Caller& caller : job.callers) {
    out.emplace_back(AnswerCaller(caller.token, verdict, cause, retry_after, 0));
    m_callers.erase(caller.token);
  }
  job.callers.clear();
  job.closing = true;
  CancelPlaced(job, now, out);
  const bool is_final = verdict == JobVerdict::kCompleted || verdict == JobVerdict::kFailed ||
                        verdict == JobVerdict::kCancelled;
  if (is_final) Remember(key, verdict, now);
  const Duration response = now - job.received_at;
  out.emplace_back(JobFinished(job.order->queue(), verdict, cause ? cause->code() : "", response,
                               response > job.order->objective()));
  LogEvent::Pairs pairs = {{"job", detail::JobKeyText(key)},
                           {"queue", job.order->queue()},
                           {"verdict", JobVerdictName(verdict)},
                           {"ms", std::to_string(ToMillis(response))},
                           {"objective_ms", std::to_string(ToMillis(job.order->objective()))}};
  if (cause) pairs.emplace_back("why", cause->message());
  out.emplace_back(
      LogEvent(verdict == JobVerdict::kCompleted ? LogLevel::kInfo : LogLevel::kWarning,
               "job_answered", std::move(pairs)));
}

void JobShard::Remember(JobKey key, JobVerdict verdict, Instant now) {
  if (m_finished.emplace(key, Finished{verdict, now}).second) {
    m_finished_order.emplace_back(now, key);
  }
}

void JobShard::RetryCancels(Job& job, Instant now, JobEffects& out) const {
  if ((!job.closing && !job.refusing) || now - job.last_cancel_at < kCancelRetryInterval) return;
  CancelPlaced(job, now, out);
}

void JobShard::CancelPlaced(Job& job, Instant now, JobEffects& out) const {
  job.last_cancel_at = now;
  std::map<NodeId, std::vector<RunKey>> runs;
  for (std::uint32_t s = 0; s < job.tasks.size(); ++s) {
    for (std::uint32_t i = 0; i < job.tasks[s].size(); ++i) {
      Task& task = job.tasks[s][i];
      if (task.phase != TaskPhase::kPlaced && task.phase != TaskPhase::kOrphaned) continue;
      ++task.requests;
      const RunKey run(TaskKey(job.order->key(), 0, s, i), task.run_number);
      runs[task.owner].push_back(run);
      // the worker may have a new owner by now
      const auto owner = m_owners.OwnerOf(task.worker);
      if (owner && *owner != task.owner) runs[*owner].push_back(run);
    }
  }
  for (auto& [owner, keys] : runs) {
    out.emplace_back(SendToOwner(owner, CancelRuns(m_self, job.order->service(), std::move(keys))));
  }
}

bool JobShard::HasRunsLeft(const Job& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [](const std::vector<Task>& step) {
    return std::any_of(step.begin(), step.end(), [](const Task& task) {
      return task.phase == TaskPhase::kPlaced || task.phase == TaskPhase::kOrphaned;
    });
  });
}

void JobShard::AnswerResubmissions(Job& job, JobVerdict verdict, JobEffects& out) {
  for (const Resubmission& waiting : job.resubmissions) {
    m_callers.erase(waiting.event.token());
    Answer(waiting.event.token(), verdict, out);
  }
  job.resubmissions.clear();
}

void JobShard::FinalizeJob(JobKey key, Instant now, JobEffects& out) {
  const auto found = m_jobs.find(key);
  if (found == m_jobs.end() || !found->second.closing || HasRunsLeft(found->second)) return;
  const std::vector<Resubmission> resubmissions = std::move(found->second.resubmissions);
  if (m_finished.count(key) == 0) {
    HighestRunNumber& highest_run_number = m_highest_run_numbers[key];
    highest_run_number.at = now;
    for (const auto& step : found->second.tasks) {
      for (const Task& task : step) {
        highest_run_number.highest = std::max(highest_run_number.highest, task.run_number);
      }
    }
  }
  m_jobs.erase(found);
  for (const Resubmission& waiting : resubmissions) {
    m_callers.erase(waiting.event.token());
    Submit(waiting.event, waiting.received_at, now, out);
  }
}

}  // namespace sapphireflow
