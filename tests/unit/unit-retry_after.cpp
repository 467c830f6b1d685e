// Retry-After of refused jobs: when room is expected, and spread over the callers.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <set>

#include "coordinator_harness.h"
#include "sapphireflow/admission/overload_controller.h"
#include "sapphireflow/admission/retry_after.h"

using namespace sapphireflow;
using namespace sapphireflow::coordinator_test;

TEST_CASE("nobody is asked to come back before room is expected, nor long after it") {
  CHECK(rc::check("between the wait and the end of the spread", [] {
    const auto key = *rc::gen::arbitrary<JobKey>();
    const Duration room_in = Millis(*rc::gen::inRange(-1000, 20000));
    const Duration spread = Millis(*rc::gen::inRange(0, 20000));
    const std::chrono::seconds after = RetryAfter(key, room_in, spread);
    RC_ASSERT(after >= std::chrono::seconds(1));
    RC_ASSERT(after >= room_in);
    RC_ASSERT(after < std::max(Duration::zero(), room_in) + spread + std::chrono::seconds(2));
    RC_ASSERT(after == RetryAfter(key, room_in, spread));
  }));
}

TEST_CASE("a job refused after it has waited names the time at which room is expected") {
  Coordinator node;
  node.Submit({Step(1)});
  const Duration wait = Millis(6000);
  node.local_view.Update(kOwner, "celaya",
                         CapacityDigest(kService, {}, wait, 16000, {PriorityWait(0, wait)}));
  node.Pass(Millis(50));
  node.Report(0, 0, 1, RunTransition::kDeclined, RunEnd::kAbsent, kOwner, "cancelled");
  REQUIRE(node.answers.size() == 1);
  CHECK(node.answers[0].verdict() == JobVerdict::kRefused);
  CHECK(node.answers[0].retry_after() >= wait);
}

// Guards against callers that are refused together, come back together, and are refused again.
TEST_CASE("jobs refused for one queue come back spread over as long as it takes") {
  Coordinator node;
  node.local_view.Update(kOwner, "celaya", Digest({}, Millis(4000)));
  std::set<Duration> times;
  for (JobKey key = 1; key <= 100; ++key) node.Submit({Step(1)}, key, Millis(1500), key);
  for (const AnswerCaller& answer : node.answers) {
    CHECK(answer.retry_after() >= Millis(4000));
    times.insert(answer.retry_after());
  }
  CHECK(times.size() == 4);
}

// With a third of the jobs admitted, those refused in a second take two seconds to serve.
TEST_CASE("the fewer jobs a VM admits, the longer are refused callers spread") {
  for (const int shed_steps : {3, 60}) {
    AdaptiveOverloadController controller;
    Instant now = FromUnixMillis(1700000000000);
    for (int i = 0; i < shed_steps; ++i) {
      now += Millis(240);
      controller.OnLoopDelay(
          LoopDelaySample(EventLoop::kCallers, Millis(200), now, now + Millis(40)));
    }
    const double share = controller.State(now).admitted_share();
    std::set<std::chrono::seconds> times;
    for (JobKey key = 0; key < 1000; ++key) {
      const OverloadVerdict verdict = controller.Decide(ArrivingJob(key, 1, Millis(1500), now));
      if (!verdict.admitted()) times.insert(verdict.retry_after());
    }
    INFO(share);
    REQUIRE_FALSE(times.empty());
    CHECK(times.size() == std::min(8.0, std::ceil(1 / share)));
  }
}
