// Part of queueing: a priority queue of the jobs that have tasks to start.
#ifndef SAPPHIREFLOW_QUEUEING_JOB_QUEUE_H_
#define SAPPHIREFLOW_QUEUEING_JOB_QUEUE_H_

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/queueing/order_policy.h"

namespace sapphireflow {

/// @brief Waiting jobs in the order of an `OrderPolicy`. Not thread-safe: guarded by its shard's
/// lock.
class JobQueue {
 public:
  explicit JobQueue(std::unique_ptr<OrderPolicy> policy) : m_policy(std::move(policy)) {}

  /// @brief Adds the job, or moves it if it is queued already. Complexity: logarithmic.
  void Put(const JobId& id, const WaitingJob& job);
  /// @brief Removes the job; does nothing if it is not queued. Complexity: logarithmic.
  void Remove(const JobId& id);
  bool empty() const { return m_order.empty(); }
  std::size_t size() const { return m_order.size(); }
  /// @brief Iterates over (rank, job id) pairs, lowest rank first.
  auto begin() const { return m_order.begin(); }
  auto end() const { return m_order.end(); }
  const JobId& front() const { return m_order.begin()->second; }
  /// @brief Total predicted run time of the unfinished tasks of all queued jobs ranked up to `job`.
  ///
  /// Once more than `kLookAhead` jobs are ahead, the total over the whole queue is returned
  /// instead. Complexity: linear in the number of jobs ahead, at most `kLookAhead`.
  Duration WorkAhead(const WaitingJob& job) const;

 private:
  static constexpr std::size_t kLookAhead = 256;
  using RankedJob = std::pair<double, JobId>;
  struct Entry {
    double rank;
    Duration work_left;
  };

  std::unique_ptr<OrderPolicy> m_policy;
  // invariant: holds exactly the keys of m_entries, each with the rank stored there
  std::set<RankedJob> m_order;
  std::unordered_map<JobId, Entry> m_entries;
  // invariant: sum of work_left over m_entries
  Duration m_work{0};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_QUEUEING_JOB_QUEUE_H_
