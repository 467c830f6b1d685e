// Feasibility policies: which jobs are refused on arrival, and which are given up.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "sapphireflow/dispatch/capacity_view.h"
#include "sapphireflow/dispatch/job_feasibility.h"

using namespace sapphireflow;

namespace {

const NodeId kSelf(Address(1, 1), 1);
const NodeId kOwner(Address(2, 1), 1);
const std::string kService = "workshop";
const Resources kNeeds(4000, 64, 0);

Duration Millis(int millis) { return std::chrono::milliseconds(millis); }

const Duration kTimeout = Millis(1500);
const Instant kNow = FromUnixMillis(1700000000000);

StepSpec Step(std::uint32_t count, int estimate_ms, std::vector<std::uint32_t> after = {}) {
  return {count, kNeeds, Millis(estimate_ms), std::move(after), "", "", 0};
}

JobOrder Order(std::vector<StepSpec> steps, std::uint32_t priority = 1) {
  return {77,
          "quotes",
          kService,
          std::make_shared<const std::string>("p"),
          std::move(steps),
          priority,
          2,
          Millis(400),
          kTimeout};
}

CapacityDigest Digest(std::vector<WorkerFreeCapacity> free, int wait_ms,
                      std::vector<PriorityWait> priority_waits = {}) {
  return {kService, std::move(free), Millis(wait_ms), 16000, std::move(priority_waits)};
}

}  // namespace

// Guards against a refusal by an outdated or rough estimate while there is room.
TEST_CASE("a job whose first step fits in free capacity is admitted, however long others wait") {
  CHECK(rc::check("room admits", [] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 20);
    std::vector<OwnerQueue> queues;
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
      queues.emplace_back(Millis(*rc::gen::inRange(0, 5000)), 16000);
    }
    const auto policy = MakeJobFeasibility("whole-job");
    RC_ASSERT(
        !policy->RefusalWait(Order({Step(count, 900)}), StepRoom(count, queues), kTimeout, 1.0));
  }));
}

TEST_CASE("the last task starts when the ones before it have spread over the owners") {
  const JobOrder order = Order({Step(5, 200)});
  // four tasks of at least 100 ms and 4 of 16 cores
  CHECK(LastStart(order, StepRoom(0, {OwnerQueue(Millis(300), 16000)})) == Millis(400));
  CHECK(LastStart(order, StepRoom(4, {OwnerQueue(Millis(300), 16000)})) == Millis(300));
  CHECK(LastStart(order, StepRoom(5, {OwnerQueue(Millis(300), 16000)})) == Duration::zero());
  // the second owner takes half of what is left after 50 ms
  CHECK(LastStart(order, StepRoom(0, {OwnerQueue(Millis(350), 16000),
                                      OwnerQueue(Millis(300), 16000)})) == Millis(375));
}

// Guards against a job that starts with one task although the others have no time left.
TEST_CASE("a job is refused if the last task of its first step starts too late") {
  const StepRoom room(1, {OwnerQueue(Millis(500), 16000)});
  const auto baseline = MakeJobFeasibility("first-start");
  const auto policy = MakeJobFeasibility("whole-job");
  const JobOrder large = Order({Step(32, 400)});
  CHECK_FALSE(baseline->RefusalWait(large, room, kTimeout, 1.0));
  const auto wait = policy->RefusalWait(large, room, kTimeout, 1.0);
  REQUIRE(wait);
  CHECK(*wait >= Millis(1500));
  CHECK_FALSE(policy->RefusalWait(Order({Step(4, 400)}), room, kTimeout, 1.0));
}

TEST_CASE("the earliest end of a job follows its steps") {
  const JobOrder order = Order({Step(1, 400), Step(2, 600, {0}), Step(1, 200)});
  using S = StepState;
  CHECK(EarliestEnd(order, {S::kWaiting, S::kWaiting, S::kWaiting}, 1.0) == Millis(500));
  CHECK(EarliestEnd(order, {S::kAtWork, S::kWaiting, S::kWaiting}, 1.0) == Millis(300));
  CHECK(EarliestEnd(order, {S::kDone, S::kAtWork, S::kWaiting}, 0.5) == Millis(50));
  // it may have started 250 ms ago
  CHECK(EarliestEnd(order, {S::kDone, S::kMayHaveStarted, S::kDone}, 1.0) == Millis(50));
}

TEST_CASE("a job is given up only if its shortest plausible rest ends too late") {
  const JobOrder order = Order({Step(1, 400)});
  const auto policy = MakeJobFeasibility("whole-job");
  CHECK(policy->CanEndInTime(order, {StepState::kWaiting}, Millis(200), 1.0));
  CHECK_FALSE(policy->CanEndInTime(order, {StepState::kWaiting}, Millis(199), 1.0));
  CHECK(policy->CanEndInTime(order, {StepState::kWaiting}, Millis(199), 0.9));
  CHECK(policy->CanEndInTime(order, {StepState::kAtWork}, Millis(1), 1.0));
  CHECK(MakeJobFeasibility("first-start")
            ->CanEndInTime(order, {StepState::kWaiting}, Millis(1), 1.0));
}

TEST_CASE("an unknown feasibility policy is rejected") {
  CHECK(MakeJobFeasibility("never") == nullptr);
}

// Guards against jobs of priority 0 that are refused for the sake of others that would let them
// pass.
TEST_CASE("the wait counts the runs of the same and of higher priorities") {
  CapacityView view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  const auto wait_of = [&view](std::uint32_t priority) {
    return view.RoomFor(Order({Step(1, 100)}, priority), kNow).queues().front().wait();
  };
  view.Update(kOwner, "celaya",
              Digest({}, 900, {PriorityWait(0, Millis(20)), PriorityWait(2, Millis(900))}));
  CHECK(wait_of(0) == Millis(20));
  CHECK(wait_of(1) == Millis(20));
  CHECK(wait_of(3) == Millis(900));
  const RunOrder run(RunKey(TaskKey(7, 0, 0, 0), 1), kNeeds, Millis(100), "", "", 0, {});
  REQUIRE(view.Reserve(kService, run, Millis(400), nullptr, 1));
  CHECK(wait_of(0) == Millis(20));
  CHECK(wait_of(1) == Millis(45));
  CHECK(wait_of(2) == Millis(925));
  // an earlier version tells only one wait
  view.Update(kOwner, "celaya", Digest({}, 900));
  CHECK(wait_of(0) == Millis(900));
}

// Guards against a refusal by a queue that has been served since it was announced.
TEST_CASE("the waits that were announced shrink as time passes") {
  CapacityView view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  view.Update(kOwner, "celaya", Digest({}, 900, {PriorityWait(0, Millis(900))}),
              DigestTimes(kNow, kNow + Millis(3000)));
  const JobOrder order = Order({Step(1, 100)});
  const auto wait_after = [&](int ms) {
    return view.RoomFor(order, kNow + Millis(ms)).queues().front().wait();
  };
  CHECK(wait_after(0) == Millis(900));
  CHECK(wait_after(300) == Millis(600));
  CHECK(wait_after(1000) == Duration::zero());
  CHECK(view.IsFullFor(order, Millis(599), kNow + Millis(300)));
  CHECK_FALSE(view.IsFullFor(order, Millis(600), kNow + Millis(300)));
}

TEST_CASE("the room for a step is counted in whole tasks") {
  CapacityView view(kSelf, "celaya", MakeOwnerChoice("earliest-end"));
  CHECK(view.RoomFor(Order({Step(1, 100)}), kNow).queues().empty());
  view.Update(kOwner, "celaya",
              Digest({WorkerFreeCapacity("w1", Resources(11000, 4096, 0), 0.8),
                      WorkerFreeCapacity("w2", Resources(16000, 128, 0), 1.5)},
                     0));
  CHECK(view.RoomFor(Order({Step(9, 100)}), kNow).fitting() == 4);
  CHECK(view.RoomFor(Order({Step(3, 100)}), kNow).fitting() == 3);
  CHECK_FALSE(view.IsFullFor(Order({Step(9, 100)}), Duration::zero(), kNow));
  CHECK(view.SmallestSlowness(kService) == 0.8);
}
