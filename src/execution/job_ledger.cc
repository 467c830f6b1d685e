// Part of execution: implementation of the job ledger.
#include "sapphireflow/execution/job_ledger.h"

#include <algorithm>

namespace sapphireflow {

JobRecord* JobLedger::Find(const JobId& id) {
  const auto found = m_records.find(id);
  return found == m_records.end() ? nullptr : &found->second;
}

JobRecord& JobLedger::Add(const JobId& id) {
  ++m_active;
  return m_records.try_emplace(id).first->second;
}

bool JobLedger::MayHaveExpired(const JobId& id, Instant now) const {
  return id.issued_at() <= m_eviction_watermark || id.issued_at() + m_retention < now;
}

void JobLedger::MarkSettled(const JobId& id, Instant now) {
  --m_active;
  // not before the time from which an unknown id of this age is refused anyway
  Instant evict_at = std::max(now, id.issued_at()) + m_retention;
  if (!m_eviction_queue.empty()) evict_at = std::max(evict_at, m_eviction_queue.back().first);
  m_eviction_queue.emplace_back(evict_at, id);
}

void JobLedger::EvictExpired(Instant now) {
  while (!m_eviction_queue.empty() && m_eviction_queue.front().first <= now) {
    const JobId& id = m_eviction_queue.front().second;
    m_eviction_watermark = std::max(m_eviction_watermark, id.issued_at());
    m_records.erase(id);
    m_eviction_queue.pop_front();
  }
}

InheritJobs JobLedger::Export() const {
  std::vector<InheritedJob> jobs;
  jobs.reserve(m_records.size());
  for (const auto& [id, record] : m_records) {
    std::optional<JobAnswer> answer;
    if (record.answer) answer = *record.answer;
    jobs.emplace_back(id, record.digest, std::move(answer));
  }
  return {m_eviction_watermark, std::move(jobs)};
}

void JobLedger::RaiseEvictionWatermark(Instant evicted_up_to) {
  m_eviction_watermark = std::max(m_eviction_watermark, evicted_up_to);
}

std::vector<JobId> JobLedger::UnansweredJobsOf(const NodeId& home) const {
  std::vector<JobId> ids;
  for (const auto& [id, record] : m_records) {
    if (record.phase == JobPhase::kInherited && id.home() == home) ids.push_back(id);
  }
  return ids;
}

}  // namespace sapphireflow
