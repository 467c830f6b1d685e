// DispatchNode: which reports on runs it acts on.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "sapphireflow/routing/dispatch_node.h"

using namespace sapphireflow;

namespace {

const NodeId kSelf(Address(1, 7720), 2);
const NodeId kFormerSelf(Address(1, 7720), 1);
const NodeId kOwner(Address(2, 7720), 1);
const std::string kService = "workshop";
const Instant kStart = FromUnixMillis(1700000000000);

// the runs that the effects order to start
std::vector<RunKey> Ordered(const DispatchEffects& effects) {
  std::vector<RunKey> runs;
  for (const DispatchEffect& effect : effects) {
    const auto* send = std::get_if<SendMessage>(&effect);
    const auto* place = send ? std::get_if<PlaceRuns>(&send->message()) : nullptr;
    if (place == nullptr) continue;
    for (const RunOrder& order : place->runs()) runs.push_back(order.run());
  }
  return runs;
}

}  // namespace

// A VM that was killed and started again took the end of a run of its former process for its own.
TEST_CASE("a report to a former process at the same address ends no run") {
  DispatchNode node(
      MemberListing(kSelf, "celaya", 250),
      DispatchSettings(LeaseLimits(std::chrono::seconds(1), std::chrono::milliseconds(1300)),
                       std::chrono::seconds(2), 2.0, "least-slack", "slowest-sufficient",
                       "consecutive-failures"));
  const Resources capacity(16000, 32768, 0);
  const auto apply = [&](DispatchEvent event) {
    return Ordered(node.Apply(DispatchInput(kStart, std::move(event))));
  };
  apply(WorkersListed(
      {WorkerListing("w1", Address(10, 80), kService, "celaya", {}, capacity, 1, false)}, kStart));
  apply(MembersListed({MemberListing(kOwner, "celaya", 250)}));
  apply(DispatchMessage(
      CapacityAnnouncement(kOwner, "celaya",
                           {CapacityDigest(kService, {WorkerFreeCapacity("w1", capacity, 1.0)},
                                           Duration::zero(), 16000)})));
  const auto order = std::make_shared<const JobOrder>(
      JobKey(7), "quotes", kService, std::make_shared<const std::string>("p"),
      std::vector<StepSpec>{
          StepSpec(1, Resources(6000, 64, 0), std::chrono::milliseconds(100), {}, "", "", 0)},
      1, 2, std::chrono::milliseconds(200), std::chrono::milliseconds(1500));
  const std::vector<RunKey> placed = apply(SubmitJobOrder(1, order));
  REQUIRE(placed.size() == 1);
  const RunReport stopped(placed[0], RunTransition::kEnded, RunEnd::kStopped, "w1", "");
  const auto reports = [&](const NodeId& coordinator) {
    return DispatchMessage(RunReports(kOwner, {stopped}, CapacityUpdate({}, false), coordinator));
  };
  CHECK(apply(reports(kFormerSelf)).empty());
  CHECK(apply(reports(kSelf)).size() == 1);
}
