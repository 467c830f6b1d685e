// Start order policies: which of two waiting runs starts first.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "sapphireflow/ownership/start_order_policy.h"

using namespace sapphireflow;

namespace {

const Instant kNow = FromUnixMillis(1700000000000);
const NodeId kCoordinator(Address(2, 1), 1);

Duration Millis(int millis) { return std::chrono::milliseconds(millis); }

WaitingRun Waiting(std::uint32_t index, std::uint32_t priority, int objective_ms, int deadline_ms,
                   bool begun = false, int queued_ms = 0, int estimate_ms = 100) {
  return {RunOrder(RunKey(TaskKey(7, 0, 0, index), 1), Resources(6000, 64, 0), Millis(estimate_ms),
                   "", "", 0, {}),
          kCoordinator,
          "workshop",
          "quotes",
          std::make_shared<const std::string>("p"),
          priority,
          kNow - Millis(queued_ms),
          kNow + Millis(objective_ms),
          kNow + Millis(deadline_ms),
          Instant{},
          begun};
}

std::vector<std::uint32_t> Sorted(const std::string& name, std::vector<WaitingRun> runs) {
  const auto policy = MakeStartOrderPolicy(name);
  REQUIRE(policy != nullptr);
  std::stable_sort(runs.begin(), runs.end(), [&](const WaitingRun& a, const WaitingRun& b) {
    return policy->Before(a, b, kNow);
  });
  std::vector<std::uint32_t> indices;
  for (const WaitingRun& run : runs) indices.push_back(run.order().run().task().index());
  return indices;
}

}  // namespace

// Guards against a load of low priority that delays jobs of the highest one.
TEST_CASE("runs start by priority, also those that miss their objective") {
  CHECK(Sorted("priority-slack", {Waiting(0, 2, 150, 900), Waiting(1, 0, 700, 900),
                                  Waiting(2, 1, 150, 900), Waiting(3, 0, 50, 900)}) ==
        std::vector<std::uint32_t>{3, 1, 2, 0});
}

// Guards against a worker that is given to work whose answer nobody can receive.
TEST_CASE("a run that cannot end before its deadline starts after all that can") {
  CHECK(Sorted("priority-slack", {Waiting(0, 0, -900, 49, true), Waiting(1, 5, -100, 51)}) ==
        std::vector<std::uint32_t>{1, 0});
}

// Guards against jobs that are left unfinished, with the work on them lost, for new ones.
TEST_CASE("within a priority the runs of jobs that have begun start first") {
  CHECK(Sorted("priority-slack", {Waiting(0, 1, 150, 900), Waiting(1, 1, 700, 900, true),
                                  Waiting(2, 0, 800, 900)}) == std::vector<std::uint32_t>{2, 1, 0});
}

TEST_CASE("new jobs of one priority that are all expected in time start by least slack") {
  CHECK(rc::check("priority-slack equals least-slack", [] {
    std::vector<WaitingRun> runs;
    const auto count = *rc::gen::inRange<std::uint32_t>(0, 12);
    for (std::uint32_t i = 0; i < count; ++i) {
      const int objective = *rc::gen::inRange(-300, 900);
      const int queued = *rc::gen::inRange(0, 5);
      const int estimate = *rc::gen::inRange(1, 800);
      runs.push_back(Waiting(i, 3, objective, 1000, false, queued, estimate));
    }
    RC_ASSERT(Sorted("priority-slack", runs) == Sorted("least-slack", runs));
  }));
}

// Guards against callers that wait behind all later ones because their answer would be late.
TEST_CASE("a run whose objective has passed keeps its place while its caller has time") {
  for (const char* name : {"priority-slack", "least-slack"}) {
    INFO(name);
    CHECK(Sorted(name, {Waiting(0, 1, 160, 1400), Waiting(1, 1, -40, 1200),
                        Waiting(2, 1, 60, 1300)}) == std::vector<std::uint32_t>{1, 2, 0});
  }
}

// Guards against a worker's time that is spent on a run which then ends too late.
TEST_CASE("runs that are expected to end before the deadline start before those that may") {
  CHECK(rc::check("by the caller's time, for any objective", [] {
    const int deadline = *rc::gen::inRange(100, 5000);
    const int likely = *rc::gen::inRange(1, deadline * 4 / 5);
    const int unlikely = *rc::gen::inRange(deadline * 4 / 5 + 2, 2 * deadline);
    const int objective = *rc::gen::inRange(-1000, 5000);
    const int other_objective = *rc::gen::inRange(-1000, 5000);
    RC_ASSERT(Sorted("priority-slack", {Waiting(0, 1, objective, deadline, false, 100, unlikely),
                                        Waiting(1, 1, other_objective, deadline, false, 0,
                                                likely)}) == (std::vector<std::uint32_t>{1, 0}));
  }));
}

TEST_CASE("no run of the same priority is overtaken for ever") {
  CHECK(rc::check("a run comes before those that arrive an objective later", [] {
    const int objective = *rc::gen::inRange(1, 1000);
    const int estimate = *rc::gen::inRange(1, 100);
    const int other_objective = *rc::gen::inRange(1, 1000);
    const int other_estimate = *rc::gen::inRange(1, 100);
    // the other one arrives so much later
    const int later = objective + other_estimate + 1;
    RC_ASSERT(Sorted("priority-slack",
                     {Waiting(0, 1, other_objective, 5000, false, 0, other_estimate),
                      Waiting(1, 1, objective - later, 5000, false, later, estimate)}) ==
              (std::vector<std::uint32_t>{1, 0}));
  }));
}
