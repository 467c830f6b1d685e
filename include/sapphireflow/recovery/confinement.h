// Part of recovery: the workers to which a crash-prone queue is confined.
#ifndef SAPPHIREFLOW_RECOVERY_CONFINEMENT_H_
#define SAPPHIREFLOW_RECOVERY_CONFINEMENT_H_

#include <set>
#include <string>

#include "sapphireflow/model/address.h"
#include "sapphireflow/model/worker_listing.h"

namespace sapphireflow {

/// @brief Selects half of the workers of each service and availability zone, rounded up, by
/// shuffle sharding: different queues get different workers.
///
/// Depends on the queue and the addresses only, so that all VMs select the same workers. A worker
/// that has crashed returns at its address, but may have another id.
/// Complexity: O(W log W) for W workers.
std::set<Address> SelectConfinement(const std::string& queue, const WorkerListings& workers);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_RECOVERY_CONFINEMENT_H_
