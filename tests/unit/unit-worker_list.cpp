// Tests of WorkerList: which relay a VM follows, and when its copy is complete.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sapphireflow/membership/worker_list.h"

using namespace sapphireflow;

namespace {

const NodeId kSelf(Address(1, 1), 1);
const NodeId kRelay(Address(2, 1), 1);
const NodeId kOtherRelay(Address(3, 1), 1);
const Instant kStart = FromUnixMillis(1700000000000);

Duration Millis(int millis) { return std::chrono::milliseconds(millis); }

WorkerListing Listing(const std::string& id, bool draining = false) {
  return {id, Address(10, 80), "workshop", "celaya", {}, Resources(16000, 32768, 0), 1, draining};
}

WorkerListUpdate Whole(const NodeId& relay, WorkerListVersion version,
                       const WorkerListings& listings) {
  WorkerChanges changes;
  for (const WorkerListing& listing : listings) changes.emplace_back(listing.id(), listing);
  return {relay, 0, version, changes};
}

}  // namespace

TEST_CASE("a relay passes on only what has changed") {
  WorkerList list(kSelf);
  const auto first = list.OnRead({Listing("w1"), Listing("w2")}, true, kStart);
  REQUIRE(first);
  CHECK(first->base() == 0);
  CHECK(first->changes().size() == 2);
  CHECK_FALSE(list.OnRead({Listing("w1"), Listing("w2")}, true, kStart));
  const auto second = list.OnRead({Listing("w1", true), Listing("w3")}, true, kStart);
  REQUIRE(second);
  CHECK(second->base() == first->version());
  CHECK(second->version() == list.own_version());
  CHECK(second->changes() == WorkerChanges{WorkerChange("w1", Listing("w1", true)),
                                           WorkerChange("w3", Listing("w3")),
                                           WorkerChange("w2", std::nullopt)});
}

TEST_CASE("a member follows one relay, and asks for the whole list when updates are missing") {
  WorkerList list(kSelf);
  CHECK(list.OnOffer(kRelay, 4, kStart));
  CHECK_FALSE(list.OnOffer(kOtherRelay, 9, kStart));
  CHECK(list.OnUpdate(Whole(kRelay, 4, {Listing("w1")}), kStart));
  CHECK_FALSE(list.OnUpdate(Whole(kOtherRelay, 9, {}), kStart));
  CHECK_FALSE(list.OnOffer(kRelay, 4, kStart + Millis(600)));
  const WorkerChanges w2 = {WorkerChange("w2", Listing("w2"))};
  SECTION("the next update applies") {
    CHECK(list.OnUpdate({kRelay, 4, 5, w2}, kStart + Millis(700)));
    CHECK(list.Current().size() == 2);
    CHECK_FALSE(list.OnOffer(kRelay, 5, kStart + Millis(800)));
  }
  SECTION("an update after a lost one does not") {
    CHECK_FALSE(list.OnUpdate({kRelay, 5, 6, w2}, kStart + Millis(700)));
    CHECK(list.Current().size() == 1);
    CHECK(list.OnOffer(kRelay, 6, kStart + Millis(800)));
    // not again before the answer can be there
    CHECK_FALSE(list.OnOffer(kRelay, 6, kStart + Millis(900)));
  }
}

TEST_CASE("a member whose relay is silent or cut off from the store finds another source") {
  WorkerList list(kSelf);
  CHECK(list.HasSource(kStart));  // a relay may still offer its list
  list.OnOffer(kRelay, 4, kStart);
  list.OnUpdate(Whole(kRelay, 4, {Listing("w1"), Listing("w2")}), kStart);
  SECTION("another relay, at once if the first one withdraws") {
    CHECK_FALSE(list.OnOffer(kRelay, 0, kStart + Millis(100)));
    CHECK(list.OnOffer(kOtherRelay, 9, kStart + Millis(150)));
    CHECK(list.OnUpdate(Whole(kOtherRelay, 9, {Listing("w2")}), kStart + Millis(160)));
    CHECK(list.Current() == WorkerListings{Listing("w2")});
    // what the first one still says is not used
    CHECK_FALSE(list.OnUpdate({kRelay, 4, 5, {WorkerChange("w2", std::nullopt)}}, kStart));
  }
  SECTION("the store itself") {
    CHECK_FALSE(list.OnRead({}, false, kStart + Millis(1000)));
    CHECK_FALSE(list.HasSource(kStart + Millis(1500)));
    CHECK(list.OnRead({Listing("w1")}, false, kStart + Millis(1500)));
    CHECK(list.Current() == WorkerListings{Listing("w1")});
  }
}
