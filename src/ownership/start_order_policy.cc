// Part of ownership: implementation of the start order policies.
#include "sapphireflow/ownership/start_order_policy.h"

#include <tuple>

#include "sapphireflow/dispatch/shortest_run_time.h"

namespace sapphireflow {

bool CanEndInTime(const WaitingRun& waiting, Instant now, double slowness) {
  return now + ShortestRunTime(waiting.order().estimate(), slowness) <= waiting.useful_until();
}

bool ArrivalOrder::Before(const WaitingRun& a, const WaitingRun& b, Instant /*now*/) const {
  return a.queued_since() < b.queued_since();
}

bool LeastSlackOrder::Before(const WaitingRun& a, const WaitingRun& b, Instant now) const {
  const Instant latest_a = a.objective_at() - a.order().estimate();
  const Instant latest_b = b.objective_at() - b.order().estimate();
  return std::make_tuple(latest_a < now, latest_a, a.queued_since()) <
         std::make_tuple(latest_b < now, latest_b, b.queued_since());
}

bool PrioritySlackOrder::Before(const WaitingRun& a, const WaitingRun& b, Instant now) const {
  const auto rank = [now](const WaitingRun& waiting) {
    const Instant latest = waiting.objective_at() - waiting.order().estimate();
    return std::make_tuple(!CanEndInTime(waiting, now), waiting.priority(), !waiting.job_begun(),
                           latest < now, latest, waiting.queued_since());
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
