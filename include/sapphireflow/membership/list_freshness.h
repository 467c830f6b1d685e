// Part of membership: whether the list of workers is recent enough to start runs by it.
#ifndef SAPPHIREFLOW_MEMBERSHIP_LIST_FRESHNESS_H_
#define SAPPHIREFLOW_MEMBERSHIP_LIST_FRESHNESS_H_

#include <cstdint>

#include "sapphireflow/model/time.h"

namespace sapphireflow {

/// @brief Counts the changes of a VM's copy of the list of workers.
using WorkerListRevision = std::uint64_t;

/// @brief Tells an owner whether it may start runs by the capacities that it knows. Thread-safe.
class ListFreshness {
 public:
  virtual ~ListFreshness() = default;
  /// @param in_force revision of the list that the caller uses
  virtual bool IsFresh(WorkerListRevision in_force, Instant now) const = 0;
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_LIST_FRESHNESS_H_
