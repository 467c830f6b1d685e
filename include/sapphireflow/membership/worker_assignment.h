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
  WorkerAssignment(WorkerListings workers, std::set<WorkerId> deputized)
      : m_workers(std::move(workers)), m_deputized(std::move(deputized)) {}
  const WorkerListings& workers() const { return m_workers; }
  /// @brief Workers owned only while their usual owner is unreachable. If the usual owner fences
  /// this VM, it is alive and has priority. May name workers of other shards.
  const std::set<WorkerId>& deputized() const { return m_deputized; }
  auto Fields() const { return std::tie(m_workers, m_deputized); }

 private:
  WorkerListings m_workers;
  std::set<WorkerId> m_deputized;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_WORKER_ASSIGNMENT_H_
