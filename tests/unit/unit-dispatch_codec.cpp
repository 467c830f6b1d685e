// Messages between dispatch nodes survive a round trip; random bytes are decoded or rejected.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "sapphireflow/codec/dispatch_codec.h"

using namespace sapphireflow;

namespace {

const NodeId kNode(Address(0x0a010203, 7720), 1853117344822906486ULL);
const RunKey kRun(TaskKey(0xfedcba9876543210ULL, 1, 2, 3), 4);
const Duration kLength = std::chrono::microseconds(123456);

void CheckDispatchRoundTrip(const DispatchMessage& message) {
  const auto read = DecodeDispatchMessage(EncodeDispatchMessage(message));
  REQUIRE(std::get_if<DispatchMessage>(&read) != nullptr);
  CHECK(std::get<DispatchMessage>(read) == message);
}

}  // namespace

TEST_CASE("every dispatch message is decoded to what was encoded") {
  const CapacityDigest digest("workshop", {WorkerFreeCapacity("w1", Resources(1, 2, 3), 0.5)},
                              kLength, 16000);
  CheckDispatchRoundTrip(PlaceRuns(
      kNode, "workshop", std::make_shared<const std::string>("payload"), -kLength, kLength, 2,
      {RunOrder(kRun, Resources(6000, 64, 1), kLength, "a", "r1", 3, {"w1"})}, 99));
  CheckDispatchRoundTrip(CancelRuns(kNode, "workshop", {kRun, kRun}));
  CheckDispatchRoundTrip(
      AdoptRun(kNode, "workshop", "w1", kRun, Resources(6000, 64, 0), kLength, 98));
  CheckDispatchRoundTrip(RunReports(
      kNode, {RunReport(kRun, RunTransition::kReleased, RunEnd::kAbsent, "w1", "new_owner")},
      CapacityUpdate({digest}, true)));
  CheckDispatchRoundTrip(MemberHeartbeat(MemberListing(kNode, "celaya", 250), true, 1, 2, 3, 4, 5));
  CheckDispatchRoundTrip(CapacityAnnouncement(kNode, "celaya", {digest}));
  CheckDispatchRoundTrip(ConfigurationRequest(kNode));
  const auto read = DecodeDispatchMessage(
      EncodeDispatchMessage(ConfigurationCopy(std::make_shared<const Configuration>(
          7,
          std::vector<QueueConfig>{
              QueueConfig("q", "h", "/p/", "workshop", 1, 2, 1.6, kLength, kLength)},
          std::vector<ServiceConfig>{ServiceConfig("workshop")}, 1000))));
  REQUIRE(std::get_if<DispatchMessage>(&read) != nullptr);
  const auto& copy = std::get<ConfigurationCopy>(std::get<DispatchMessage>(read));
  CHECK(copy.configuration()->version() == 7);
  CHECK(copy.configuration()->queues()[0].stretch() == 1.6);
}

TEST_CASE("random bytes that are rejected are reported as malformed") {
  CHECK(rc::check("dispatch noise", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const auto read = DecodeDispatchMessage(bytes);
    if (const auto* error = std::get_if<Error>(&read)) {
      RC_ASSERT(error->id() == ErrorId::kMalformedMessage);
    }
  }));
}
