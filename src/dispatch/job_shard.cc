// Part of dispatch: admission of jobs, placement of their runs, and handling of run reports.
#include "sapphireflow/dispatch/job_shard.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "sapphireflow/dispatch/detail/job_key_text.h"
#include "sapphireflow/dispatch/detail/log_fields.h"

namespace sapphireflow {
namespace {

// answers are kept this long for duplicate submissions that arrive late
constexpr Duration kFinishedRetention = std::chrono::seconds(10);
constexpr std::size_t kMaxFinished = 5000;
// after more consecutive declines or lost runs than this a task waits to be placed again
constexpr std::uint32_t kMaxPromptRetries = 3;
// The wait after such a decline. It doubles with each further one, up to the interval at which
// owners announce their capacity.
constexpr Duration kInitialDeclineBackoff = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaxDeclineDoublings = 2;
// By how much the run number of a task rises after a worker has known a higher one.
constexpr std::uint32_t kStaleRunStep = 12;
// Ticks arrive every 50 ms. After a longer gap a caller may have left and submitted its job to
// another entry VM, which takes it more than this.
constexpr Duration kStallThreshold = std::chrono::milliseconds(1000);
// Longer than a throttled core stalls for.
constexpr Duration kStallAfterStall = std::chrono::milliseconds(250);
// How long requests that have waited for a stalled process may be read after it has resumed.
constexpr Duration kBacklogTime = std::chrono::milliseconds(500);
// Time between reading a request and reading that its connection is closed; a throttled core stalls
// for up to 100 ms.
constexpr Duration kCloseReadTime = std::chrono::milliseconds(100);

const CancelRuns* CancelOf(const JobEffect& effect) {
  const auto* to_owner = std::get_if<SendToOwner>(&effect);
  return to_owner == nullptr ? nullptr : std::get_if<CancelRuns>(&to_owner->message());
}

// Merges the cancels for the same owner and service into one message, after all orders. They are
// repeated while the owner does not reply, and its work must not grow with the runs that wait.
void MergeCancels(const NodeId& self, JobEffects& effects) {
  const auto first_cancel =
      std::stable_partition(effects.begin(), effects.end(),
                            [](const JobEffect& effect) { return CancelOf(effect) == nullptr; });
  if (std::distance(first_cancel, effects.end()) < 2) return;
  std::map<std::pair<NodeId, std::string>, std::vector<RunKey>> merged;
  for (auto item = first_cancel; item != effects.end(); ++item) {
    const CancelRuns& cancel = *CancelOf(*item);
    auto& runs = merged[{std::get<SendToOwner>(*item).owner(), cancel.service()}];
    runs.insert(runs.end(), cancel.runs().begin(), cancel.runs().end());
  }
  effects.erase(first_cancel, effects.end());
  for (auto& [target, runs] : merged) {
    effects.emplace_back(
        SendToOwner(target.first, CancelRuns(self, target.second, std::move(runs))));
  }
}

}  // namespace

const char* JobVerdictName(JobVerdict verdict) {
  switch (verdict) {
    case JobVerdict::kCompleted:
      return "completed";
    case JobVerdict::kFailed:
      return "failed";
    case JobVerdict::kRefused:
      return "refused";
    case JobVerdict::kExpired:
      return "expired";
    case JobVerdict::kPending:
      return "pending";
    case JobVerdict::kRunning:
      return "running";
    case JobVerdict::kCancelled:
      return "cancelled";
    case JobVerdict::kNoSuchJob:
      return "no_such_job";
    case JobVerdict::kCount:
      return "count";
  }
  return "?";
}

JobShard::JobShard(const NodeId& self, const LapseTimes& times, CapacityView& capacity_view,
                   const OwnerLookup& owners, const CrashHistory& crashes,
                   std::unique_ptr<JobFeasibility> feasibility)
    : m_self(self),
      m_times(times),
      m_capacity_view(capacity_view),
      m_owners(owners),
      m_crashes(crashes),
      m_feasibility(std::move(feasibility)) {}

JobEffects JobShard::Apply(const JobInput& in) {
  JobEffects out;
  std::lock_guard<std::mutex> lock(m_mutex);
  NoteStall(in.now());
  std::visit([&](const auto& event) { On(event, in.now(), out); }, in.event());
  MergeCancels(m_self, out);
  return out;
}

std::size_t JobShard::OpenJobs() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return static_cast<std::size_t>(std::count_if(
      m_jobs.begin(), m_jobs.end(), [](const auto& item) { return !item.second.callers.empty(); }));
}

bool JobShard::Knows(JobKey key) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_jobs.find(key);
  return (found != m_jobs.end() && !found->second.closing) || m_finished.count(key) > 0;
}

std::size_t JobShard::WaitingJobs(const std::string& queue) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return static_cast<std::size_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(),
                    [&](const auto& item) { return IsWaiting(item.second, queue); }));
}

bool JobShard::IsWaiting(const Job& job, const std::string& queue) {
  return job.order->queue() == queue && !job.closing && !job.may_have_run;
}

std::set<NodeId> JobShard::OwnersInUse() const {
  std::set<NodeId> owners;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [key, job] : m_jobs) {
    for (const auto& step : job.tasks) {
      for (const Task& task : step) {
        if (task.phase != TaskPhase::kPlaced && task.phase != TaskPhase::kOrphaned) continue;
        owners.insert(task.owner);
      }
    }
  }
  return owners;
}

std::vector<RunKey> JobShard::DoubtedRuns() const {
  std::vector<RunKey> runs;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [key, job] : m_jobs) {
    for (std::uint32_t s = 0; s < job.tasks.size(); ++s) {
      for (std::uint32_t i = 0; i < job.tasks[s].size(); ++i) {
        const Task& task = job.tasks[s][i];
        // the caller of a closing job may have submitted it to another entry VM
        const bool is_unwanted = task.phase == TaskPhase::kPlaced && job.closing;
        if (!is_unwanted && task.phase != TaskPhase::kOrphaned) continue;
        runs.emplace_back(TaskKey(key, 0, s, i), task.run_number);
      }
    }
  }
  return runs;
}

void JobShard::Answer(RequestToken token, JobVerdict verdict, JobEffects& out) const {
  out.emplace_back(AnswerCaller(token, verdict, std::nullopt, Duration::zero(), 0));
}

void JobShard::On(const SubmitJobOrder& event, Instant now, JobEffects& out) {
  Submit(event, now, now, out);
}

void JobShard::NoteStall(Instant now) {
  const Duration gap = m_now ? now - *m_now : Duration::zero();
  // a process that has just resumed may stall again before it has read all that waits
  const bool is_reading = m_now && *m_now - m_resumed_at < kBacklogTime;
  if (gap > (is_reading ? kStallAfterStall : kStallThreshold)) m_resumed_at = now;
  m_now = std::max(m_now.value_or(now), now);
}

bool JobShard::MayHaveLeft(const Job& job, Instant now) const {
  if (job.received_at - m_resumed_at >= kBacklogTime) return false;
  return now - std::max(job.received_at, m_resumed_at) < kCloseReadTime;
}

void JobShard::UnblockSteps(Job& job) const {
  const auto done = [&job](std::uint32_t step) {
    return std::all_of(job.tasks[step].begin(), job.tasks[step].end(),
                       [](const Task& task) { return task.phase == TaskPhase::kDone; });
  };
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& after = job.order->steps()[i].after();
    if (!std::all_of(after.begin(), after.end(), done)) continue;
    for (Task& task : job.tasks[i]) {
      if (task.phase == TaskPhase::kBlocked) task.phase = TaskPhase::kReady;
    }
  }
}

void JobShard::PlaceReady(Job& job, Instant now, JobEffects& out) {
  if (job.closing || job.refusing) return;
  const JobOrder& order = *job.order;
  // if this process has stalled, the caller may have submitted the job to another entry VM
  const Instant deadline = DeadlineOf(job);
  if (now >= deadline) return;
  if (MayHaveLeft(job, now)) return;
  if (GiveUpCrashing(job, now, out) || GiveUpLate(job, now, out)) return;
  const WorkerFilter confinement = m_crashes.ConfinementOf(order.queue(), now);
  Batches batches;
  for (std::uint32_t s = 0; s < job.tasks.size(); ++s) {
    const StepSpec& step = order.steps()[s];
    for (std::uint32_t i = 0; i < job.tasks[s].size(); ++i) {
      Task& task = job.tasks[s][i];
      if (task.phase != TaskPhase::kReady || now < task.place_again_at) continue;
      const RunKey run(TaskKey(order.key(), 0, s, i), task.run_number + 1);
      const TaskStanding standing = m_crashes.StandingOf(run.task(), now);
      if (standing == TaskStanding::kOnHold) continue;
      task.alone = standing == TaskStanding::kSuspect;
      const RunOrder run_order(run, step.needs(), step.estimate(), step.label(), step.near_rack(),
                               step.per_worker_limit(), task.avoid, task.declines, task.alone);
      const auto offer = m_capacity_view.Reserve(order.service(), run_order,
                                                 job.received_at + order.objective() - now,
                                                 confinement, order.priority());
      if (!offer) continue;
      task.phase = TaskPhase::kPlaced;
      task.run_number = run.number();
      task.owner = offer->owner();
      task.worker.clear();
      task.incarnation.reset();
      task.placed_until = deadline;
      batches[offer->owner()].push_back(run_order);
    }
  }
  const Duration time_to_objective = job.received_at + order.objective() - now;
  for (auto& [owner, runs] : batches) {
    out.emplace_back(SendToOwner(
        owner,
        PlaceRuns(m_self, order.service(), order.payload(), time_to_objective, deadline - now,
                  order.priority(), std::move(runs), order.queue(), 0, job.may_have_run)));
  }
}

void JobShard::On(const JobOrderRequest& event, Instant now, JobEffects& out) {
  const auto finished = m_finished.find(event.job());
  if (finished != m_finished.end()) {
    Answer(event.token(), finished->second.verdict, out);
    return;
  }
  const auto found = m_jobs.find(event.job());
  if (found == m_jobs.end() || (found->second.closing && found->second.resubmissions.empty())) {
    Answer(event.token(), JobVerdict::kNoSuchJob, out);
    return;
  }
  Job& job = found->second;
  if (event.operation() == JobOperation::kState) {
    const bool runs = job.may_have_run && !job.closing;
    Answer(event.token(), runs ? JobVerdict::kRunning : JobVerdict::kPending, out);
    return;
  }
  if (job.closing) {
    AnswerResubmissions(job, JobVerdict::kCancelled, out);
    Remember(event.job(), JobVerdict::kCancelled, now);
    Answer(event.token(), JobVerdict::kCancelled, out);
    return;
  }
  Close(job, JobVerdict::kCancelled, std::nullopt, now, out);
  Answer(event.token(), JobVerdict::kCancelled, out);
  FinalizeJob(event.job(), now, out);
}

void JobShard::On(const RunReports& event, Instant now, JobEffects& out) {
  for (const RunReport& report : event.reports()) HandleReport(event.owner(), report, now, out);
}

void JobShard::HandleReport(const NodeId& owner, const RunReport& report, Instant now,
                            JobEffects& out) {
  const TaskKey& key = report.run().task();
  const auto found = m_jobs.find(key.job());
  const bool known = found != m_jobs.end() && key.step() < found->second.tasks.size() &&
                     key.index() < found->second.tasks[key.step()].size();
  Task* task = known ? &found->second.tasks[key.step()][key.index()] : nullptr;
  const bool current = known && task->run_number == report.run().number() && task->owner == owner &&
                       (task->phase == TaskPhase::kPlaced || task->phase == TaskPhase::kOrphaned);
  if (!current) {
    // stop a run that is no longer wanted: its job is gone, a later run has replaced it, or it has
    // been given up
    const std::uint32_t number = report.run().number();
    const bool replaced = known && task->run_number > number;
    const bool given_up = known && task->run_number == number && task->phase == TaskPhase::kReady;
    if (report.transition() == RunTransition::kStarted && (!known || replaced || given_up)) {
      const std::string service = known ? found->second.order->service() : "";
      out.emplace_back(SendToOwner(owner, CancelRuns(m_self, service, {report.run()})));
    }
    return;
  }
  Job& job = found->second;
  switch (report.transition()) {
    case RunTransition::kStarted:
      job.may_have_run = true;
      task->worker = report.worker();
      if (task->phase == TaskPhase::kOrphaned) LogRecovered(key, *task, now, out);
      task->phase = TaskPhase::kPlaced;
      task->incarnation = m_capacity_view.IncarnationOf(report.worker());
      task->declines = 0;
      if (job.closing) {
        out.emplace_back(
            SendToOwner(owner, CancelRuns(m_self, job.order->service(), {report.run()})));
      }
      if (job.refusing) FinishRefusal(job, now, out);
      return;
    case RunTransition::kReleased:
      task->worker = report.worker();
      if (task->phase != TaskPhase::kOrphaned) Orphan(key, *task, "released", now, out);
      task->next_request_at = now;
      job.may_have_run = true;
      return;
    case RunTransition::kEnded:
      if (report.worker().empty() && !task->worker.empty()) {
        // The owner has no record of the run. Only the worker itself can show that a run that was
        // started there has ended: it may have had another owner since.
        if (task->phase != TaskPhase::kOrphaned) Orphan(key, *task, "not_here", now, out);
        return;
      }
      // The owner does not know the requests of the one from which the worker has come.
      if (task->phase == TaskPhase::kOrphaned && report.reason() == kSilentWorkerReason) return;
      OnEnded(job, *task, report, now, out);
      break;
    case RunTransition::kDeclined:
      OnDeclined(job, *task, report, now, out);
      break;
  }
  FinalizeJob(key.job(), now, out);
}

void JobShard::OnEnded(Job& job, Task& task, const RunReport& report, Instant now,
                       JobEffects& out) {
  job.may_have_run = true;
  if (report.end() == RunEnd::kDone) {
    task.phase = TaskPhase::kDone;
    UnblockSteps(job);
    const bool all_done =
        std::all_of(job.tasks.begin(), job.tasks.end(), [](const std::vector<Task>& step) {
          return std::all_of(step.begin(), step.end(),
                             [](const Task& other) { return other.phase == TaskPhase::kDone; });
        });
    if (all_done && !job.closing) {
      Close(job, JobVerdict::kCompleted, std::nullopt, now, out);
    } else {
      ContinueJob(job, now, out);
    }
    return;
  }
  task.phase = TaskPhase::kReady;
  task.Avoid(report.worker());
  if (report.end() == RunEnd::kFailed) ++task.failures;
  ++task.ended_runs;
  if (job.closing) return;
  out.emplace_back(
      LogEvent(LogLevel::kWarning, "run_ended",
               detail::RunFields(report.run(), {{"worker", report.worker()},
                                                {"end", RunEndName(report.end())},
                                                {"why", report.reason()},
                                                {"failures", std::to_string(task.failures)}})));
  if (task.failures >= job.order->max_attempts()) {
    Close(job, JobVerdict::kFailed,
          Error(ErrorId::kTaskFailed, "task " + std::to_string(report.run().task().index()) +
                                          " of step " + std::to_string(report.run().task().step()) +
                                          " failed " + std::to_string(task.failures) + " times"),
          now, out);
    return;
  }
  if (job.refusing || task.ended_runs <= kMaxPromptRetries) ContinueJob(job, now, out);
}

void JobShard::ContinueJob(Job& job, Instant now, JobEffects& out) {
  if (job.refusing) {
    FinishRefusal(job, now, out);
  } else {
    PlaceReady(job, now, out);
  }
}

void JobShard::OnDeclined(Job& job, Task& task, const RunReport& report, Instant now,
                          JobEffects& out) {
  task.phase = TaskPhase::kReady;
  ++task.declines;
  if (report.reason() == CallOutcomeName(CallOutcome::kStaleRun)) {
    // The job was submitted before through another entry VM. How many runs of the task that VM
    // started is not known.
    task.run_number += kStaleRunStep;
  } else if (!report.worker().empty()) {
    task.Avoid(report.worker());
  }
  if (job.closing) return;
  if (job.refusing) {
    FinishRefusal(job, now, out);
    return;
  }
  // the owner does not know of a caller that has come since
  const bool is_over = report.reason() == "too_late" && task.placed_until >= DeadlineOf(job);
  if (is_over && !job.may_have_run) {
    StartRefusal(job, now, out);
    return;
  }
  if (is_over) {
    const Error cause(ErrorId::kDeadlinePassed, "no worker became free in time");
    Close(job, JobVerdict::kExpired, cause, now, out);
    return;
  }
  const bool routine = report.worker().empty() && task.declines <= kMaxPromptRetries;
  if (!routine) LogDeclined(job, task, report, now, out);
  if (task.declines <= kMaxPromptRetries) {
    PlaceReady(job, now, out);
    return;
  }
  // what is known of the owners changes with their announcements only
  const std::uint32_t doublings =
      std::min(task.declines - kMaxPromptRetries - 1, kMaxDeclineDoublings);
  task.place_again_at = now + kInitialDeclineBackoff * (1U << doublings);
}

void JobShard::LogDeclined(const Job& job, const Task& task, const RunReport& report, Instant now,
                           JobEffects& out) const {
  out.emplace_back(
      LogEvent(LogLevel::kInfo, "run_declined",
               detail::RunFields(report.run(),
                                 {{"owner", task.owner.text()},
                                  {"worker", report.worker()},
                                  {"why", report.reason()},
                                  {"in_a_row", std::to_string(task.declines)},
                                  {"after_ms", std::to_string(ToMillis(now - job.received_at))}})));
}

void JobShard::On(const JobTick& /*event*/, Instant now, JobEffects& out) {
  std::vector<JobKey> keys;
  keys.reserve(m_jobs.size());
  for (const auto& [key, job] : m_jobs) keys.push_back(key);
  for (const JobKey key : keys) {
    Job& job = m_jobs.at(key);
    ExpireCallers(job, now, out);
    GiveUpResubmissions(job, now, out);
    RefuseUnstarted(job, now, out);
    HandleOrphans(job, now, out);
    RetryCancels(job, now, out);
    FinalizeJob(key, now, out);
  }
  for (auto item = m_highest_run_numbers.begin(); item != m_highest_run_numbers.end();) {
    item = now - item->second.at > kFinishedRetention ? m_highest_run_numbers.erase(item)
                                                      : std::next(item);
  }
  while (!m_finished_order.empty() && (now - m_finished_order.front().first > kFinishedRetention ||
                                       m_finished_order.size() > kMaxFinished)) {
    m_finished.erase(m_finished_order.front().second);
    m_finished_order.pop_front();
  }
}

}  // namespace sapphireflow
