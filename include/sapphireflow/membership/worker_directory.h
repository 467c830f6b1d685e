// Part of membership: the list of workers, steady through gaps in what the store shows.
#ifndef SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_
#define SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_

#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/time.h"
#include "sapphireflow/model/worker_state.h"

namespace sapphireflow {

/// @brief A worker's entry was written, or is gone.
class WorkerChange : public Comparable<WorkerChange> {
 public:
  WorkerChange(WorkerId worker, std::optional<WorkerListing> listing)
      : m_worker(std::move(worker)), m_listing(std::move(listing)) {}
  const WorkerId& worker() const { return m_worker; }
  /// @brief Not set if the entry was removed, or names no usable worker any more.
  const std::optional<WorkerListing>& listing() const { return m_listing; }
  auto Fields() const { return std::tie(m_worker, m_listing); }

 private:
  WorkerId m_worker;
  std::optional<WorkerListing> m_listing;
};

using WorkerChanges = std::vector<WorkerChange>;

/// @brief A worker whose entry is missing stays listed for a while, since entries lapse while the
/// store is away and come back with it. Not thread-safe.
class WorkerDirectory {
 public:
  /// @brief Takes a reading of all entries. Complexity: linear.
  void Replace(const WorkerListings& reading, Instant now);
  void Change(const WorkerChanges& changes, Instant now);
  /// @return the workers to count with now. Complexity: linear.
  WorkerListings Current(Instant now);
  /// @return when the next missing worker is to be given up, if one is missing.
  std::optional<Instant> NextExpiry() const;

 private:
  struct Known {
    WorkerListing listing;
    std::optional<Instant> missing_since;
  };
  std::map<WorkerId, Known> m_known;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_
