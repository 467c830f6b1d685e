// Part of execution: one shard of a process's jobs and workers, with its own lock.
#ifndef SAPPHIREFLOW_EXECUTION_SHARD_H_
#define SAPPHIREFLOW_EXECUTION_SHARD_H_

#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "sapphireflow/execution/retry_policy.h"
#include "sapphireflow/execution/shard_effect.h"
#include "sapphireflow/execution/shard_event.h"
#include "sapphireflow/pipeline/filter.h"

namespace sapphireflow {

/// @brief The names of a shard's policies, and its limits.
class ShardOptions : public Comparable<ShardOptions> {
 public:
  ShardOptions() = default;
  ShardOptions(std::string admission, std::string order, std::string placement,
               std::string outliers, std::string retry, Duration retention, Duration reply_margin,
               bool borrowing)
      : m_admission(std::move(admission)),
        m_order(std::move(order)),
        m_placement(std::move(placement)),
        m_outliers(std::move(outliers)),
        m_retry(std::move(retry)),
        m_retention(retention),
        m_reply_margin(reply_margin),
        m_borrowing(borrowing) {}
  const std::string& admission() const { return m_admission; }
  const std::string& order() const { return m_order; }
  const std::string& placement() const { return m_placement; }
  const std::string& outliers() const { return m_outliers; }
  const std::string& retry() const { return m_retry; }
  /// @brief How long an answer is kept; also the maximum age of an id that is admitted.
  Duration retention() const { return m_retention; }
  /// @brief An answer is sent at the latest this long before the deadline.
  Duration reply_margin() const { return m_reply_margin; }
  bool borrowing() const { return m_borrowing; }
  auto Fields() const {
    return std::tie(m_admission, m_order, m_placement, m_outliers, m_retry, m_retention,
                    m_reply_margin, m_borrowing);
  }

 private:
  std::string m_admission = "predictive";
  std::string m_order = "weighted-shortest";
  std::string m_placement = "fastest";
  std::string m_outliers = "consecutive-failures";
  std::string m_retry = "budgeted";
  Duration m_retention = std::chrono::seconds(120);
  Duration m_reply_margin = std::chrono::milliseconds(5);
  bool m_borrowing = true;
};

/// @brief Summary of a shard for heartbeats, status and metrics.
class ShardDigest : public Comparable<ShardDigest> {
 public:
  ShardDigest(std::uint32_t free_slots, std::uint32_t total_slots, std::size_t queued_jobs,
              std::size_t active_jobs, std::size_t remembered_jobs, std::uint64_t table_version)
      : m_free_slots(free_slots),
        m_total_slots(total_slots),
        m_queued_jobs(queued_jobs),
        m_active_jobs(active_jobs),
        m_remembered_jobs(remembered_jobs),
        m_table_version(table_version) {}
  /// @brief Number of slots that the shard can lend; 0 while its own jobs wait.
  std::uint32_t free_slots() const { return m_free_slots; }
  std::uint32_t total_slots() const { return m_total_slots; }
  std::size_t queued_jobs() const { return m_queued_jobs; }
  std::size_t active_jobs() const { return m_active_jobs; }
  /// @brief Number of stored jobs, including settled ones.
  std::size_t remembered_jobs() const { return m_remembered_jobs; }
  std::uint64_t table_version() const { return m_table_version; }
  auto Fields() const {
    return std::tie(m_free_slots, m_total_slots, m_queued_jobs, m_active_jobs, m_remembered_jobs,
                    m_table_version);
  }

 private:
  std::uint32_t m_free_slots;
  std::uint32_t m_total_slots;
  std::size_t m_queued_jobs;
  std::size_t m_active_jobs;
  std::size_t m_remembered_jobs;
  std::uint64_t m_table_version;
};

namespace detail {
class ShardPipeline;
}  // namespace detail

/// @brief Makes all decisions about its share of the jobs and workers.
///
/// Thread-safe: one lock guards the whole shard, and no thread blocks while it holds the lock.
class Shard : public Filter<ShardInput, ShardEffects> {
 public:
  /// @param seed for policies that use random numbers
  /// Precondition: the names in `options` are known (the settings check them).
  Shard(const ShardAddress& self, const ShardOptions& options, std::uint64_t seed);
  ~Shard() override;

  /// @return the side effects of the event, in the order in which to carry them out.
  ShardEffects Apply(const ShardInput& input) override;
  ShardDigest Digest() const;
  /// @brief From now on, forwards submissions under unknown ids to the successor.
  /// @return all stored jobs.
  InheritJobs Seal();
  /// @brief Copies all stored jobs.
  InheritJobs Export() const;

 private:
  mutable std::mutex m_mutex;
  // invariant: guarded by m_mutex
  std::unique_ptr<detail::ShardPipeline> m_pipeline;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_EXECUTION_SHARD_H_
