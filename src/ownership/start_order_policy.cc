// Part of ownership: implementation of the start order policies.
#include "sapphireflow/ownership/start_order_policy.h"

#include <tuple>

#include "sapphireflow/dispatch/owner_choice.h"
#include "sapphireflow/dispatch/shortest_run_time.h"

namespace sapphireflow {
namespace {

// The latest start with which the run is expected to meet its job's objective. It is fixed, so that
// no run can be overtaken again and again by later ones.
Instant LatestStart(const WaitingRun& waiting) {
  return waiting.objective_at() - waiting.order().estimate();
}

bool IsExpectedInTime(const WaitingRun& waiting, Instant now) {
  return FinishesWithMargin(waiting.order().estimate(), waiting.useful_until() - now);
}

}  // namespace

bool CanEndInTime(const WaitingRun& waiting, Instant now, double slowness) {
  return now + ShortestRunTime(waiting.order().estimate(), slowness) <= waiting.useful_until();
}

bool ArrivalOrder::Before(const WaitingRun& a, const WaitingRun& b, Instant /*now*/) const {
  return a.queued_since() < b.queued_since();
}

bool LeastSlackOrder::Before(const WaitingRun& a, const WaitingRun& b, Instant /*now*/) const {
  return std::make_tuple(LatestStart(a), a.queued_since()) <
         std::make_tuple(LatestStart(b), b.queued_since());
}

bool PrioritySlackOrder::Before(const WaitingRun& a, const WaitingRun& b, Instant now) const {
  const auto rank = [now](const WaitingRun& waiting) {
    return std::make_tuple(!CanEndInTime(waiting, now), waiting.priority(), !waiting.job_begun(),
                           !IsExpectedInTime(waiting, now), LatestStart(waiting),
                           waiting.queued_since());
  };
  return rank(a) < rank(b);
}

std::unique_ptr<StartOrderPolicy> MakeStartOrderPolicy(const std::string& name) {
  if (name == "arrival") return std::make_unique<ArrivalOrder>();
  if (name == "least-slack") return std::make_unique<LeastSlackOrder>();
  if (name == "priority-slack") return std::make_unique<PrioritySlackOrder>();
  return nullptr;
}

}  // namespace sapphireflow
