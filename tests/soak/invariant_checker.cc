// Checks of the guarantees; the word before the colon of a violation names the check.
#include "invariant_checker.h"

namespace sapphireflow::soak {
namespace {

// after as many crashes a task may be started fewer than this many times more
constexpr int kMaxCrashes = 3;

}  // namespace

bool IsDeadly(const JobPlan& plan, const std::string& task) {
  return plan.deadly && task == plan.name + ".0.0.0";
}

void InvariantChecker::Submitted(const JobPlan& plan) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_jobs[plan.name].plan = plan;
}

const JobPlan* InvariantChecker::Find(const std::string& job) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_jobs.find(job);
  // plans are never erased or changed, so the pointer stays valid
  return found == m_jobs.end() ? nullptr : &found->second.plan;
}

bool InvariantChecker::HasStarted(const std::string& job) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return !m_jobs.at(job).started.empty();
}

void InvariantChecker::Answered(const std::string& job, CallerOutcome end, bool all_rejected) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Job& record = m_jobs.at(job);
  record.answered = true;
  record.end = end;
  record.all_rejected = all_rejected;
  if (end == CallerOutcome::kServed && record.done.size() < record.plan.tasks) {
    m_violations.push_back("partial: " + job + " was reported as completed with " +
                           std::to_string(record.done.size()) + " of " +
                           std::to_string(record.plan.tasks) + " tasks done");
  }
}

void InvariantChecker::Started(const std::string& worker, std::int64_t capacity,
                               const std::string& task, const std::string& payload, Instant at) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_starts;
  const auto found = m_jobs.find(JobNameOf(task));
  if (found == m_jobs.end() || found->second.plan.payload != payload) {
    m_violations.push_back(
        "unasked: " + worker +
        " was ordered to start a task that no caller submitted like this: " + task);
    return;
  }
  Job& job = found->second;
  job.started.insert(task);
  if (IsDeadly(job.plan, task) && job.crashes >= kMaxCrashes &&
      ++job.starts_after_crashes == kMaxCrashes) {
    m_violations.push_back("budget: " + task + " was started " + std::to_string(kMaxCrashes) +
                           " times more after " + std::to_string(job.crashes) + " crashes");
  }
  auto& running_on = m_running[task];
  for (const std::string& other_worker : running_on) {
    if (at >= m_lease_expiries[other_worker]) continue;
    m_violations.push_back("twice: " + task + " was started on " + worker + " while it ran on " +
                           other_worker);
  }
  running_on.insert(worker);
  m_used_milli_cores[worker] += job.plan.milli_cores;
  if (m_used_milli_cores[worker] > capacity) {
    m_violations.push_back("limit: " + task + " raises the CPU use of " + worker + " to " +
                           std::to_string(m_used_milli_cores[worker]) + " of " +
                           std::to_string(capacity));
  }
}

void InvariantChecker::Ended(const std::string& worker, const std::string& task, bool done) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto running = m_running.find(task);
  if (running == m_running.end() || running->second.erase(worker) == 0) return;
  if (running->second.empty()) m_running.erase(running);
  Job& job = m_jobs.at(JobNameOf(task));
  m_used_milli_cores[worker] -= job.plan.milli_cores;
  if (done) job.done.insert(task);
}

void InvariantChecker::Crashed(const std::string& task) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_jobs.at(JobNameOf(task)).crashes;
}

void InvariantChecker::SetLeaseExpiry(const std::string& worker, Instant at) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_lease_expiries[worker] = at;
}

void InvariantChecker::WorkerRestarted(const std::string& worker) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto item = m_running.begin(); item != m_running.end();) {
    item->second.erase(worker);
    item = item->second.empty() ? m_running.erase(item) : std::next(item);
  }
  m_used_milli_cores.erase(worker);
}

void InvariantChecker::AddViolation(const std::string& what) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_violations.push_back(what);
}

void InvariantChecker::Finish() {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [name, job] : m_jobs) {
    if (job.answered && job.all_rejected && !job.started.empty()) {
      m_violations.push_back("refused: " + name + " was refused each time, but " +
                             *job.started.begin() + " was started");
    }
  }
}

Tally InvariantChecker::tally() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  Tally tally;
  tally.starts = m_starts;
  for (const auto& [name, job] : m_jobs) {
    tally.crashes += static_cast<std::uint32_t>(job.crashes);
    if (!job.answered) continue;
    if (job.end == CallerOutcome::kServed) ++tally.served;
    if (job.end == CallerOutcome::kFailed) ++tally.failed;
    if (job.end == CallerOutcome::kRefused) ++tally.refused;
    if (job.end == CallerOutcome::kUnanswered) ++tally.unanswered;
  }
  return tally;
}

std::vector<std::string> InvariantChecker::violations() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_violations;
}

InvariantChecker::FaultFreeJobs InvariantChecker::JobsSubmittedSince(Instant since) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  FaultFreeJobs fault_free_jobs;
  for (const auto& [name, job] : m_jobs) {
    if (!job.answered || job.plan.submitted_at < since || job.plan.poison || job.plan.deadly) {
      continue;
    }
    ++fault_free_jobs.jobs;
    if (job.end != CallerOutcome::kServed) fault_free_jobs.not_served.push_back(name);
  }
  return fault_free_jobs;
}

}  // namespace sapphireflow::soak
