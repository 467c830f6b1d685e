// Part of queueing: implementation of the job queue.
#include "sapphireflow/queueing/job_queue.h"

namespace sapphireflow {

void JobQueue::Put(const JobId& id, const WaitingJob& job) {
  Remove(id);
  const double rank = m_policy->Rank(job);
  m_order.emplace(rank, id);
  m_entries.emplace(id, Entry{rank, job.work_left()});
  m_work += job.work_left();
}

void JobQueue::Remove(const JobId& id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return;
  m_order.erase(RankedJob(found->second.rank, id));
  m_work -= found->second.work_left;
  m_entries.erase(found);
}

Duration JobQueue::WorkAhead(const WaitingJob& job) const {
  const double rank = m_policy->Rank(job);
  Duration before{0};
  std::size_t seen = 0;
  for (const RankedJob& ranked_job : m_order) {
    if (ranked_job.first > rank) return before;
    // The queue is long: the total over all jobs is a close enough upper bound.
    if (++seen > kLookAhead) return m_work;
    before += m_entries.at(ranked_job.second).work_left;
  }
  return before;
}

}  // namespace sapphireflow
