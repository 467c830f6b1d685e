// RoomBoard: complete capacity digests, and incremental ones that accompany run reports.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sapphireflow/dispatch/room_board.h"

using namespace sapphireflow;

namespace {

const NodeId kSelf(Address(1, 1), 1);
const NodeId kOwner(Address(2, 1), 1);
const std::string kService = "workshop";
const Resources kNoResources(0, 0, 0);
const Resources kFreeResources(16000, 32768, 0);
const Resources kNeeds(6000, 64, 0);

RoomDigest Digest(std::vector<WorkerRoom> rooms) {
  return {kService, std::move(rooms), Duration::zero(), 32000};
}

}  // namespace

TEST_CASE("an incremental digest replaces the workers that it lists, and no others") {
  RoomBoard local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  local_view.Update(
      kOwner, "celaya",
      Digest({WorkerRoom("w1", kFreeResources, 1), WorkerRoom("w2", kNoResources, 1)}));
  local_view.Amend(kOwner, Digest({WorkerRoom("w1", kNoResources, 1)}));
  CHECK_FALSE(local_view.HasRoomElsewhere(kService, kNeeds, false));
  local_view.Amend(kOwner, Digest({WorkerRoom("w3", kFreeResources, 1)}));
  CHECK(local_view.HasRoomElsewhere(kService, kNeeds, false));
  local_view.Update(kOwner, "celaya", Digest({}));
  CHECK_FALSE(local_view.HasRoomElsewhere(kService, kNeeds, false));
}

TEST_CASE("an incremental digest of an unknown owner is ignored until a complete one arrives") {
  RoomBoard local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  local_view.Amend(kOwner, Digest({WorkerRoom("w1", kFreeResources, 1)}));
  CHECK_FALSE(local_view.HasWorkers());
}

TEST_CASE("free capacity in another zone counts only if other zones are included") {
  RoomBoard local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  local_view.Update(kOwner, "leon", Digest({WorkerRoom("w1", kFreeResources, 1)}));
  CHECK_FALSE(local_view.HasRoomElsewhere(kService, kNeeds, false));
  CHECK(local_view.HasRoomElsewhere(kService, kNeeds, true));
  // the VM's own capacity does not count as capacity elsewhere
  local_view.Forget(kOwner);
  local_view.Update(kSelf, "celaya", Digest({WorkerRoom("w1", kFreeResources, 1)}));
  CHECK_FALSE(local_view.HasRoomElsewhere(kService, kNeeds, true));
}
