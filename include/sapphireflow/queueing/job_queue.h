// Part of queueing: the jobs that have tasks to start, in the order of a policy.
#ifndef SAPPHIREFLOW_QUEUEING_JOB_QUEUE_H_
#define SAPPHIREFLOW_QUEUEING_JOB_QUEUE_H_

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

#include "sapphireflow/model/ids.h"
#include "sapphireflow/queueing/order_policy.h"

namespace sapphireflow {

/// @brief Ordered set of waiting jobs. Not thread-safe: its shard's lock guards it.
class JobQueue {
 public:
  explicit JobQueue(std::unique_ptr<OrderPolicy> policy) : m_policy(std::move(policy)) {}

  /// @brief Adds the job or gives it a new place. Complexity: logarithmic.
  void Put(const JobId& id, const WaitingJob& job);
  /// @brief Takes the job out; nothing happens if it is not queued. Complexity: logarithmic.
  void Remove(const JobId& id);
  bool empty() const { return m_order.empty(); }
  std::size_t size() const { return m_order.size(); }
  /// @brief The queued jobs, first one first.
  auto begin() const { return m_order.begin(); }
  auto end() const { return m_order.end(); }
  const JobId& front() const { return m_order.begin()->second; }
  /// @brief Predicted run time of all tasks of queued jobs that are ranked before `job`.
  ///
  /// Complexity: linear in the number of jobs before it, at most `kLookAhead`.
  Duration WorkAhead(const WaitingJob& job) const;

 private:
  static constexpr std::size_t kLookAhead = 256;
  using RankedJob = std::pair<double, JobId>;
  struct Entry {
    double rank;
    Duration work_left;
  };

  std::unique_ptr<OrderPolicy> m_policy;
  // invariant: holds exactly the keys of m_entries, each under its rank there
  std::set<RankedJob> m_order;
  std::unordered_map<JobId, Entry> m_entries;
  // invariant: sum of work_left over m_entries
  Duration m_work{0};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_QUEUEING_JOB_QUEUE_H_
