// The promises.
#include "ledger.h"

namespace sapphireflow::soak {

void Ledger::Submitted(const JobPlan& plan) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_jobs[plan.name].plan = plan;
}

const JobPlan* Ledger::Find(const std::string& job) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_jobs.find(job);
  // plans are never erased or changed, so the pointer stays good
  return found == m_jobs.end() ? nullptr : &found->second.plan;
}

void Ledger::Answered(const std::string& job, CallerEnd end, bool all_rejected) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Job& record = m_jobs.at(job);
  record.answered = true;
  record.end = end;
  record.all_rejected = all_rejected;
  if (end == CallerEnd::kServed && record.done.size() < record.plan.tasks) {
    m_violations.push_back("partial: " + job + " was told completed with " +
                           std::to_string(record.done.size()) + " of " +
                           std::to_string(record.plan.tasks) + " tasks done");
  }
}

void Ledger::Started(const std::string& worker, std::int64_t capacity, const std::string& task,
                     const std::string& payload, Instant at) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_starts;
  const auto found = m_jobs.find(JobOf(task));
  if (found == m_jobs.end() || found->second.plan.payload != payload) {
    m_violations.push_back("unasked: " + worker + " was told to start " + task);
    return;
  }
  Job& job = found->second;
  job.started.insert(task);
  auto& places = m_running[task];
  for (const std::string& place : places) {
    if (at >= m_lease_ends[place]) continue;
    m_violations.push_back("twice: " + task + " was started on " + worker + " while it ran on " +
                           place);
  }
  places.insert(worker);
  m_taken[worker] += job.plan.milli_cores;
  if (m_taken[worker] > capacity) {
    m_violations.push_back("limit: " + task + " brings " + worker + " to " +
                           std::to_string(m_taken[worker]) + " of " + std::to_string(capacity));
  }
}

void Ledger::Ended(const std::string& worker, const std::string& task, bool done) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto running = m_running.find(task);
  if (running == m_running.end() || running->second.erase(worker) == 0) return;
  if (running->second.empty()) m_running.erase(running);
  Job& job = m_jobs.at(JobOf(task));
  m_taken[worker] -= job.plan.milli_cores;
  if (done) job.done.insert(task);
}

void Ledger::LeaseEnds(const std::string& worker, Instant at) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_lease_ends[worker] = at;
}

void Ledger::WorkerDied(const std::string& worker) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (auto item = m_running.begin(); item != m_running.end();) {
    item->second.erase(worker);
    item = item->second.empty() ? m_running.erase(item) : std::next(item);
  }
  m_taken.erase(worker);
}

void Ledger::Broken(const std::string& what) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_violations.push_back(what);
}

void Ledger::Finish() {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [name, job] : m_jobs) {
    if (job.answered && job.all_rejected && !job.started.empty()) {
      m_violations.push_back("refused: " + name + " was refused each time, and " +
                             *job.started.begin() + " has run");
    }
  }
}

Tally Ledger::tally() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  Tally tally;
  tally.starts = m_starts;
  for (const auto& [name, job] : m_jobs) {
    if (!job.answered) continue;
    if (job.end == CallerEnd::kServed) ++tally.served;
    if (job.end == CallerEnd::kFailed) ++tally.failed;
    if (job.end == CallerEnd::kRefused) ++tally.refused;
    if (job.end == CallerEnd::kUnanswered) ++tally.unanswered;
  }
  return tally;
}

std::vector<std::string> Ledger::violations() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_violations;
}

Ledger::Owed Ledger::OwedSince(Instant since) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  Owed owed;
  for (const auto& [name, job] : m_jobs) {
    if (!job.answered || job.plan.submitted_at < since || job.plan.poison) continue;
    ++owed.jobs;
    if (job.end != CallerEnd::kServed) owed.not_served.push_back(name);
  }
  return owed;
}

}  // namespace sapphireflow::soak
