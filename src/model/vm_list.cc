// Part of the model: functions on the list of VMs.
#include "sapphireflow/model/vm_list.h"

#include <algorithm>
#include <iterator>

namespace sapphireflow {

std::set<ResourceSpec> DistinctCapacities(const std::vector<Worker>& workers) {
  std::set<ResourceSpec> capacities;
  for (const Worker& worker : workers) capacities.insert(worker.capacity());
  return capacities;
}

VmList FilterByZone(const VmList& list, const std::string& zone) {
  std::vector<Worker> workers;
  std::copy_if(list.workers().begin(), list.workers().end(), std::back_inserter(workers),
               [&zone](const Worker& worker) { return worker.zone() == zone; });
  return {list.entries(), std::move(workers), list.capacities()};
}

}  // namespace sapphireflow
