// Part of membership: the list of workers, steady through gaps in what the store shows.
#ifndef SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_
#define SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_

#include <map>

#include "sapphireflow/model/time.h"
#include "sapphireflow/model/worker_state.h"

namespace sapphireflow {

/// @brief Merges readings: a worker that is missing stays listed for a while, since entries lapse
/// while the store is away and come back with it. Not thread-safe.
class WorkerDirectory {
 public:
  /// @return the workers to count with after this reading. Complexity: linear.
  WorkerListings Merge(const WorkerListings& reading, Instant now);

 private:
  struct Known {
    WorkerListing listing;
    Instant seen_at;
  };
  std::map<WorkerId, Known> m_known;
  Instant m_read_at{};
  // when the store answered again after a gap
  Instant m_back_at{};
};

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_MEMBERSHIP_WORKER_DIRECTORY_H_
