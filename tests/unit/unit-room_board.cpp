// What owners offer: complete digests, and amendments that come with news of runs.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sapphireflow/dispatch/room_board.h"

using namespace sapphireflow;

namespace {

const NodeId kSelf(Address(1, 1), 1);
const NodeId kOwner(Address(2, 1), 1);
const std::string kService = "workshop";
const Resources kFull(0, 0, 0);
const Resources kRoom(16000, 32768, 0);
const Resources kNeeds(6000, 64, 0);

RoomDigest Digest(std::vector<WorkerRoom> rooms) {
  return {kService, std::move(rooms), Duration::zero(), 32000};
}

}  // namespace

TEST_CASE("an amendment replaces the rooms that it names, and no others") {
  RoomBoard board(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  board.Update(kOwner, "celaya", Digest({WorkerRoom("w1", kRoom, 1), WorkerRoom("w2", kFull, 1)}));
  board.Amend(kOwner, Digest({WorkerRoom("w1", kFull, 1)}));
  CHECK_FALSE(board.HasRoomElsewhere(kService, kNeeds, false));
  board.Amend(kOwner, Digest({WorkerRoom("w3", kRoom, 1)}));
  CHECK(board.HasRoomElsewhere(kService, kNeeds, false));
  board.Update(kOwner, "celaya", Digest({}));
  CHECK_FALSE(board.HasRoomElsewhere(kService, kNeeds, false));
}

TEST_CASE("an amendment by an owner that is not known waits for its complete digest") {
  RoomBoard board(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  board.Amend(kOwner, Digest({WorkerRoom("w1", kRoom, 1)}));
  CHECK_FALSE(board.HasWorkers());
}

TEST_CASE("room in another zone counts only if it is asked for") {
  RoomBoard board(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  board.Update(kOwner, "leon", Digest({WorkerRoom("w1", kRoom, 1)}));
  CHECK_FALSE(board.HasRoomElsewhere(kService, kNeeds, false));
  CHECK(board.HasRoomElsewhere(kService, kNeeds, true));
  // a VM's own room is none elsewhere
  board.Forget(kOwner);
  board.Update(kSelf, "celaya", Digest({WorkerRoom("w1", kRoom, 1)}));
  CHECK_FALSE(board.HasRoomElsewhere(kService, kNeeds, true));
}
