// CapacityView: complete capacity digests, and incremental ones that accompany run reports.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sapphireflow/dispatch/capacity_view.h"

using namespace sapphireflow;

namespace {

const NodeId kSelf(Address(1, 1), 1);
const NodeId kOwner(Address(2, 1), 1);
const std::string kService = "workshop";
const Resources kNoResources(0, 0, 0);
const Resources kFreeResources(16000, 32768, 0);
const Resources kNeeds(6000, 64, 0);

CapacityDigest Digest(std::vector<WorkerFreeCapacity> free_capacity) {
  return {kService, std::move(free_capacity), Duration::zero(), 32000};
}

}  // namespace

TEST_CASE("an incremental digest replaces the workers that it lists, and no others") {
  CapacityView local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  local_view.Update(kOwner, "celaya",
                    Digest({WorkerFreeCapacity("w1", kFreeResources, 1),
                            WorkerFreeCapacity("w2", kNoResources, 1)}));
  local_view.MergeDigest(kOwner, Digest({WorkerFreeCapacity("w1", kNoResources, 1)}));
  CHECK_FALSE(local_view.HasFreeCapacityElsewhere(kService, kNeeds, false));
  local_view.MergeDigest(kOwner, Digest({WorkerFreeCapacity("w3", kFreeResources, 1)}));
  CHECK(local_view.HasFreeCapacityElsewhere(kService, kNeeds, false));
  local_view.Update(kOwner, "celaya", Digest({}));
  CHECK_FALSE(local_view.HasFreeCapacityElsewhere(kService, kNeeds, false));
}

TEST_CASE("an incremental digest of an unknown owner is ignored until a complete one arrives") {
  CapacityView local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  local_view.MergeDigest(kOwner, Digest({WorkerFreeCapacity("w1", kFreeResources, 1)}));
  CHECK_FALSE(local_view.HasWorkers());
}

TEST_CASE("free capacity in another zone counts only if other zones are included") {
  CapacityView local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  local_view.Update(kOwner, "leon", Digest({WorkerFreeCapacity("w1", kFreeResources, 1)}));
  CHECK_FALSE(local_view.HasFreeCapacityElsewhere(kService, kNeeds, false));
  CHECK(local_view.HasFreeCapacityElsewhere(kService, kNeeds, true));
  // the VM's own capacity does not count as capacity elsewhere
  local_view.Forget(kOwner);
  local_view.Update(kSelf, "celaya", Digest({WorkerFreeCapacity("w1", kFreeResources, 1)}));
  CHECK_FALSE(local_view.HasFreeCapacityElsewhere(kService, kNeeds, true));
}
