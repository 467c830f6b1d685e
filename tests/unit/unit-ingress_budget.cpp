// The decisions on which clients are refused and which connections are closed.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "sapphireflow/admission/ingress_budget.h"

using namespace sapphireflow;

namespace {

constexpr std::size_t kMega = 1U << 20;
constexpr std::size_t kBodyLimit = kMega;
const Instant kStart = FromUnixMillis(1000000);

IngressLimits SmallLimits() { return IngressLimits(8 * kMega, 2 * kMega, 64, RequestLimits()); }

RequestProgress Body(std::size_t declared, std::size_t arrived) {
  return {200, 4, declared, arrived, 0, false, true};
}

RequestProgress Ordinary() { return Body(4000, 4000); }

RequestProgress Arbitrary() {
  return {*rc::gen::inRange<std::size_t>(0, 40000),
          *rc::gen::inRange<std::size_t>(0, 300),
          *rc::gen::inRange<std::size_t>(0, 2 * kMega),
          *rc::gen::inRange<std::size_t>(0, 2 * kMega),
          *rc::gen::inRange<std::size_t>(0, 20000),
          *rc::gen::arbitrary<bool>(),
          *rc::gen::arbitrary<bool>()};
}

// Closes what a verdict names, as the transport does.
void Obey(IngressBudget& budget, const IngressVerdict& verdict, std::set<IngressId>& open) {
  for (const IngressId id : verdict.to_close()) {
    RC_ASSERT(open.count(id) == 1U);
    budget.Close(id);
    open.erase(id);
  }
}

}  // namespace

TEST_CASE("what clients hold never exceeds the budget") {
  const bool held = rc::check([] {
    const IngressLimits limits = SmallLimits();
    IngressBudget budget(limits, *rc::gen::element<std::string>("held-longest", "oldest-first"));
    std::set<IngressId> open;
    Instant now = kStart;
    IngressId next = 1;
    const int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
      const int action = *rc::gen::inRange(0, 8);
      if (open.empty() || action < 2) {
        const IngressId id = next++;
        const auto verdict = budget.Open(id, IngressListener::kCallers, now);
        if (!verdict.refused()) open.insert(id);
        Obey(budget, verdict, open);
      } else {
        const IngressId id = *rc::gen::elementOf(open);
        if (action < 5) Obey(budget, budget.Receive(id, Arbitrary(), kBodyLimit, now), open);
        if (action == 5) Obey(budget, budget.Complete(id, Arbitrary(), kBodyLimit, now), open);
        if (action == 6) budget.Answered(id, now);
        if (action == 7) {
          budget.HoldAnswer(id, *rc::gen::inRange<std::size_t>(0, 100000));
          for (const IngressId late : budget.TakeExpired(now)) {
            budget.Close(late);
            open.erase(late);
          }
        }
      }
      RC_ASSERT(budget.held_bytes() <= limits.bytes());
      RC_ASSERT(budget.CountConnections(IngressListener::kCallers) == open.size());
    }
    for (const IngressId id : open) budget.Close(id);
    RC_ASSERT(budget.held_bytes() == 0U);
    RC_ASSERT(budget.CountConnections(IngressListener::kCallers) == 0U);
  });
  CHECK(held);
}

TEST_CASE("an ordinary request gets through whatever large requests hold") {
  const bool through = rc::check([] {
    IngressBudget budget(SmallLimits(), "held-longest");
    const int others = *rc::gen::inRange(0, 40);
    for (int i = 0; i < others; ++i) {
      const auto id = static_cast<IngressId>(i + 1);
      // closed only when the transport gets to it: the verdicts' victims stay open here
      budget.Open(id, IngressListener::kCallers, kStart);
      budget.Receive(id, Body(kMega, *rc::gen::inRange<std::size_t>(70000, kMega)), kBodyLimit,
                     kStart);
    }
    const IngressId ordinary = 1000;
    RC_ASSERT_FALSE(budget.Open(ordinary, IngressListener::kCallers, kStart).refused());
    RC_ASSERT_FALSE(budget.Complete(ordinary, Ordinary(), kBodyLimit, kStart).refused());
  });
  CHECK(through);
}

TEST_CASE("a flood on one listener leaves the others reachable") {
  IngressBudget budget(IngressLimits::ForMachine(64, 400), "held-longest");
  for (IngressId id = 1; id < 1000; ++id) {
    budget.Open(id, IngressListener::kCallers, kStart);
  }
  for (const auto listener :
       {IngressListener::kReadiness, IngressListener::kMetrics, IngressListener::kPeers}) {
    CHECK_FALSE(budget.Open(2000 + static_cast<IngressId>(listener), listener, kStart).refused());
  }
  CHECK(budget.CountConnections(IngressListener::kCallers) <= 200);
}

TEST_CASE("of unfinished requests the one that holds the most for the longest is closed") {
  const HeldLongestOrder order;
  const Instant now = kStart + std::chrono::seconds(10);
  const EvictionCandidate large_old(kMega, kStart, true, false);
  const EvictionCandidate small_old(1000, kStart, true, false);
  const EvictionCandidate large_new(kMega, now, true, false);
  const EvictionCandidate idle(8192, kStart, false, true);
  CHECK(order.Before(large_old, small_old, now));
  CHECK(order.Before(large_old, large_new, now));
  CHECK(order.Before(small_old, idle, now));
}

TEST_CASE("a request that waits for its answer, and a peer's link, are never closed") {
  IngressBudget budget(IngressLimits(64 * kMega, kMega, 16, RequestLimits()), "held-longest");
  budget.Open(1, IngressListener::kCallers, kStart);
  CHECK_FALSE(budget.Complete(1, Ordinary(), kBodyLimit, kStart).refused());
  budget.Open(2, IngressListener::kPeers, kStart);
  budget.Trust(2);
  const Instant later = kStart + std::chrono::hours(1);
  for (IngressId id = 3; id < 200; ++id) {
    const auto listener = id % 2 == 0 ? IngressListener::kPeers : IngressListener::kCallers;
    const IngressVerdict verdict = budget.Open(id, listener, later);
    for (const IngressId closed : verdict.to_close()) {
      CHECK(closed > 2);
      budget.Close(closed);
    }
  }
  CHECK(budget.TakeExpired(later).empty());
}

TEST_CASE("requests over a limit are refused with the status that names it") {
  IngressBudget budget(SmallLimits(), "held-longest");
  budget.Open(1, IngressListener::kCallers, kStart);
  const auto status = [&budget](const RequestProgress& progress) {
    return HttpStatusOf(budget.Receive(1, progress, kBodyLimit, kStart).refusal());
  };
  CHECK(status(RequestProgress(40000, 3, 0, 0, 0, false, false)) == 431);
  CHECK(status(RequestProgress(2000, 300, 0, 0, 0, false, false)) == 431);
  CHECK(status(Body(kBodyLimit + 1, 0)) == 413);
  CHECK(status(RequestProgress(200, 3, 0, 17000, 17000, true, true)) == 413);
  CHECK_FALSE(budget.Receive(1, Body(kBodyLimit, kBodyLimit), kBodyLimit, kStart).refused());
}

TEST_CASE("a request that takes too long is reported once") {
  IngressBudget budget(SmallLimits(), "held-longest");
  budget.Open(1, IngressListener::kCallers, kStart);
  budget.Open(2, IngressListener::kCallers, kStart);
  budget.Receive(1, RequestProgress(10, 0, 0, 0, 0, false, false), kBodyLimit, kStart);
  const RequestLimits limits;
  CHECK(budget.TakeExpired(kStart + limits.head_timeout()).empty());
  const Instant late = kStart + limits.head_timeout() + std::chrono::milliseconds(1);
  CHECK(budget.TakeExpired(late) == std::vector<IngressId>{1});
  CHECK(budget.TakeExpired(late).empty());
}

TEST_CASE("limits leave room for idle connections and large bodies on the smallest machine") {
  const IngressLimits limits = IngressLimits::ForMachine(120, 3075);
  CHECK(limits.ConnectionsOf(IngressListener::kCallers) > 2000);
  const std::size_t idle = limits.connections() * IngressBudget::kConnectionBytes;
  CHECK(idle + 2 * kMega < limits.bytes() - limits.reserved_bytes());
  // a fleet has up to 36 members, each with a link that is open and one that replaces it
  CHECK(limits.ConnectionsOf(IngressListener::kPeers) >= 72);
}
