// How long a job waits and when it is refused follow from the time that its caller has, the work
// that is left and what is known of the fleet, for any objective, timeout and run time.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordinator_harness.h"

using namespace sapphireflow;
using namespace sapphireflow::coordinator_test;

namespace {

constexpr int kTickMs = 50;
// how long the report of a start may be on its way
constexpr int kReportDelayMs = 250;

StepSpec Work(int estimate_ms) {
  return {1, Resources(6000, 64, 0), Millis(estimate_ms), {}, "", "", 0};
}

// no worker has room; runs of priority 0 wait this long
CapacityDigest FullBehind(int wait_ms) {
  return {kService, {}, Millis(wait_ms), 16000, {PriorityWait(0, Millis(wait_ms))}};
}

// Submits a job that nobody starts.
// @return after how many ticks its run is withdrawn.
int TicksUntilWithdrawn(int objective_ms, int timeout_ms, int work_ms, int wait_ms) {
  Coordinator node;
  node.objective = Millis(objective_ms);
  node.Submit({Work(work_ms)}, 1, Millis(timeout_ms));
  int ticks = 0;
  while (node.Count<CancelRuns>() == 0 && node.answers.empty()) {
    node.local_view.Update(kOwner, "celaya", FullBehind(wait_ms));
    node.Pass(Millis(kTickMs));
    ++ticks;
  }
  return ticks;
}

}  // namespace

TEST_CASE("a job is served by a worker that becomes free late in its caller's time") {
  CHECK(rc::check("nothing is withdrawn before", [] {
    const int timeout = *rc::gen::inRange(1000, 20000);
    const int work = *rc::gen::inRange(1, timeout / 10);
    Coordinator node;
    node.objective = Millis(*rc::gen::inRange(1, 2 * timeout));
    node.Submit({Work(work)}, 1, Millis(timeout));
    if (*rc::gen::arbitrary<bool>()) node.local_view.Update(kOwner, "celaya", FullBehind(0));
    node.Pass(Millis(timeout * 9 / 10 - kTickMs));
    RC_ASSERT(node.Count<CancelRuns>() == 0U);
    RC_ASSERT(node.answers.empty());
    node.Report(0, 0, 1, RunTransition::kStarted);
    node.Report(0, 0, 1, RunTransition::kEnded);
    RC_ASSERT(node.VerdictOf(1) == JobVerdict::kCompleted);
  }));
}

TEST_CASE("a job whose work no longer fits in its caller's time is refused at once") {
  CHECK(rc::check("refused with the owner's reply", [] {
    const int timeout = *rc::gen::inRange(1000, 20000);
    const int shortest = *rc::gen::inRange(kReportDelayMs + 3 * kTickMs, timeout * 9 / 10);
    Coordinator node;
    node.objective = Millis(*rc::gen::inRange(1, 2 * timeout));
    node.Submit({Work(2 * shortest)}, 1, Millis(timeout));
    node.Pass(Millis(timeout - shortest - kTickMs));
    RC_ASSERT(node.Count<CancelRuns>() == 0U);
    node.Pass(Millis(kReportDelayMs + 2 * kTickMs));
    RC_ASSERT(node.Count<CancelRuns>() >= 1U);
    node.Report(0, 0, 1, RunTransition::kDeclined, RunEnd::kAbsent, kOwner, "cancelled");
    RC_ASSERT(node.VerdictOf(1) == JobVerdict::kRefused);
  }));
}

TEST_CASE("a job is refused on arrival only if the wait and its shortest run exceed its time") {
  CHECK(rc::check("refused if and only if it cannot end", [] {
    const int timeout = *rc::gen::inRange(10, 20000);
    const int shortest = *rc::gen::inRange(0, 2 * timeout);
    const int wait = *rc::gen::inRange(0, 2 * timeout);
    Coordinator node;
    node.objective = Millis(*rc::gen::inRange(1, 2 * timeout));
    node.local_view.Update(kOwner, "celaya", Digest({}, Millis(wait)));
    node.Submit({Work(2 * shortest)}, 1, Millis(timeout));
    const bool is_refused = node.VerdictOf(1) == JobVerdict::kRefused;
    RC_ASSERT(is_refused == (wait + shortest > timeout));
  }));
}

TEST_CASE("a waiting job is refused once runs of higher priority leave it no time") {
  CHECK(rc::check("neither earlier nor later", [] {
    const int timeout = *rc::gen::inRange(500, 10000);
    const int shortest = *rc::gen::inRange(1, timeout / 2);
    const int wait = *rc::gen::inRange(1, timeout / 2);
    const int objective = *rc::gen::inRange(1, 2 * timeout);
    const int told_at = kTickMs * TicksUntilWithdrawn(objective, timeout, 2 * shortest, wait);
    RC_ASSERT(wait + shortest > timeout - told_at);
    const int known_shortest = std::max(0, shortest - kReportDelayMs);
    RC_ASSERT(wait + known_shortest <= timeout - (told_at - kTickMs));
  }));
}

TEST_CASE("the objective of a queue refuses nobody") {
  CHECK(rc::check("same moment with another objective", [] {
    const int timeout = *rc::gen::inRange(500, 10000);
    const int work = *rc::gen::inRange(1, timeout);
    const int wait = *rc::gen::inRange(0, timeout / 2);
    const int objective = *rc::gen::inRange(2, 2 * timeout);
    const int told = TicksUntilWithdrawn(objective, timeout, work, wait);
    RC_ASSERT(TicksUntilWithdrawn(objective / 2, timeout, work, wait) == told);
    RC_ASSERT(TicksUntilWithdrawn(objective * 2, timeout, work, wait) == told);
  }));
}

TEST_CASE("a caller with more time is not refused earlier") {
  CHECK(rc::check("monotonous in the timeout", [] {
    const int timeout = *rc::gen::inRange(500, 5000);
    const int work = *rc::gen::inRange(1, timeout);
    const int wait = *rc::gen::inRange(0, timeout / 2);
    const int told = TicksUntilWithdrawn(100, timeout, work, wait);
    RC_ASSERT(TicksUntilWithdrawn(100, 2 * timeout, work, wait) >= told);
  }));
}

TEST_CASE("a job whose runs are lost is tried again while its caller has time") {
  Coordinator node;
  node.Submit({Work(100)}, 1, Millis(20000));
  constexpr std::uint32_t kLostRuns = 30;
  for (std::uint32_t number = 1; number <= kLostRuns; ++number) {
    node.Report(0, 0, number, RunTransition::kStarted);
    node.Report(0, 0, number, RunTransition::kEnded, RunEnd::kLapsed);
    node.Pass(Millis(kTickMs));
  }
  CHECK(node.answers.empty());
  REQUIRE(node.Placed().size() == kLostRuns + 1);
  node.Report(0, 0, kLostRuns + 1, RunTransition::kStarted);
  node.Report(0, 0, kLostRuns + 1, RunTransition::kEnded);
  CHECK(node.VerdictOf(1) == JobVerdict::kCompleted);
}

// Guards against runs that end at once and are placed again without a pause.
TEST_CASE("runs that are lost in a row wait for the next tick to be placed again") {
  Coordinator node;
  node.Submit({Work(100)}, 1, Millis(20000));
  for (std::uint32_t number = 1; number <= 10; ++number) {
    node.Report(0, 0, number, RunTransition::kEnded, RunEnd::kLapsed);
  }
  CHECK(node.Placed().size() <= 5);
  node.Pass(Millis(kTickMs));
  CHECK(node.Placed().size() <= 6);
  CHECK(node.answers.empty());
}

// Under overload, orders went to and fro between owners that all declined them, at every tick.
TEST_CASE("a task that is declined again and again is placed less and less often") {
  Coordinator node;
  node.Submit({Work(100)}, 1, Millis(20000));
  const auto decline_for = [&node](int ms) {
    const auto placed_before = node.Placed().size();
    for (int passed = 0; passed < ms; passed += kTickMs) {
      const auto number = static_cast<std::uint32_t>(node.Placed().size());
      node.Report(0, 0, number, RunTransition::kDeclined, RunEnd::kAbsent, kOwner,
                  "room_elsewhere");
      node.Pass(Millis(kTickMs));
    }
    return node.Placed().size() - placed_before;
  };
  decline_for(2000);
  // owners announce their capacity every 200 ms
  CHECK(decline_for(4000) <= 4000 / 200 + 1);
  // it is still served once an owner takes it
  node.Pass(Millis(200));
  const auto number = static_cast<std::uint32_t>(node.Placed().size());
  node.Report(0, 0, number, RunTransition::kStarted);
  node.Report(0, 0, number, RunTransition::kEnded);
  CHECK(node.VerdictOf(1) == JobVerdict::kCompleted);
}
