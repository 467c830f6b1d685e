// Part of membership: the set of workers that a VM owns.
#ifndef SAPPHIREFLOW_MEMBERSHIP_WORKER_ASSIGNMENT_H_
#define SAPPHIREFLOW_MEMBERSHIP_WORKER_ASSIGNMENT_H_

#include <set>
#include <tuple>
#include <utility>

#include "sapphireflow/model/comparable.h"
#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow {

/// @brief The workers that a VM, or one of its shards, owns from now on.
class WorkerAssignment : public Comparable<WorkerAssignment> {
 public:
  WorkerAssignment(WorkerListings workers, std::set<WorkerId> standby_workers)
      : m_workers(std::move(workers)), m_standby_workers(std::move(standby_workers)) {}
  const WorkerListings& workers() const { return m_workers; }
  /// @brief Workers that this VM owns as their standby owner, while their primary owner is
  /// unreachable. If the primary owner fences this VM, it is alive and has priority. May contain
  /// workers of other shards.
  const std::set<WorkerId>& standby_workers() const { return m_standby_workers; }
  auto Fields() const { return std::tie(m_workers, m_standby_workers); }

 private:
  WorkerListings m_workers;
  std::set<WorkerId> m_standby_workers;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_WORKER_ASSIGNMENT_H_
