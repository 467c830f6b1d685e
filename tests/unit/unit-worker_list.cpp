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
  const auto first = list.OnRead({Listing("w1"), Listing("w2")}, true, kStart, kStart);
  REQUIRE(first);
  CHECK(first->base() == 0);
  CHECK(first->changes().size() == 2);
  CHECK_FALSE(list.OnRead({Listing("w1"), Listing("w2")}, true, kStart, kStart));
  const auto second = list.OnRead({Listing("w1", true), Listing("w3")}, true, kStart, kStart);
  REQUIRE(second);
  CHECK(second->base() == first->version());
  CHECK(second->version() == list.own_version());
  CHECK(second->changes() == WorkerChanges{WorkerChange("w1", Listing("w1", true)),
                                           WorkerChange("w3", Listing("w3")),
                                           WorkerChange("w2", std::nullopt)});
}

TEST_CASE("a member follows one relay, and asks for the whole list when updates are missing") {
  WorkerList list(kSelf);
  CHECK(list.OnOffer(kRelay, 4, kStart, kStart));
  CHECK_FALSE(list.OnOffer(kOtherRelay, 9, kStart, kStart));
  CHECK(list.OnUpdate(Whole(kRelay, 4, {Listing("w1")}), kStart));
  CHECK_FALSE(list.OnUpdate(Whole(kOtherRelay, 9, {}), kStart));
  CHECK_FALSE(list.OnOffer(kRelay, 4, kStart + Millis(600), kStart + Millis(600)));
  const WorkerChanges w2 = {WorkerChange("w2", Listing("w2"))};
  SECTION("the next update applies") {
    CHECK(list.OnUpdate({kRelay, 4, 5, w2}, kStart + Millis(700)));
    CHECK(list.Current().size() == 2);
    CHECK_FALSE(list.OnOffer(kRelay, 5, kStart + Millis(800), kStart + Millis(800)));
  }
  SECTION("an update after a lost one does not") {
    CHECK_FALSE(list.OnUpdate({kRelay, 5, 6, w2}, kStart + Millis(700)));
    CHECK(list.Current().size() == 1);
    CHECK(list.OnOffer(kRelay, 6, kStart + Millis(800), kStart + Millis(800)));
    // not again before the answer can be there
    CHECK_FALSE(list.OnOffer(kRelay, 6, kStart + Millis(900), kStart + Millis(900)));
  }
}

TEST_CASE("a member whose relay is silent or cut off from the store finds another source") {
  WorkerList list(kSelf);
  CHECK(list.HasSource(kStart));  // a relay may still offer its list
  list.OnOffer(kRelay, 4, kStart, kStart);
  list.OnUpdate(Whole(kRelay, 4, {Listing("w1"), Listing("w2")}), kStart);
  SECTION("another relay, at once if the first one withdraws") {
    CHECK_FALSE(list.OnOffer(kRelay, 0, kStart + Millis(100), kStart + Millis(100)));
    CHECK(list.OnOffer(kOtherRelay, 9, kStart + Millis(150), kStart + Millis(150)));
    CHECK(list.OnUpdate(Whole(kOtherRelay, 9, {Listing("w2")}), kStart + Millis(160)));
    CHECK(list.Current() == WorkerListings{Listing("w2")});
    // what the first one still says is not used
    CHECK_FALSE(list.OnUpdate({kRelay, 4, 5, {WorkerChange("w2", std::nullopt)}}, kStart));
  }
  SECTION("the store itself") {
    CHECK_FALSE(list.OnRead({}, false, kStart + Millis(1000), kStart + Millis(1000)));
    CHECK_FALSE(list.HasSource(kStart + Millis(1500)));
    CHECK(list.OnRead({Listing("w1")}, false, kStart + Millis(1500), kStart + Millis(1500)));
    CHECK(list.Current() == WorkerListings{Listing("w1")});
  }
}

namespace {

// lets a VM run for a time, with a tick every 50 ms
void RunFor(WorkerList& list, Instant& now, int millis) {
  for (int i = 0; i < millis; i += 50) {
    now += Millis(50);
    list.OnTick(now);
  }
}

// A member with a list from its relay that is as of now.
struct Follower {
  Follower() {
    list.OnTick(now);
    list.OnOffer(kRelay, 4, now, now);
    list.OnUpdate(Whole(kRelay, 4, {Listing("w1")}), now);
    revision = list.CurrentWithRevision().second;
  }
  bool IsFresh() const { return list.IsFresh(revision, now); }
  void Run(int millis) { RunFor(list, now, millis); }
  void Stall(int millis) { now += Millis(millis); }
  // a heartbeat of the relay with the version that it has had before
  void Offer(int age) { list.OnOffer(kRelay, 4, now - Millis(age), now); }

  Instant now = kStart;
  WorkerList list{kSelf};
  WorkerListRevision revision = 0;
};

}  // namespace

TEST_CASE("a list from before a stall is not used until its relay confirms it") {
  Follower member;
  CHECK(member.IsFresh());
  member.Stall(2600);
  CHECK_FALSE(member.IsFresh());
  SECTION("a heartbeat from before the stall does not") {
    member.Offer(2700);
    CHECK_FALSE(member.IsFresh());
    // nor does one whose age is unknown
    member.list.OnOffer(kRelay, 4, Instant{}, member.now);
    CHECK_FALSE(member.IsFresh());
  }
  SECTION("one from after it does") {
    member.Run(200);
    member.Offer(300);
    CHECK(member.IsFresh());
  }
  SECTION("one with changes does once they are in force") {
    member.Run(200);
    CHECK(member.list.OnOffer(kRelay, 5, member.now - Millis(300), member.now));
    CHECK_FALSE(member.IsFresh());
    CHECK(member.list.OnUpdate(Whole(kRelay, 5, {Listing("w1", true)}), member.now));
    CHECK_FALSE(member.IsFresh());
    CHECK(member.list.IsFresh(member.list.CurrentWithRevision().second, member.now));
  }
}

TEST_CASE("an ordinary stall of half a second holds nothing up") {
  Follower member;
  for (int i = 0; i < 20; ++i) {
    member.Run(800);
    CHECK(member.IsFresh());
    member.Stall(500);
    CHECK(member.IsFresh());
    member.Run(50);
    member.Offer(900);
  }
}

TEST_CASE("without the store the last list holds") {
  Follower member;
  SECTION("a member that runs does not notice") {
    for (int i = 0; i < 600; ++i) {
      member.Run(50);
      CHECK(member.IsFresh());
    }
    // nor do half a second's stalls later on
    member.Stall(500);
    CHECK(member.IsFresh());
    // it tried to read the store itself, and has not gone on with it
    CHECK(member.list.HasSource(member.now) == false);
    member.Offer(9000);
    CHECK(member.list.HasSource(member.now));
  }
  SECTION("one that was stalled waits for a bounded time") {
    member.Run(400);
    member.Stall(5000);
    member.Run(1350);
    CHECK_FALSE(member.IsFresh());
    member.Run(150);
    CHECK(member.IsFresh());
    // the store may have come back during the next long stall
    member.Stall(5000);
    CHECK_FALSE(member.IsFresh());
  }
}

TEST_CASE("a member whose relay confirms nothing recent reads the store, or follows another one") {
  Follower member;
  for (int age = 200; age <= 1600; age += 200) {
    member.Run(200);
    member.Offer(age);
  }
  REQUIRE(member.list.HasSource(member.now));
  CHECK_FALSE(member.list.OnOffer(kOtherRelay, 7, member.now, member.now));
  member.Run(200);
  member.Offer(1800);
  CHECK_FALSE(member.list.HasSource(member.now));
  SECTION("the store") {
    CHECK(member.list.OnRead({Listing("w2")}, false, member.now, member.now));
    CHECK(member.list.Current() == WorkerListings{Listing("w2")});
    CHECK(member.list.HasSource(member.now));
    // the relay has only an older list
    CHECK_FALSE(member.list.OnOffer(kRelay, 4, member.now - Millis(2000), member.now));
    CHECK(member.list.OnOffer(kRelay, 5, member.now, member.now));
  }
  SECTION("another relay") {
    CHECK(member.list.OnOffer(kOtherRelay, 7, member.now, member.now));
    CHECK(member.list.OnUpdate(Whole(kOtherRelay, 7, {Listing("w2")}), member.now));
    CHECK(member.list.IsFresh(member.list.CurrentWithRevision().second, member.now));
  }
}

TEST_CASE("an older list does not replace a newer one") {
  WorkerList list(kSelf);
  list.OnRead({Listing("w1", true)}, true, kStart + Millis(500), kStart + Millis(600));
  CHECK_FALSE(list.OnRead({Listing("w1")}, true, kStart, kStart + Millis(700)));
  CHECK(list.Current() == WorkerListings{Listing("w1", true)});
  CHECK(list.Age(kStart + Millis(700)) == Millis(200));
}

TEST_CASE("a member that is a relay again offers another version for what it followed") {
  WorkerList list(kSelf);
  list.OnRead({Listing("w1")}, true, kStart, kStart);
  const WorkerListVersion before = list.own_version();
  list.OnOffer(kRelay, 4, kStart + Millis(50), kStart + Millis(50));
  list.OnUpdate(Whole(kRelay, 4, {Listing("w1", true)}), kStart + Millis(60));
  CHECK(list.own_version() > before);
}
