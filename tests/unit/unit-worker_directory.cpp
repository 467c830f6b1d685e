// Tests of WorkerDirectory: updates, and entries that are temporarily missing from the store.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "sapphireflow/membership/worker_directory.h"

using namespace sapphireflow;

namespace {

const Instant kStart = FromUnixMillis(1700000000000);

Duration Millis(int millis) { return std::chrono::milliseconds(millis); }

WorkerListing Listing(const std::string& id, bool draining = false) {
  return {id, Address(10, 80), "workshop", "celaya", {}, Resources(16000, 32768, 0), 1, draining};
}

}  // namespace

TEST_CASE("a worker whose entry expired stays listed until the grace period ends") {
  WorkerDirectory directory;
  directory.ApplySnapshot({Listing("w1"), Listing("w2")}, kStart);
  CHECK_FALSE(directory.NextExpiry());
  directory.ApplyChanges({WorkerChange("w1", std::nullopt)}, kStart + Millis(100));
  CHECK(directory.Current(kStart + Millis(2100)).size() == 2);
  REQUIRE(directory.NextExpiry());
  CHECK(directory.Current(*directory.NextExpiry()) == WorkerListings{Listing("w2")});
  CHECK_FALSE(directory.NextExpiry());
}

TEST_CASE("a worker whose entry returns with the store stays listed") {
  WorkerDirectory directory;
  directory.ApplySnapshot({Listing("w1")}, kStart);
  // the store was unavailable for 30 s and shows no entries at first
  directory.ApplySnapshot({}, kStart + Millis(30000));
  CHECK(directory.Current(kStart + Millis(31900)).size() == 1);
  directory.ApplyChanges({WorkerChange("w1", Listing("w1"))}, kStart + Millis(31950));
  CHECK(directory.Current(kStart + Millis(40000)).size() == 1);
}

TEST_CASE("an update replaces the listing of a worker") {
  WorkerDirectory directory;
  directory.ApplySnapshot({Listing("w1")}, kStart);
  directory.ApplyChanges({WorkerChange("w1", Listing("w1", true))}, kStart);
  REQUIRE(directory.Current(kStart).size() == 1);
  CHECK(directory.Current(kStart)[0].draining());
}
