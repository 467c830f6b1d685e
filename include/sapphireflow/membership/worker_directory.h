// Part of membership: the list of workers, kept stable while entries are missing from the store.
#ifndef SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_
#define SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_

#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"
#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow {

/// @brief An update or removal of one worker's entry in the store.
class WorkerChange : public Comparable<WorkerChange> {
 public:
  WorkerChange(WorkerId worker, std::optional<WorkerListing> listing)
      : m_worker(std::move(worker)), m_listing(std::move(listing)) {}
  const WorkerId& worker() const { return m_worker; }
  /// @brief Empty if the entry was removed or no longer describes a usable worker.
  const std::optional<WorkerListing>& listing() const { return m_listing; }
  auto Fields() const { return std::tie(m_worker, m_listing); }

 private:
  WorkerId m_worker;
  std::optional<WorkerListing> m_listing;
};

using WorkerChanges = std::vector<WorkerChange>;

/// @brief Tracks the listed workers and keeps a worker listed for a while after its entry went
/// missing, because entries expire while the store is unavailable and are rewritten after it
/// returns. Not thread-safe.
class WorkerDirectory {
 public:
  /// @brief Applies a full snapshot of the entries; workers not in it count as missing.
  /// Complexity: O(n log n).
  void ApplySnapshot(const WorkerListings& snapshot, Instant now);
  void ApplyChanges(const WorkerChanges& changes, Instant now);
  /// @brief Drops workers that have been missing for too long.
  /// @return the workers that remain. Complexity: linear.
  WorkerListings Current(Instant now);
  /// @return when the next missing worker expires; empty if none is missing.
  std::optional<Instant> NextExpiry() const;

 private:
  struct KnownWorker {
    WorkerListing listing;
    std::optional<Instant> missing_since;
  };
  std::map<WorkerId, KnownWorker> m_known;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_
