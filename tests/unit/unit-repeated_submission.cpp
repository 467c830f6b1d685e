// Submissions of a job that is known already: what their callers get is what the caller of a first
// submission with as much time gets.
#include <catch2/catch.hpp>
#include <variant>

#include "coordinator_harness.h"

using namespace sapphireflow;
using namespace sapphireflow::coordinator_test;

namespace {

StepSpec Work(int estimate_ms) {
  return {1, Resources(6000, 64, 0), Millis(estimate_ms), {}, "", "", 0};
}

}  // namespace

// A caller whose connection was lost without a sign submits its job again.
TEST_CASE("a repeated submission of a job in progress has the time of its own caller") {
  Coordinator node;
  node.Submit({Work(900)}, 1);
  node.Report(0, 0, 1, RunTransition::kStarted);
  node.Pass(Millis(1300));
  node.Submit({Work(900)}, 2);
  node.Pass(Millis(400));
  CHECK(node.VerdictOf(1) == JobVerdict::kExpired);
  CHECK(node.VerdictOf(2) == JobVerdict::kPending);
  CHECK(node.Count<CancelRuns>() == 0);
  node.Report(0, 0, 1, RunTransition::kEnded);
  CHECK(node.VerdictOf(2) == JobVerdict::kCompleted);
}

TEST_CASE("a job that is being refused goes on for a repeated submission that has time") {
  Coordinator node;
  node.Submit({Work(900)}, 1, Millis(800));
  node.Pass(Millis(700));
  REQUIRE(node.Count<CancelRuns>() >= 1);
  node.Submit({Work(900)}, 2);
  node.Report(0, 0, 1, RunTransition::kDeclined, RunEnd::kAbsent, kOwner, "cancelled");
  // it may still run, so the first caller is not told that it will not
  CHECK(node.VerdictOf(1) == JobVerdict::kExpired);
  CHECK(node.VerdictOf(2) == JobVerdict::kPending);
  node.Report(0, 0, 2, RunTransition::kStarted);
  node.Report(0, 0, 2, RunTransition::kEnded);
  CHECK(node.VerdictOf(2) == JobVerdict::kCompleted);
}

TEST_CASE("repeated submissions that wait for earlier runs to end are served together") {
  Coordinator node;
  node.Submit({Work(100)}, 1);
  node.Report(0, 0, 1, RunTransition::kStarted);
  node.Feed(CallerDisconnected(1));
  node.Submit({Work(100)}, 2);
  node.Submit({Work(100)}, 3);
  CHECK(node.answers.empty());
  node.Report(0, 0, 1, RunTransition::kEnded, RunEnd::kStopped);
  node.Report(0, 0, 2, RunTransition::kStarted);
  node.Report(0, 0, 2, RunTransition::kEnded);
  CHECK(node.VerdictOf(2) == JobVerdict::kCompleted);
  CHECK(node.VerdictOf(3) == JobVerdict::kCompleted);
}

TEST_CASE("the time of a repeated submission counts from its arrival") {
  Coordinator node;
  node.Submit({Work(900)}, 1, Millis(5000));
  node.Report(0, 0, 1, RunTransition::kStarted);
  node.Feed(CallerDisconnected(1));
  node.Submit({Work(900)}, 2);
  SECTION("it is answered as soon as its work cannot end in time") {
    node.Pass(Millis(1000));
    CHECK(node.VerdictOf(2) == JobVerdict::kPending);
    node.Pass(Millis(100));
    CHECK(node.VerdictOf(2) == JobVerdict::kExpired);
  }
  SECTION("once it is admitted it has what is left") {
    node.Pass(Millis(800));
    node.Report(0, 0, 1, RunTransition::kEnded, RunEnd::kStopped);
    const auto* order = std::get_if<PlaceRuns>(&node.messages.back().message());
    REQUIRE(order != nullptr);
    CHECK(order->time_to_deadline() == Millis(700));
  }
}

// Guards against a refusal by the time of an earlier caller.
TEST_CASE(
    "a job that waits behind higher priorities is not refused while a later caller has time") {
  Coordinator node;
  node.Submit({Work(100)}, 1);
  node.Pass(Millis(1000));
  node.Submit({Work(100)}, 2);
  const Duration wait = Millis(900);
  node.local_view.Update(kOwner, "celaya",
                         CapacityDigest(kService, {}, wait, 16000, {PriorityWait(0, wait)}));
  node.Pass(Millis(50));
  CHECK(node.Count<CancelRuns>() == 0);
  node.Pass(Millis(600));
  CHECK(node.Count<CancelRuns>() == 1);
}
