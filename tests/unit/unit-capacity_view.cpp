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

TEST_CASE("a digest is forgotten unless another one arrives in time") {
  const Instant now = FromUnixMillis(1700000000000);
  const Duration lifetime = std::chrono::seconds(3);
  CapacityView local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  local_view.Update(kOwner, "celaya", Digest({}), DigestTimes(now, now + lifetime));
  local_view.DropExpired(now + lifetime / 2);
  CHECK(local_view.HasWorkers());
  local_view.Update(kOwner, "celaya", Digest({}), DigestTimes(now, now + 2 * lifetime));
  local_view.DropExpired(now + lifetime);
  CHECK(local_view.HasWorkers());
  local_view.DropExpired(now + 2 * lifetime);
  CHECK_FALSE(local_view.HasWorkers());
}

TEST_CASE(
    "a relay passes on the freest workers of owners in other zones, but not what it was told") {
  const Instant now = FromUnixMillis(1700000000000);
  const NodeId told_owner(Address(3, 1), 1);
  CapacityView relay(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  relay.Update(kSelf, "celaya", Digest({WorkerFreeCapacity("w0", kFreeResources, 1)}));
  relay.Update(
      kOwner, "leon",
      Digest({WorkerFreeCapacity("w1", kNeeds, 1), WorkerFreeCapacity("w2", kFreeResources, 1),
              WorkerFreeCapacity("w3", kNoResources, 1)}));
  relay.UpdateRelayed(CapacityAnnouncement(told_owner, "leon", {Digest({})}), now,
                      DigestTimes(now, now + std::chrono::seconds(3)));
  const auto announcements = relay.OtherZones(2);
  REQUIRE(announcements.size() == 1);
  CHECK(announcements[0].owner() == kOwner);
  CHECK(announcements[0].zone() == "leon");
  REQUIRE(announcements[0].digests().size() == 1);
  CHECK(announcements[0].digests()[0].free_capacity() ==
        std::vector<WorkerFreeCapacity>{WorkerFreeCapacity("w2", kFreeResources, 1),
                                        WorkerFreeCapacity("w1", kNeeds, 1)});

  // a member uses what it is told until the owner's own digest arrives
  CapacityView member(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  member.UpdateRelayed(announcements[0], now, DigestTimes(now, now + std::chrono::seconds(3)));
  CHECK(member.HasFreeCapacityElsewhere(kService, kNeeds, true));
  CHECK(member.OtherZones(2).empty());
  member.Update(kOwner, "leon", Digest({}), DigestTimes(now, now + std::chrono::seconds(3)));
  member.UpdateRelayed(announcements[0], now, DigestTimes(now, now + std::chrono::seconds(3)));
  CHECK_FALSE(member.HasFreeCapacityElsewhere(kService, kNeeds, true));
}

TEST_CASE("an order that is confined to some workers goes to an owner of one that is free") {
  const NodeId other(Address(3, 1), 1);
  const auto listing = [](const std::string& id, std::uint32_t ip) {
    return WorkerListing(id, Address(ip, 80), kService, "celaya", std::vector<std::string>(),
                         kFreeResources, 1, false);
  };
  CapacityView local_view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  local_view.SetListings({listing("w1", 10), listing("w2", 11)});
  local_view.Update(kOwner, "celaya", Digest({WorkerFreeCapacity("w1", kFreeResources, 1)}));
  local_view.Update(other, "celaya", Digest({WorkerFreeCapacity("w2", kFreeResources, 1)}));
  const WorkerFilter only_w2 = [](const Address& worker) { return worker.ip() == 11; };
  const WorkerFilter none = [](const Address& /*worker*/) { return false; };
  const RunOrder order(RunKey(TaskKey(1, 0, 0, 0), 1), kNeeds, std::chrono::milliseconds(100), "",
                       "", 0, {});
  CHECK(local_view.HasFreeCapacity(kService, kNeeds, only_w2));
  CHECK_FALSE(local_view.HasFreeCapacity(kService, kNeeds, none));
  CHECK_FALSE(local_view.HasFreeCapacityElsewhere(kService, kNeeds, true, none));
  const auto offer = local_view.Reserve(kService, order, std::chrono::seconds(1), only_w2);
  REQUIRE(offer);
  CHECK(offer->owner() == other);
  CHECK_FALSE(local_view.Reserve(kService, order, std::chrono::seconds(1), none));
}
